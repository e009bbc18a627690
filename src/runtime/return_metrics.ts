/**
 * Renders the counts of returns of refused callers as metrics.
 *
 * @module
 */
import type { ReturnCounts } from "../core/returns/index.ts";

/** Returns the counters by name with labels; `counts` is by service. */
export function returnMetrics(
  counts: ReadonlyMap<string, ReturnCounts>,
): Record<string, number> {
  const metrics: Record<string, number> = {};
  for (const [service, { promised, returned, refusedAgain }] of counts) {
    const results = { promised, returned, refused_again: refusedAgain };
    for (const [result, count] of Object.entries(results)) {
      metrics[`returns_total{service="${service}",result="${result}"}`] = count;
    }
  }
  return metrics;
}
