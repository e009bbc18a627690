/**
 * Times at which requests stop waiting for a server, time out or are hedged.
 *
 * @module
 */
import type { PendingRequest } from "./request.ts";
import type { WaitPlan } from "./dispatch_planner.ts";

/**
 * Time after the deadline for which a response is still accepted, in
 * milliseconds, because a server stops its work at the deadline and then
 * responds that it did.
 */
export const DEADLINE_GRACE = 60;

/** Time until which a request may wait for the blocking condition to end. */
export function waitLimit(
  { waitEnd, capacityWaitEnd, transientWaitEnd, deadline }: PendingRequest,
  { isTransient, isRequestSpecific, lacksCapacity }: WaitPlan,
): number {
  if (isRequestSpecific) return deadline;
  if (lacksCapacity) return Math.max(waitEnd, capacityWaitEnd);
  return isTransient ? Math.max(waitEnd, transientWaitEnd) : waitEnd;
}

/**
 * Time at which the next timer of a request expires: the end of its wait, or of
 * the condition that it waits for, if it has no attempt in flight; otherwise
 * the end of the time in which a response is accepted, the start of a hedge, or
 * the time until which the retry budget covers a repeat.
 */
export function nextCheckAt(request: PendingRequest): number {
  if (request.attempts.length === 0) {
    const { checkAt, waitEnd, capacityWaitEnd, transientWaitEnd, deadline } =
      request;
    // Which of these ends applies depends on the condition that blocks the
    // request at that time, so the request is checked at each of them.
    let next = Math.min(deadline, checkAt);
    for (const end of [waitEnd, capacityWaitEnd, transientWaitEnd]) {
      if (request.checkedAt < end) next = Math.min(next, end);
    }
    return next;
  }
  let checkAt = request.deadline + DEADLINE_GRACE;
  for (const { hedgeAt, coveredUntil } of request.attempts) {
    checkAt = Math.min(checkAt, hedgeAt, coveredUntil);
  }
  return checkAt;
}
