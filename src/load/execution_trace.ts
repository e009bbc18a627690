/**
 * A trace of the requests that servers executed and the responses that callers
 * received, and checks of the system's invariants on it.
 *
 * @module
 */

/** The start of one execution of a request at a backend server. */
export interface ExecutionStart {
  /** When the execution started. */
  at: number;
  server: string;
  service: string;
  /** Key of the request; null for services without keys. */
  key: number | null;
  /** Fencing token of the lease under which it ran; null without a lease. */
  token: number | null;
  requestId: string;
}

/** The final response to one request. */
export interface FinalResponse {
  /** Identifies the caller's attempt. Retries may use the same request id. */
  call: string;
  /** When the response arrived. */
  at: number;
  /** When the caller sent the request. */
  startedAt: number;
  requestId: string;
  kind: "served" | "not-run" | "unknown";
  reason: string;
}

/** All recorded events. Times are in milliseconds of one clock. */
export interface ExecutionTrace {
  starts: ExecutionStart[];
  responses: FinalResponse[];
}

/**
 * Returns the breaches of exclusive ownership: executions for a key under an
 * older token than an earlier execution, or under the same token at another
 * server.
 */
export function findOwnershipBreaches({ starts }: ExecutionTrace): string[] {
  const newest = new Map<string, ExecutionStart>();
  const breaches: string[] = [];
  const keyedStarts = starts.filter((start) => start.token !== null)
    .sort((a, b) => a.at - b.at);
  for (const start of keyedStarts) {
    const key = `${start.service}/${start.key}`;
    const last = newest.get(key);
    if (last === undefined || start.token! > last.token!) {
      newest.set(key, start);
      continue;
    }
    if (start.token === last.token && start.server === last.server) continue;
    breaches.push(
      `${key}: ${start.server} started under token ${start.token} at ${
        start.at.toFixed(1)
      }, but ${last.server} had under ${last.token} at ${last.at.toFixed(1)}`,
    );
  }
  return breaches;
}

/** Returns the requests that were executed more than once. */
export function findRepeatedExecutions({ starts }: ExecutionTrace): string[] {
  const counts = new Map<string, number>();
  for (const { requestId } of starts) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times`);
}

/**
 * Returns the requests that were reported as not run although they ran. An
 * execution that started after the refusal is allowed only if the caller had
 * retried by then.
 */
export function findRefusalsDespiteExecution(
  { starts, responses }: ExecutionTrace,
): string[] {
  const startsOf = groupById(starts);
  const responsesOf = groupById(responses);
  return responses
    .filter((response) => response.kind === "not-run")
    .filter((response) => {
      const { requestId } = response;
      const others = (responsesOf.get(requestId) ?? []).filter((other) =>
        other.call !== response.call && other.at >= response.at
      );
      return (startsOf.get(requestId) ?? []).some((start) =>
        start.at <= response.at ||
        !others.some((other) => other.startedAt <= start.at)
      );
    })
    .map(({ requestId, reason }) => `${requestId} ran, but: ${reason}`);
}

function groupById<T extends { requestId: string }>(
  events: readonly T[],
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const event of events) {
    const group = groups.get(event.requestId);
    if (group === undefined) groups.set(event.requestId, [event]);
    else group.push(event);
  }
  return groups;
}

/** Returns the calls with more than one final response. */
export function findRepeatedResponses({ responses }: ExecutionTrace): string[] {
  const seen = new Set<string>();
  return responses.filter(({ call }) => {
    const isRepeated = seen.has(call);
    seen.add(call);
    return isRepeated;
  }).map(({ call }) => `${call} was answered twice`);
}

/**
 * Returns the requests that were reported as served although no server ran
 * them.
 */
export function findResponsesWithoutExecution(
  { starts, responses }: ExecutionTrace,
): string[] {
  const ran = new Set(starts.map((start) => start.requestId));
  return responses
    .filter((response) =>
      response.kind === "served" && !ran.has(response.requestId)
    )
    .map(({ requestId }) => `${requestId} was served but did not run`);
}
