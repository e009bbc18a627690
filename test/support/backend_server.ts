/**
 * Creates registry entries of backend servers with default values for tests.
 *
 * @module
 */
import type { BackendServer } from "../../src/core/fleet/index.ts";

/**
 * Returns the registry entry of server `id`; `overrides` replaces the defaults.
 */
export function backendServer(
  id: string,
  overrides: Partial<BackendServer> = {},
): BackendServer {
  return {
    id,
    incarnation: 0,
    service: "s",
    address: `${id}:1`,
    availabilityZone: "a",
    slots: 3,
    isDraining: false,
    warmUp: 0,
    ...overrides,
  };
}
