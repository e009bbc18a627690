/**
 * The configuration in force with the indexes that requests need. Versions only
 * go up.
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
  /** Lowest priority number among the routes to each service. */
  #topPriorities = new Map<string, number>();

  private constructor() {}

  /** A catalog that knows no configuration yet. */
  static create(): Catalog {
    return new Catalog();
  }

  /** Whether any configuration is in force. */
  get isKnown(): boolean {
    return this.#configuration !== null;
  }

  /** The configuration in force, or null. */
  get configuration(): Configuration | null {
    return this.#configuration;
  }

  /** Version in force; -1 before the first. */
  get version(): number {
    return this.#configuration?.version ?? -1;
  }

  /** Number of routes. */
  get routeCount(): number {
    return this.#configuration?.routes.length ?? 0;
  }

  /** Limits of callers, or null before the first configuration. */
  get limits(): CallerLimits | null {
    return this.#configuration?.limits ?? null;
  }

  /** Services whose keys are divided among servers. */
  get keyedServices(): Service[] {
    return [...this.#services.values()].filter((each) => each.isKeyed);
  }

  /** Puts `next` in force unless it is as old as the present one or older. */
  apply(next: Configuration): boolean {
    if (next.version <= this.version) return false;
    this.#configuration = next;
    this.#routes = RouteTable.create(next.routes);
    this.#services = new Map(next.services.map((each) => [each.name, each]));
    this.#rotations = new Map();
    this.#topPriorities = topPriorities(next.routes);
    return true;
  }

  /** The route of a request, or undefined. */
  route(host: string, target: string): Route | undefined {
    return this.#routes.find(host, target);
  }

  /** A service by name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Whether no route to `service` has a more urgent priority than `route`. */
  isMostUrgent({ priority }: Route, service: string): boolean {
    return priority <= (this.#topPriorities.get(service) ?? priority);
  }

  /** Chooses the service of the next request on `route`. */
  destination(route: Route): string {
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
