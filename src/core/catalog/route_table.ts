/**
 * Finds the route of a request: among the routes of its host, the one with the
 * longest path prefix that matches.
 *
 * @module
 */
import type { Route } from "./configuration.ts";

/**
 * Routes by host and path prefix. A lookup takes one map access for each slash
 * of the path, regardless of the number of routes.
 *
 * ```ts
 * RouteTable.create(routes).find("shop.example", "/orders/7?full=1");
 * ```
 */
export class RouteTable {
  readonly #hosts = new Map<string, Map<string, Route>>();

  private constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.pathPrefix, route);
      this.#hosts.set(host, prefixes);
    }
  }

  static create(routes: readonly Route[]): RouteTable {
    return new RouteTable(routes);
  }

  /** Returns the route of a request target, or undefined if there is none. */
  find(host: string, target: string): Route | undefined {
    const prefixes = this.#hosts.get(host.toLowerCase());
    if (prefixes === undefined) return undefined;
    const path = target.split("?", 1)[0];
    let slash = path.lastIndexOf("/");
    while (slash >= 0) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) return route;
      slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1);
    }
    return undefined;
  }
}
