/**
 * Entries of backend servers, for tests in which most of their fields are alike.
 *
 * @module
 */
import type { BackendServer } from "../../src/core/fleet/index.ts";

/** The entry of a server `id`, but for what `change` says. */
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
