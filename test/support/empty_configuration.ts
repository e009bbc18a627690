/**
 * A configuration without services, for tests that need none.
 *
 * @module
 */
import type { Configuration } from "../../src/core/catalog/index.ts";

/** Version `version` of it. */
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
