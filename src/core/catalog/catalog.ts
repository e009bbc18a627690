/**
 * The active configuration, indexed for the routing of requests. A
 * configuration is replaced only by one of a higher version.
 *
 * @module
 */
import type {
  CallerLimits,
  Configuration,
  Route,
  Service,
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

  /**
   * Whether `route` has the most urgent priority among the routes to `service`.
   */
  isMostUrgent({ priority }: Route, service: string): boolean {
    return priority <= (this.#topPriorities.get(service) ?? priority);
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

function topPriorities(routes: readonly Route[]): Map<string, number> {
  const top = new Map<string, number>();
  for (const { priority, destinations } of routes) {
    for (const { service } of destinations) {
      top.set(service, Math.min(priority, top.get(service) ?? Infinity));
    }
  }
  return top;
}
