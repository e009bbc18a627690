/**
 * Creates configurations without services or routes.
 *
 * @module
 */
import type { Configuration } from "../../src/core/catalog/index.ts";

/** Returns an empty configuration of version `version`. */
export function emptyConfiguration(version: number): Configuration {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  };
}
