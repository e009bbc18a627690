/**
 * Creates a configuration with many routes, as operators publish it when they
 * migrate a whole site. Its document has a size of several hundred kilobytes.
 *
 * @module
 */
import type { Configuration } from "../../src/core/catalog/index.ts";

/** Default number of routes. */
export const LARGE_ROUTE_COUNT = 2_100;

/**
 * Returns a large configuration of version `version` with the single service
 * `stock`.
 */
export function largeConfiguration(
  version: number,
  routes = LARGE_ROUTE_COUNT,
): Configuration {
  return {
    version,
    routes: Array.from({ length: routes }, (_, i) => ({
      name: `route-${i}`,
      host: `site-${i % 16}.example`,
      pathPrefix: `/department-${i}/orders-${(i * 7919) % 1_000}/`,
      isIdempotent: i % 2 === 0,
      destinations: [{ service: "stock", weight: 1 }],
      timeout: 2_000,
      targetLatency: 1_200,
      maximumAttempts: 2,
      priority: i % 3,
    })),
    services: [{ name: "stock", maximumConnections: 500, isKeyed: false }],
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 1_048_576,
      headerTimeout: 5_000,
      idleTimeout: 30_000,
    },
  };
}
