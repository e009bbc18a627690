/**
 * Derives the configuration of one site: the base file with the site's overlay
 * applied.
 *
 * @module
 */
import type { Configuration } from "../catalog/index.ts";
import type { Declaration, DeclaredRoute } from "./document.ts";

/** Returns the configuration of `site` with the given version. */
export function siteConfiguration(
  { base, overlays }: Declaration,
  site: string,
  version: number,
): Configuration {
  const overlay = overlays.find((each) => each.site === site);
  const services = Object.entries(base.services).map(([name, service]) => ({
    name,
    isKeyed: service.keyed,
    maximumConnections: overlay?.services[name]?.connections ??
      service.connections,
  }));
  const routes = Object.entries(base.routes).map(([name, route]) =>
    siteRoute(name, { ...route, ...definedFields(overlay?.routes[name] ?? {}) })
  );
  return { version, limits: base.limits, services, routes };
}

/** Converts a route of the declaration. */
function siteRoute(name: string, route: DeclaredRoute) {
  const { to } = route;
  return {
    name,
    host: route.host,
    pathPrefix: route.path,
    isIdempotent: route.idempotent,
    destinations: typeof to === "string"
      ? [{ service: to, weight: 1 }]
      : Object.entries(to).map(([service, weight]) => ({ service, weight })),
    timeout: route.timeout,
    targetLatency: route.targetLatency,
    maximumAttempts: route.attempts,
    priority: route.priority,
  };
}

/** Returns the fields whose value is not undefined. */
function definedFields<T extends object>(fields: T): Partial<T> {
  const entries = Object.entries(fields).filter(([, value]) =>
    value !== undefined
  );
  return Object.fromEntries(entries) as Partial<T>;
}
