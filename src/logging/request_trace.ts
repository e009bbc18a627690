/**
 * Reconstructs what happened to a request from the logs of one or more
 * processes.
 *
 * @module
 */

/** A log line about the request. */
export interface TraceLine {
  /** Time in ISO 8601 format. */
  time: string;
  vm: string;
  /** Message of the line, such as `request.refused`. */
  decision: string;
  /** Further fields of the line. */
  detail: Record<string, unknown>;
}

/** The log lines of a request and its outcome. */
export interface RequestTrace {
  lines: TraceLine[];
  /** Outcome of the request and its cause, as one phrase. */
  cause: string;
}

/** Fields of every line, which are not part of its detail. */
const COMMON_FIELDS = new Set(["time", "vm", "message", "level", "request"]);

/**
 * Collects the log lines of the request `id` in order of time. Ignores lines
 * that are truncated, not JSON or about another request.
 */
export function traceRequest(
  id: string,
  lines: Iterable<string>,
): RequestTrace {
  const matches: TraceLine[] = [];
  for (const line of lines) {
    if (!line.includes(id)) continue;
    const parsed = parseLine(line);
    if (parsed?.request !== id) continue;
    const detail = Object.fromEntries(
      Object.entries(parsed).filter(([name]) => !COMMON_FIELDS.has(name)),
    );
    matches.push({
      time: String(parsed.time),
      vm: String(parsed.vm),
      decision: String(parsed.message),
      detail,
    });
  }
  matches.sort((a, b) => a.time.localeCompare(b.time));
  return { lines: matches, cause: explainOutcome(matches) };
}

function parseLine(line: string): Record<string, unknown> | null {
  try {
    // A log collector may have added a prefix to the line.
    const value = JSON.parse(line.slice(line.indexOf("{")));
    return typeof value === "object" ? value : null;
  } catch {
    return null;
  }
}

/** Explains the outcome of a request from the last line that determines it. */
function explainOutcome(lines: readonly TraceLine[]): string {
  const last = lines.findLast((line) => line.decision in OUTCOMES);
  if (last !== undefined) return OUTCOMES[last.decision](last.detail, lines);
  return lines.length === 0
    ? "no line names this request: it was served at once, or not by these VMs"
    : "no final line: the process ended, or its lines were dropped";
}

/**
 * Explains an outcome from the detail of its line and all lines of the request.
 */
type Explanation = (
  detail: Record<string, unknown>,
  lines: readonly TraceLine[],
) => string;

/** Explanations by the message of the line that determines the outcome. */
const OUTCOMES: Record<string, Explanation> = {
  "request.refused": ({ service, reason, age }, lines) => {
    const shed = lines.findLast((line) =>
      line.decision === "request.crowded_out"
    );
    if (shed !== undefined) {
      const { share, limitAge } = shed.detail;
      return `503 after ${age} ms, not run: ${reason}: ${share} of its requests are admitted, by the limit that the term holder sent ${limitAge} ms before (service ${service})`;
    }
    const quarantined = lines.findLast((line) =>
      line.decision === "request.held_back"
    );
    if (quarantined !== undefined) {
      const { fingerprint, ends, left } = quarantined.detail;
      return `429 after ${age} ms, not run: ${reason}: ${ends}, quarantined for ${left} ms more; log lines with fingerprint ${fingerprint} name the servers (service ${service})`;
    }
    const refusal = lines.findLast((line) =>
      line.decision === "attempt.not_run"
    );
    const why = refusal === undefined
      ? `${reason}`
      : `server ${refusal.detail.server} responded ${refusal.detail.status} without running it`;
    return `503 after ${age} ms, not run: ${why} (service ${service})`;
  },
  "request.failed": ({ status, reason }, lines) => {
    const uncertain = lines.findLast((line) =>
      line.decision === "request.unknown" ||
      line.decision === "request.timed_out"
    );
    const server = uncertain?.detail.server ?? "the server";
    const serverStatus = uncertain?.detail.status;
    if (serverStatus !== undefined) {
      return `${status}: ${server} responded ${serverStatus} without stating that it has not run it (${reason})`;
    }
    return `${status}: ${server} may have run it, but its response did not arrive (${reason})`;
  },
  "request.delivered": ({ server, status, age, isLate }) =>
    `${status} from server ${server} after ${age} ms${isLate ? ", late" : ""}`,
  "request.left": ({ age }) => `the caller disconnected after ${age} ms`,
  "request.unrouted": ({ status, reason, version }) =>
    `${status}: ${reason} (configuration version ${version})`,
  "request.turned_away": ({ reason }) => `503 immediately, not run: ${reason}`,
  "request.read_late": ({ timeout, age }) =>
    `503, not run: read ${age} ms after it arrived, when its caller's timeout of ${timeout} ms had expired`,
};
