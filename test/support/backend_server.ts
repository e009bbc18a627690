/**
 * Creates registry entries of backend servers with default values for tests.
 *
 * @module
 */
import type { BackendServer } from "../../src/core/fleet/index.ts";

/** Returns the registry entry of server `id`; `change` overrides the defaults. */
export function backendServer(
  id: string,
  change: Partial<BackendServer> = {},
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
    ...change,
  };
}
