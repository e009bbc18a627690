/**
 * Finds requests that entry processes sent to servers contrary to what the
 * servers had stated: that they are leaving, or that they accept nothing for a
 * while.
 *
 * @module
 */
import { type Arrival, type Call, isServed } from "./history.ts";

/**
 * Time after the response that requests a backoff during which requests that
 * are on their way still arrive, in milliseconds.
 */
const BACKOFF_GRACE = 500;
/** Maximum number of requests that may arrive during the rest of a backoff. */
const MAXIMUM_IN_BACKOFF = 2;

/** Whether an entry process may have missed a statement in a period. */
export type Excuse = (target: string, from: number, until: number) => boolean;

/** A request that reached a server. */
interface Attempt {
  call: Call;
  arrival: Arrival;
}

/**
 * Returns one line for each statement that was not kept. An entry process must
 * send a server no request that its caller sent more than `drainTime`
 * milliseconds after the entry had passed on a response by which the server is
 * leaving, and at most {@linkcode MAXIMUM_IN_BACKOFF} requests during a
 * backoff.
 */
export function findIgnoredStatements(
  calls: readonly Call[],
  arrivals: readonly Arrival[],
  drainTime: number,
  isExcused: Excuse = () => false,
): string[] {
  const byId = new Map(calls.map((call) => [call.requestId, call]));
  const groups = new Map<string, Attempt[]>();
  for (const arrival of arrivals) {
    const call = byId.get(arrival.requestId);
    if (call === undefined) continue;
    const { server, incarnation } = arrival;
    const name = `${call.target} at ${server} (${incarnation})`;
    groups.set(name, [...groups.get(name) ?? [], { call, arrival }]);
  }
  return [...groups].flatMap(([name, attempts]) => [
    ...lateRequests(name, attempts, drainTime, isExcused),
    ...requestsInBackoff(name, attempts, isExcused),
  ]);
}

function lateRequests(
  name: string,
  attempts: readonly Attempt[],
  drainTime: number,
  isExcused: Excuse,
): string[] {
  const passedOnAt = Math.min(
    ...attempts
      .filter(({ call, arrival }) => arrival.isLeaving && isServed(call))
      .map(({ call }) => call.endedAt),
  );
  return attempts.flatMap(({ call, arrival }) => {
    const delay = call.startedAt - passedOnAt;
    const isLate = delay > drainTime &&
      !isExcused(call.target, passedOnAt, arrival.at);
    return isLate
      ? [`${name}: ${call.requestId} sent ${delay} ms after it was leaving`]
      : [];
  });
}

function requestsInBackoff(
  name: string,
  attempts: readonly Attempt[],
  isExcused: Excuse,
): string[] {
  return attempts.flatMap(({ call, arrival: { at, backoff } }) => {
    if (backoff === null) return [];
    const [from, until] = [at + BACKOFF_GRACE, at + backoff];
    const count = attempts.filter(({ arrival }) =>
      arrival.at > from && arrival.at < until
    ).length;
    const isTooMany = count > MAXIMUM_IN_BACKOFF &&
      !isExcused(call.target, at, until);
    return isTooMany
      ? [`${name}: ${count} requests in a backoff of ${backoff} ms`]
      : [];
  });
}
