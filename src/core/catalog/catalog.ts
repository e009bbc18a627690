/**
 * The active configuration, indexed for the routing of requests. A
 * configuration is replaced only by one of a higher version.
 *
 * @module
 */
import {
  type CallerLimits,
  type Configuration,
  type Route,
  type Service,
  timeoutOf,
} from "./configuration.ts";
import { RouteTable } from "./route_table.ts";
import { WeightedRotation } from "./weighted_rotation.ts";

/** See the module's comment. */
export class Catalog {
  #configuration: Configuration | null = null;
  #routes = RouteTable.create([]);
  #services = new Map<string, Service>();
  #rotations = new Map<string, WeightedRotation>();
  /**
   * Most urgent priority, that is, the lowest number, among the routes to each
   * service, by its name.
   */
  #topPriorities = new Map<string, number>();
  /** Routes to each service, by its name. */
  #routesByService = new Map<string, readonly Route[]>();
  /** Least urgent priority, that is, the highest number, among all routes. */
  #lastPriority = 0;

  private constructor() {}

  /** Creates a catalog without a configuration. */
  static create(): Catalog {
    return new Catalog();
  }

  /** Whether a configuration is active. */
  get isLoaded(): boolean {
    return this.#configuration !== null;
  }

  /** The active configuration, or null. */
  get configuration(): Configuration | null {
    return this.#configuration;
  }

  /** Version of the active configuration; -1 before the first. */
  get version(): number {
    return this.#configuration?.version ?? -1;
  }

  get routeCount(): number {
    return this.#configuration?.routes.length ?? 0;
  }

  /** Limits for callers, or null before the first configuration. */
  get limits(): CallerLimits | null {
    return this.#configuration?.limits ?? null;
  }

  get services(): Service[] {
    return [...this.#services.values()];
  }

  /** Services of which each key is owned by exactly one server. */
  get keyedServices(): Service[] {
    return [...this.#services.values()].filter((each) => each.isKeyed);
  }

  /**
   * Activates `next` if its version is higher than that of the active
   * configuration. Returns whether it is.
   */
  apply(next: Configuration): boolean {
    if (next.version <= this.version) return false;
    this.#configuration = next;
    this.#routes = RouteTable.create(next.routes);
    this.#services = new Map(next.services.map((each) => [each.name, each]));
    this.#rotations = new Map();
    this.#topPriorities = topPriorities(next.routes);
    this.#routesByService = routesByService(next.routes);
    this.#lastPriority = next.routes.reduce(
      (last, { priority }) => Math.max(last, priority),
      0,
    );
    return true;
  }

  /**
   * Returns the route of a request to a host and target (path and query), or
   * undefined.
   */
  route(host: string, target: string): Route | undefined {
    return this.#routes.find(host, target);
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Names of all services. */
  get serviceNames(): string[] {
    return [...this.#services.keys()];
  }

  /**
   * Shortest timeout of the routes of a priority to `service`, in milliseconds;
   * null without such a route.
   */
  shortestTimeout(service: string, priority: number): number | null {
    const routes = this.#routesTo(service).filter((each) =>
      each.priority === priority
    );
    if (routes.length === 0) return null;
    return Math.min(...routes.map(timeoutOf));
  }

  /**
   * Shortest target latency of the routes of a priority to `service`, in
   * milliseconds; null without such a route.
   */
  shortestTarget(service: string, priority: number): number | null {
    const targets = this.#routesTo(service).flatMap((each) =>
      each.priority === priority && each.targetLatency > 0
        ? [each.targetLatency]
        : []
    );
    return targets.length === 0 ? null : Math.min(...targets);
  }

  /**
   * Whether `route` has the most urgent priority among the routes to `service`.
   */
  isMostUrgent({ priority }: Route, service: string): boolean {
    return priority <= (this.#topPriorities.get(service) ?? priority);
  }

  /** Whether `route` has the least urgent priority among all routes. */
  isLeastUrgent({ priority }: Route): boolean {
    return priority >= this.#lastPriority;
  }

  /** Whether all routes to a service have the same priority. */
  hasOnePriority(service: string): boolean {
    const [first, ...others] = this.#routesTo(service);
    return first !== undefined &&
      others.every(({ priority }) => priority === first.priority);
  }

  #routesTo(service: string): readonly Route[] {
    return this.#routesByService.get(service) ?? [];
  }

  /**
   * Chooses the service for the next request on `route` and returns its name.
   */
  chooseDestination(route: Route): string {
    if (route.destinations.length === 1) return route.destinations[0].service;
    let rotation = this.#rotations.get(route.name);
    if (rotation === undefined) {
      rotation = WeightedRotation.create(route.destinations);
      this.#rotations.set(route.name, rotation);
    }
    return rotation.next();
  }
}

function routesByService(routes: readonly Route[]): Map<string, Route[]> {
  const byService = new Map<string, Route[]>();
  for (const route of routes) {
    for (const { service } of route.destinations) {
      const others = byService.get(service);
      if (others === undefined) byService.set(service, [route]);
      else others.push(route);
    }
  }
  return byService;
}

function topPriorities(routes: readonly Route[]): Map<string, number> {
  const top = new Map<string, number>();
  for (const { priority, destinations } of routes) {
    for (const { service } of destinations) {
      top.set(service, Math.min(priority, top.get(service) ?? Infinity));
    }
  }
  return top;
}
