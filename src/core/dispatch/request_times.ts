/**
 * Until when a request may wait, and when it has to be looked at next.
 *
 * @module
 */
import type { PendingRequest } from "./request.ts";
import type { Wait } from "./dispatch_planner.ts";

/** Time after the deadline for which a server's own last answer is awaited, in
 * milliseconds: servers stop at the deadline and say so. */
export const DEADLINE_SLACK = 60;

/** Until when a request may wait, by what it waits for. */
export function waitEndOf(
  { waitEnd, briefWaitEnd, deadline }: PendingRequest,
  { isBrief, isOwn }: Wait,
): number {
  if (isOwn) return deadline;
  return isBrief ? Math.max(waitEnd, briefWaitEnd) : waitEnd;
}

/** When a request has to be looked at next if nothing else happens before. */
export function dueAt(request: PendingRequest): number {
  if (request.attempts.length === 0) {
    const { lookAt, waitEnd, briefWaitEnd, deadline, lookedAt } = request;
    const ends = [waitEnd, briefWaitEnd, deadline];
    return Math.min(ends.find((end) => lookedAt < end) ?? deadline, lookAt);
  }
  const hedgeAt = Math.min(...request.attempts.map((each) => each.hedgeAt));
  return Math.min(request.deadline + DEADLINE_SLACK, hedgeAt);
}
