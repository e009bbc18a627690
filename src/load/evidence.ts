/**
 * What is recorded of a run of the system, and how breaches of
 * what must always hold are found in it.
 *
 * @module
 */

/** One start of work at a backend server. */
export interface WorkStart {
  at: number;
  server: string;
  service: string;
  key: number | null;
  token: number | null;
  requestId: string;
}

/** The final answer to one request. */
export interface FinalAnswer {
  /** Which call of a caller it answers; several may have one request id. */
  call: string;
  at: number;
  arrivedAt: number;
  requestId: string;
  kind: "served" | "not-run" | "unknown";
  reason: string;
}

/** Everything that was recorded. Times are milliseconds of one clock. */
export interface Evidence {
  starts: WorkStart[];
  answers: FinalAnswer[];
}

/** Breaches of exclusive ownership: work under an older token after a newer. */
export function findSecondOwners({ starts }: Evidence): string[] {
  const newest = new Map<string, WorkStart>();
  const faults: string[] = [];
  const keyed = starts.filter((start) => start.token !== null)
    .sort((a, b) => a.at - b.at);
  for (const start of keyed) {
    const key = `${start.service}/${start.key}`;
    const last = newest.get(key);
    if (last === undefined || start.token! > last.token!) {
      newest.set(key, start);
      continue;
    }
    if (start.token === last.token && start.server === last.server) continue;
    faults.push(
      `${key}: ${start.server} started under token ${start.token} at ${
        start.at.toFixed(1)
      }, but ${last.server} had under ${last.token} at ${last.at.toFixed(1)}`,
    );
  }
  return faults;
}

/** Requests that ran more than once. */
export function findRepeatedRuns({ starts }: Evidence): string[] {
  const counts = new Map<string, number>();
  for (const { requestId } of starts) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times`);
}

/**
 * Requests that were refused as not run, but ran. Work that started after the
 * refusal is excused only when the caller had sent the request once more.
 */
export function findFalseRefusals({ starts, answers }: Evidence): string[] {
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
  all: readonly T[],
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const each of all) {
    const group = groups.get(each.requestId);
    if (group === undefined) groups.set(each.requestId, [each]);
    else group.push(each);
  }
  return groups;
}

/** Requests with more than one final answer. */
export function findRepeatedAnswers({ answers }: Evidence): string[] {
  const seen = new Set<string>();
  return answers.filter(({ call }) => {
    const isRepeated = seen.has(call);
    seen.add(call);
    return isRepeated;
  }).map(({ call }) => `${call} was answered twice`);
}

/** Requests that were served although no server ran them. */
export function findInventedAnswers({ starts, answers }: Evidence): string[] {
  const ran = new Set(starts.map((start) => start.requestId));
  return answers
    .filter((answer) => answer.kind === "served" && !ran.has(answer.requestId))
    .map(({ requestId }) => `${requestId} was served but did not run`);
}
