/**
 * Refuses requests while this process holds too many bytes for slow callers and
 * servers, the least urgent requests first.
 *
 * @module
 */
import type { Catalog, Route } from "../catalog/index.ts";
import type { RequestArrival } from "./request.ts";

/** Reason given when a request is refused for lack of memory. */
export const REFUSED_FOR_MEMORY = "this VM holds too much for slow connections";

/**
 * Share of the bound on held bytes above which the least urgent requests are
 * refused.
 */
const LEAST_URGENT_SHARE = 0.75;

/** Whether a request on `route` is refused for lack of memory. */
export function isRefusedForMemory(
  { memoryShare = 0 }: RequestArrival,
  route: Route,
  catalog: Catalog,
): boolean {
  if (memoryShare >= 1) return true;
  return memoryShare > LEAST_URGENT_SHARE && catalog.isLeastUrgent(route);
}
