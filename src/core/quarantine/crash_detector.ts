/**
 * Detects crashes of server processes and attributes them to the requests that
 * were in progress there.
 *
 * A broken connection alone is no evidence of a crash: servers reset
 * connections when they are overloaded, close idle ones, lose responses and
 * become unreachable. A request whose connection broke is therefore recorded,
 * and a crash is attributed to it only once the server process is known to have
 * exited: connections to its address are refused, another process responds
 * there, or the registry reports the removal or restart of the server. The exit
 * of a draining server is expected and is not a crash.
 *
 * The registry takes seconds to report that a server has exited, and reports
 * nothing during an outage of the store. The address of a server is therefore
 * probed as soon as a connection to it breaks, and a few times shortly after.
 *
 * @module
 */
import type { FleetChange, TrackedServer } from "../fleet/index.ts";
import { MAXIMUM_TARGET_LENGTH } from "./crash_record.ts";
import type { Quarantine } from "./quarantine.ts";

/**
 * Time for which broken attempts and the exit of a process are kept, in
 * milliseconds. It exceeds the time of the few missed heartbeats after which a
 * registry removes a server's entry.
 */
const EVIDENCE_LIFETIME = 6_000;
/** Maximum number of broken attempts that are kept per server. */
const MAXIMUM_BROKEN_ATTEMPTS = 64;
/** Maximum number of servers for which state is kept. */
const MAXIMUM_SERVERS = 1_024;
/**
 * Initial and maximum pause between two probes of a server's address, in
 * milliseconds. It doubles with each successful probe, since a probe is a
 * connection that the server has to accept, and an overloaded server resets the
 * connections of many requests.
 */
const INITIAL_PROBE_PAUSE = 1_000;
const MAXIMUM_PROBE_PAUSE = 16_000;
/**
 * Times after a probe at which it is repeated as long as it succeeds, in
 * milliseconds. While a process exits, its connections may be reset before its
 * address refuses new ones. The first time is shorter than the delay after
 * which a request with a broken attempt is sent again.
 */
const REPEATED_PROBE_TIMES = [20, 100];

/**
 * Effect that probes whether a server's address accepts connections. The result
 * is the event `server.checked`.
 */
export interface ServerProbe {
  kind: "server.check";
  server: string;
  address: string;
  /**
   * Peer address of the VM through which it is made; null to connect directly.
   */
  relay: string | null;
  /**
   * `crash` if the server may have crashed, `reach` if it is checked whether
   * this VM's connections reach servers.
   */
  purpose: "crash" | "reach";
}

/**
 * How the connection of a probe ended; `silent` if nothing responded, and
 * `unknown` if the VM through which it was made could not be used.
 */
export type ProbeResult = "connected" | "refused" | "silent" | "unknown";

/** A request whose connection to the server broke. Its body is not kept. */
export interface BrokenRequest {
  /** Request id that the caller assigned. */
  id: string;
  /** Host and path. */
  target: string;
  /** The complete fingerprint. */
  fingerprint: string;
}

/**
 * A crash that is attributed to a request, which was in progress on the server.
 */
export interface CrashAttribution {
  request: BrokenRequest;
  server: string;
  /** Whether the record of the request did not contain this crash before. */
  isNew: boolean;
}

interface BrokenAttempt {
  request: BrokenRequest;
  at: number;
}

/** State of one server process. */
interface ProcessState {
  /** Name of the process: the server's id and incarnation. */
  name: string;
  /** When its exit was observed, or null. */
  exitedAt: number | null;
  /** Requests whose connections to it broke. */
  broken: BrokenAttempt[];
  /** Its address. */
  address: string;
  /** When the last series of probes began; -Infinity for never. */
  probedAt: number;
  /** Number of repeated probes in that series so far. */
  repeatedProbes: number;
  /** Minimum time until the next series, in milliseconds. */
  probePause: number;
  /** When this state was last used. */
  seenAt: number;
}

/** See the module's comment. Times are milliseconds. */
export class CrashDetector {
  /** State by the server's id. */
  readonly #states = new Map<string, ProcessState>();
  /** When probes are to be repeated, by the server's id. */
  readonly #repeatAt = new Map<string, number>();

  private constructor(
    private readonly quarantine: Quarantine,
    private readonly reportCrash: (crash: CrashAttribution) => void,
  ) {}

  /**
   * Starts without state. Crashes are recorded in `quarantine` and passed to
   * `reportCrash`.
   */
  static create(
    quarantine: Quarantine,
    reportCrash: (crash: CrashAttribution) => void,
  ): CrashDetector {
    return new CrashDetector(quarantine, reportCrash);
  }

