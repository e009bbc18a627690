/**
 * The rank of a request, by which all VMs admit the same requests of a service:
 * the lower, the more urgent.
 *
 * ```ts
 * const rank = requestRank(route.priority, chance, isReturn);
 * const threshold = thresholdFor(demands, capacity);
 * const isAdmitted = threshold === null || rank < threshold;
 * ```
 *
 * @module
 */

/**
 * Position up to which a priority is admitted if there is capacity for its
 * returns only. Returns have position 0, so that any positive value admits all
 * of them.
 */
const RETURNS_ONLY = 0.001;

/** Requests of one priority, as a number or as a rate. */
export interface RankedDemand {
  priority: number;
  arrived: number;
  /** Those of them that are returns of callers that were refused before. */
  returned: number;
}

/**
 * Returns the rank of a request: the priority of its route plus a position in
 * [0, 1). The position is `chance`, a random number in [0, 1), or 0 for the
 * return of a caller that was refused before.
 */
export function requestRank(
  priority: number,
  chance: number,
  isReturn: boolean,
): number {
  return priority + (isReturn ? 0 : chance);
}

/**
 * Returns the threshold below which the ranks of `admitted` of the requests
 * are, or null if there are no more than `admitted`. Numbers are those of one
 * service, in the same unit.
 */
export function thresholdFor(
  demands: readonly RankedDemand[],
  admitted: number,
): number | null {
  let remaining = admitted;
  const byUrgency = [...demands].sort((a, b) => a.priority - b.priority);
  for (const { priority, arrived, returned } of byUrgency) {
    if (arrived <= remaining) {
      remaining -= arrived;
      continue;
    }
    const share = (remaining - returned) / (arrived - returned);
    if (share > 0) return priority + share;
    // Returns are admitted or refused together.
    return priority + (remaining > returned / 2 ? RETURNS_ONLY : 0);
  }
  return null;
}
