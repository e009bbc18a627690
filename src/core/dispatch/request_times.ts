/**
 * Wait limits and timers of requests.
 *
 * @module
 */
import type { PendingRequest } from "./request.ts";
import type { WaitPlan } from "./dispatch_planner.ts";

/** Time after the deadline for which a response of the server is still accepted, in
 * milliseconds, because servers stop at the deadline and report it. */
export const DEADLINE_GRACE = 60;

/** Time until which a request may wait for the condition of its wait plan. */
export function waitLimit(
  { waitEnd, transientWaitEnd, deadline }: PendingRequest,
  { isTransient, isRequestSpecific }: WaitPlan,
): number {
  if (isRequestSpecific) return deadline;
  return isTransient ? Math.max(waitEnd, transientWaitEnd) : waitEnd;
}

/** Time at which the next timer of a request expires. */
export function nextCheckAt(request: PendingRequest): number {
  if (request.attempts.length === 0) {
    const { checkAt, waitEnd, transientWaitEnd, deadline, checkedAt } = request;
    const ends = [waitEnd, transientWaitEnd, deadline];
    return Math.min(ends.find((end) => checkedAt < end) ?? deadline, checkAt);
  }
  const hedgeAt = Math.min(...request.attempts.map((each) => each.hedgeAt));
  return Math.min(request.deadline + DEADLINE_GRACE, hedgeAt);
}
