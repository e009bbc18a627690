/**
 * Statements of backend servers for tests.
 *
 * @module
 */
import type { ServerStatement } from "../../src/core/fleet/index.ts";

/** Returns a statement that is empty except for `overrides`. */
export function serverStatement(
  overrides: Partial<ServerStatement> = {},
): ServerStatement {
  return {
    load: null,
    rateLimit: null,
    isLeaving: false,
    backoff: null,
    ignored: [],
    ...overrides,
  };
}
