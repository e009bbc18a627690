/**
 * A trace of the requests that servers executed and the answers that callers
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
  /** Null for services without keys. */
  key: number | null;
  /** Fencing token of the lease under which it ran. */
  token: number | null;
  requestId: string;
}

/** The final answer to one request. */
export interface FinalAnswer {
  /** Identifies the caller's attempt; attempts may share one request id. */
  call: string;
  /** When the answer arrived. */
  at: number;
  /** When this call started. */
  arrivedAt: number;
  requestId: string;
  kind: "served" | "not-run" | "unknown";
  reason: string;
}

/** All recorded events. Times are in milliseconds of one clock. */
export interface ExecutionTrace {
  starts: ExecutionStart[];
  answers: FinalAnswer[];
}

/**
 * Breaches of exclusive ownership: executions for a key under an older token than
 * an earlier execution, or under the same token at another server.
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

/** Requests that were executed more than once. */
export function findRepeatedExecutions({ starts }: ExecutionTrace): string[] {
  const counts = new Map<string, number>();
  for (const { requestId } of starts) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times`);
}

/**
 * Requests that were reported as not run although they ran. An execution that
 * started after the refusal is allowed only if the caller had retried by then.
 */
export function findExecutedRefusals(
  { starts, answers }: ExecutionTrace,
): string[] {
  const startsOf = groupById(starts);
  const answersOf = groupById(answers);
  return answers
    .filter((answer) => answer.kind === "not-run")
    .filter((answer) => {
      const { requestId } = answer;
      const others = (answersOf.get(requestId) ?? []).filter((other) =>
        other.call !== answer.call && other.at >= answer.at
      );
      return (startsOf.get(requestId) ?? []).some((start) =>
        start.at <= answer.at ||
        !others.some((other) => other.arrivedAt <= start.at)
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

/** Calls with more than one final answer. */
export function findRepeatedAnswers({ answers }: ExecutionTrace): string[] {
  const seen = new Set<string>();
  return answers.filter(({ call }) => {
    const isRepeated = seen.has(call);
    seen.add(call);
    return isRepeated;
  }).map(({ call }) => `${call} was answered twice`);
}

/** Requests that were answered as served although no server executed them. */
export function findAnswersWithoutExecution(
  { starts, answers }: ExecutionTrace,
): string[] {
  const ran = new Set(starts.map((start) => start.requestId));
  return answers
    .filter((answer) => answer.kind === "served" && !ran.has(answer.requestId))
    .map(({ requestId }) => `${requestId} was served but did not run`);
}
