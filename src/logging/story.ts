/**
 * Finds what the logs of one or more processes say of a request.
 *
 * @module
 */

/** One line of a log about a request. */
export interface StoryLine {
  time: string;
  vm: string;
  decision: string;
  detail: Record<string, unknown>;
}

/** What happened to a request. */
export interface Story {
  lines: StoryLine[];
  /** Why it ended as it did, in one sentence. */
  cause: string;
}

/** Fields that every line has. */
const COMMON_FIELDS = new Set(["time", "vm", "message", "level", "request"]);

/**
 * The story of the request `id` in lines of logs; lines that are cut short or
 * of another kind are passed over.
 */
export function findStory(id: string, lines: Iterable<string>): Story {
  const found: StoryLine[] = [];
  for (const line of lines) {
    if (!line.includes(id)) continue;
    const parsed = parseLine(line);
    if (parsed?.request !== id) continue;
    const detail = Object.fromEntries(
      Object.entries(parsed).filter(([name]) => !COMMON_FIELDS.has(name)),
    );
    found.push({
      time: String(parsed.time),
      vm: String(parsed.vm),
      decision: String(parsed.message),
      detail,
    });
  }
  found.sort((a, b) => a.time.localeCompare(b.time));
  return { lines: found, cause: causeOf(found) };
}

function parseLine(line: string): Record<string, unknown> | null {
  try {
    // A line may stand behind something that a collector has put before it.
    const value = JSON.parse(line.slice(line.indexOf("{")));
    return typeof value === "object" ? value : null;
  } catch {
    return null;
  }
}

/** Says why a request ended as it did, from its last decisive line. */
function causeOf(lines: readonly StoryLine[]): string {
  const last = lines.findLast((each) => each.decision in CAUSES);
  if (last !== undefined) return CAUSES[last.decision](last.detail, lines);
  return lines.length === 0
    ? "no line names this request: it was served at once, or not by these VMs"
    : "no final line: the process ended, or its lines were dropped";
}

type Explanation = (
  detail: Record<string, unknown>,
  lines: readonly StoryLine[],
) => string;

const CAUSES: Record<string, Explanation> = {
  "request.refused": ({ service, reason, age }, lines) => {
    const crowded = lines.findLast((each) =>
      each.decision === "request.crowded_out"
    );
    if (crowded !== undefined) {
      const { share, limitAge } = crowded.detail;
      return `503 after ${age} ms, not run: ${reason}: ${share} of its requests have room, by what the term holder told ${limitAge} ms before (service ${service})`;
    }
    const held = lines.findLast((each) =>
      each.decision === "request.held_back"
    );
    if (held !== undefined) {
      const { fingerprint, ends, left } = held.detail;
      return `429 after ${age} ms, not run: ${reason}: ${ends}, held back for ${left} ms more; lines with fingerprint ${fingerprint} tell which (service ${service})`;
    }
    const refusal = lines.findLast((each) =>
      each.decision === "attempt.not_run"
    );
    const why = refusal === undefined
      ? `${reason}`
      : `server ${refusal.detail.server} answered ${refusal.detail.status} without running it`;
    return `503 after ${age} ms, not run: ${why} (service ${service})`;
  },
  "request.failed": ({ status, reason }, lines) => {
    const unknown = lines.findLast((each) =>
      each.decision === "request.unknown" ||
      each.decision === "request.timed_out"
    );
    const server = unknown?.detail.server ?? "the server";
    return `${status}: ${server} may have run it and its answer did not come (${reason})`;
  },
  "request.delivered": ({ server, status, age, isLate }) =>
    `${status} of server ${server} after ${age} ms${isLate ? ", late" : ""}`,
  "request.left": ({ age }) => `the caller left after ${age} ms`,
  "request.unrouted": ({ status, reason, version }) =>
    `${status}: ${reason} (configuration version ${version})`,
  "request.turned_away": ({ reason }) => `503 at once, not run: ${reason}`,
  "request.read_late": ({ timeout, age }) =>
    `503, not run: read ${age} ms after it came, when its caller's ${timeout} ms were over`,
};