  /**
   * Records that the connection broke after a request was sent. Returns a probe
   * of the server's address, or null if the exit of the server is already known
   * or expected, or its address was probed recently. The probe of a server that
   * has requested a backoff is made at the end of the backoff.
   */
  connectionBroke(
    server: TrackedServer,
    request: BrokenRequest,
    now: number,
  ): ServerProbe | null {
    if (server.isShuttingDown) return null;
    const state = this.#currentState(server, now);
    if (state.exitedAt !== null) {
      this.#attribute(server.id, state.name, request, now);
      return null;
    }
    const recent = state.broken.filter(({ at }) =>
      now - at <= EVIDENCE_LIFETIME
    );
    const target = request.target.slice(0, MAXIMUM_TARGET_LENGTH);
    const broken = { request: { ...request, target }, at: now };
    state.broken = [...recent, broken].slice(-MAXIMUM_BROKEN_ATTEMPTS);
    if (now - state.probedAt < state.probePause) return null;
    state.probedAt = Math.max(now, server.statements.backoffUntil);
    state.repeatedProbes = 0;
    if (state.probedAt > now) {
      // The server accepts no connections until then. The probe is made like a
      // repeated one.
      state.repeatedProbes = -1;
      this.#repeatAt.set(server.id, state.probedAt);
      return null;
    }
    return createProbe(server.id, state);
  }

  /** When a probe is to be repeated; Infinity if none is. */
  nextAt(): number {
    return Math.min(Infinity, ...this.#repeatAt.values());
  }

  /** Returns the probes that are to be repeated now. */
  advance(now: number): ServerProbe[] {
    const probes: ServerProbe[] = [];
    for (const [id, at] of this.#repeatAt) {
      if (now < at) continue;
      this.#repeatAt.delete(id);
      const state = this.#states.get(id);
      if (state === undefined || state.exitedAt !== null) continue;
      state.repeatedProbes += 1;
      probes.push(createProbe(id, state));
    }
    return probes;
  }

  /**
   * Records that the known process of a server has exited: its address refused
   * a connection, or another process responded there.
   */
  exited(server: TrackedServer | undefined, now: number): void {
    if (server === undefined || server.isShuttingDown) return;
    const state = this.#currentState(server, now);
    state.exitedAt ??= now;
    this.#attributeAll(server.id, state, now);
  }

  /**
   * Records that a server's address accepted a probe: some process runs there,
   * the known one or another.
   */
  probeSucceeded(server: string): void {
    const state = this.#states.get(server);
    if (state === undefined) return;
    const { repeatedProbes, probedAt } = state;
    if (repeatedProbes === 0) {
      const pause = state.probePause * 2;
      state.probePause = Math.min(MAXIMUM_PROBE_PAUSE, pause);
    }
    if (repeatedProbes < REPEATED_PROBE_TIMES.length) {
      const repeatAt = probedAt + REPEATED_PROBE_TIMES[repeatedProbes];
      this.#repeatAt.set(server, repeatAt);
    }
  }

  /** Applies changes to the list of servers in the registry. */
  applyServerChanges(changes: readonly FleetChange[], now: number): void {
    for (const { kind, server } of changes) {
      const state = this.#states.get(server.id);
      if (state === undefined) continue;
      if (kind === "draining") this.#states.delete(server.id);
      if (kind !== "removed" && kind !== "restarted") continue;
      if (!server.isDraining) this.#attributeAll(server.id, state, now);
      this.#states.delete(server.id);
    }
  }

  #attributeAll(server: string, state: ProcessState, now: number): void {
    for (const { request, at } of state.broken.splice(0)) {
      if (now - at <= EVIDENCE_LIFETIME) {
        this.#attribute(server, state.name, request, now);
      }
    }
  }

  #attribute(
    server: string,
    processName: string,
    request: BrokenRequest,
    now: number,
  ): void {
    const { fingerprint, target } = request;
    const isNew = this.quarantine.recordCrash(
      fingerprint,
      target,
      processName,
      now,
    );
    this.reportCrash({ request, server, isNew });
  }

  /**
   * Returns the state of a server's current process, which it creates if
   * necessary.
   */
  #currentState(server: TrackedServer, now: number): ProcessState {
    const { id, incarnation } = server.entry;
    const name = `${id}#${incarnation}`;
    const known = this.#states.get(id);
    if (known?.name === name) {
      known.seenAt = now;
      if (known.exitedAt !== null && now - known.exitedAt > EVIDENCE_LIFETIME) {
        known.exitedAt = null;
      }
      return known;
    }
    const state: ProcessState = {
      name,
      address: server.entry.address,
      exitedAt: null,
      broken: [],
      probedAt: -Infinity,
      repeatedProbes: 0,
      probePause: INITIAL_PROBE_PAUSE,
      seenAt: now,
    };
    this.#states.set(id, state);
    if (this.#states.size > MAXIMUM_SERVERS) this.#evict(now);
    return state;
  }

  #evict(now: number): void {
    for (const [id, { seenAt }] of this.#states) {
      const isFull = this.#states.size > MAXIMUM_SERVERS;
      if (isFull || now - seenAt > EVIDENCE_LIFETIME) this.#states.delete(id);
    }
  }
}

function createProbe(server: string, { address }: ProcessState): ServerProbe {
  return {
    kind: "server.check",
    server,
    address,
    relay: null,
    purpose: "crash",
  };
}
