/**
 * Detects server crashes and attributes them to the requests in progress.
 *
 * A broken connection alone is no evidence of a crash: servers reset requests when they
 * are full, close idle connections, lose responses and become unreachable. A request
 * whose connection broke is therefore recorded, and a crash is attributed to it only
 * once its server is known to have ended: connections to its address are refused,
 * another incarnation responds there, or the registry reports it. The end of a draining
 * server is expected and is not a crash.
 *
 * The registry takes seconds to report the end of a server, and reports nothing during
 * an outage of the store. The address of a server is therefore probed as soon as a
 * connection to it breaks.
 *
 * @module
 */
import type { FleetChange, TrackedServer } from "../fleet/index.ts";
import { MAXIMUM_TARGET_LENGTH } from "./crash_record.ts";
import type { Quarantine } from "./quarantine.ts";

/** Time for which broken attempts and the end of a run are kept, in milliseconds. A
 * registry removes a server's entry after a few missed heartbeats. */
const EVIDENCE_LIFETIME = 6_000;
/** Maximum number of broken attempts that are kept per server. */
const MAXIMUM_BROKEN_ATTEMPTS = 64;
/** Maximum number of servers for which state is kept. */
const MAXIMUM_SERVERS = 1_024;
/** Initial and maximum pause between two probes of a server's address, in milliseconds.
 * It doubles with each probe that succeeds, since a probe is a connection that the
 * server has to accept, and a server that is full resets many requests. */
const INITIAL_PROBE_PAUSE = 1_000;
const MAXIMUM_PROBE_PAUSE = 16_000;

/** Effect that probes whether a server's address accepts connections. The result is the
 * event `server.checked`. */
export interface ServerProbe {
  kind: "server.check";
  server: string;
  address: string;
}

/** A request whose connection to the server broke, without its body. */
export interface BrokenRequest {
  /** Request id assigned by the caller. */
  id: string;
  /** Host and path. */
  target: string;
  /** The complete fingerprint. */
  fingerprint: string;
}

/** A request that was in progress on a server when the server crashed. */
export interface CrashAttribution {
  request: BrokenRequest;
  server: string;
  /** Whether this crash under this request was not known before. */
  isNew: boolean;
}

interface BrokenAttempt {
  request: BrokenRequest;
  at: number;
}

/** State of one run of a server. */
interface ServerRun {
  /** The server's id and incarnation. */
  run: string;
  /** When it was observed to have ended, or null. */
  endedAt: number | null;
  broken: BrokenAttempt[];
  /** When its address was last probed. */
  probedAt: number;
  probePause: number;
  /** When this state was last used. */
  seenAt: number;
}

/** See the module's comment. Times are milliseconds. */
export class CrashDetector {
  /** State by the server's id. */
  readonly #runs = new Map<string, ServerRun>();

  private constructor(
    private readonly quarantine: Quarantine,
    private readonly reportCrash: (accusation: CrashAttribution) => void,
  ) {}

  /** Starts without state. Crashes are recorded in `quarantine` and passed to
   * `reportCrash`. */
  static create(
    quarantine: Quarantine,
    reportCrash: (accusation: CrashAttribution) => void,
  ): CrashDetector {
    return new CrashDetector(quarantine, reportCrash);
  }

  /** Records that the connection broke after a request was sent. Returns a probe of the
   * server if one is due. */
  connectionBroke(
    server: TrackedServer,
    request: BrokenRequest,
    now: number,
  ): ServerProbe | null {
    if (server.entry.isDraining) return null;
    const state = this.#currentRun(server, now);
    if (state.endedAt !== null) {
      this.#attribute(server.id, state.run, request, now);
      return null;
    }
    const recent = state.broken.filter(({ at }) =>
      now - at <= EVIDENCE_LIFETIME
    );
    const target = request.target.slice(0, MAXIMUM_TARGET_LENGTH);
    const broken = { request: { ...request, target }, at: now };
    state.broken = [...recent, broken].slice(-MAXIMUM_BROKEN_ATTEMPTS);
    if (now - state.probedAt < state.probePause) return null;
    state.probedAt = now;
    const { address } = server.entry;
    return { kind: "server.check", server: server.id, address };
  }

  /** Records that a server refused a connection or was replaced by another incarnation. */
  ended(server: TrackedServer | undefined, now: number): void {
    if (server === undefined || server.entry.isDraining) return;
    const state = this.#currentRun(server, now);
    state.endedAt ??= now;
    this.#attributeAll(server.id, state, now);
  }

  /** Records a successful probe: the server, or another incarnation, is running. */
  probeSucceeded(server: string): void {
    const state = this.#runs.get(server);
    if (state === undefined) return;
    const pause = state.probePause * 2;
    state.probePause = Math.min(MAXIMUM_PROBE_PAUSE, pause);
  }

  /** Applies changes to the registry's list of servers. */
  changed(changes: readonly FleetChange[], now: number): void {
    for (const { kind, server } of changes) {
      const state = this.#runs.get(server.id);
      if (state === undefined) continue;
      if (kind === "draining") this.#runs.delete(server.id);
      if (kind !== "removed" && kind !== "restarted") continue;
      if (!server.isDraining) this.#attributeAll(server.id, state, now);
      this.#runs.delete(server.id);
    }
  }

  #attributeAll(server: string, state: ServerRun, now: number): void {
    for (const { request, at } of state.broken.splice(0)) {
      if (now - at <= EVIDENCE_LIFETIME) {
        this.#attribute(server, state.run, request, now);
      }
    }
  }

  #attribute(
    server: string,
    run: string,
    request: BrokenRequest,
    now: number,
  ): void {
    const { fingerprint, target } = request;
    const isNews = this.quarantine.recordCrash(fingerprint, target, run, now);
    this.reportCrash({ request, server, isNew: isNews });
  }

  /** The state of a server's current run, which is created if necessary. */
  #currentRun(server: TrackedServer, now: number): ServerRun {
    const { id, incarnation } = server.entry;
    const run = `${id}#${incarnation}`;
    const known = this.#runs.get(id);
    if (known?.run === run) {
      known.seenAt = now;
      if (known.endedAt !== null && now - known.endedAt > EVIDENCE_LIFETIME) {
        known.endedAt = null;
      }
      return known;
    }
    const state: ServerRun = {
      run,
      endedAt: null,
      broken: [],
      probedAt: -Infinity,
      probePause: INITIAL_PROBE_PAUSE,
      seenAt: now,
    };
    this.#runs.set(id, state);
    if (this.#runs.size > MAXIMUM_SERVERS) this.#evict(now);
    return state;
  }

  #evict(now: number): void {
    for (const [id, { seenAt }] of this.#runs) {
      const isFull = this.#runs.size > MAXIMUM_SERVERS;
      if (isFull || now - seenAt > EVIDENCE_LIFETIME) this.#runs.delete(id);
    }
  }
}
