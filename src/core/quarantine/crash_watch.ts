/**
 * Finds out which requests were at work on a server when it ended.
 *
 * A connection that breaks says little: servers reset requests when they are full,
 * drop idle connections, lose answers and are cut off. So a request whose attempt broke
 * is only remembered, and accused once its server is known to have ended: nothing
 * listens at its address any more, another run answers there, or the registry says
 * so. A server that was about to leave has ended by itself.
 *
 * The registry takes seconds to say it, and nothing at all while the store is out, so
 * the address of a server on which an attempt broke is looked at once.
 *
 * @module
 */
import type { FleetChange, TrackedServer } from "../fleet/index.ts";
import { LONGEST_TARGET } from "./crash_record.ts";
import type { Quarantine } from "./quarantine.ts";

/** Time for which a broken attempt is remembered, and the end of a run, in
 * milliseconds: a registry takes a silent server's entry out after a few of its
 * heartbeats. */
const MEMORY = 6_000;
/** Broken attempts that are remembered for one server at the most. */
const MAXIMUM_BROKEN = 64;
/** Servers that are remembered at the most. */
const MAXIMUM_SERVERS = 1_024;
/** Pause between two looks at one server's address, in milliseconds; doubles with each
 * that finds it there, since a look is a connection that the server has to take and
 * one that is full resets many requests. */
const FIRST_CHECK_PAUSE = 1_000;
const LONGEST_CHECK_PAUSE = 16_000;

/** Looks whether anything listens at a server's address; answered by
 * `server.checked`. */
export interface ServerCheck {
  kind: "server.check";
  server: string;
  address: string;
}

/** A request whose attempt broke; its body is not kept. */
export interface BrokenRequest {
  /** The caller's id of it. */
  id: string;
  /** Host and path. */
  target: string;
  /** The whole fingerprint. */
  fingerprint: string;
}

/** A request that was at work on a server when that ended. */
export interface Accusation {
  request: BrokenRequest;
  server: string;
  /** Whether the end of this server under this request was not known yet. */
  isNews: boolean;
}

interface BrokenAttempt {
  request: BrokenRequest;
  at: number;
}

/** What is remembered of one run of a server. */
interface Watched {
  run: string;
  /** When a sign of its end was seen; null before. */
  endedAt: number | null;
  broken: BrokenAttempt[];
  checkedAt: number;
  checkPause: number;
  seenAt: number;
}

/** See the module's comment. Times are milliseconds. */
export class CrashWatch {
  /** By the server's id. */
  readonly #watched = new Map<string, Watched>();

  private constructor(
    private readonly quarantine: Quarantine,
    private readonly accused: (accusation: Accusation) => void,
  ) {}

  /** Watches no server; accuses in `quarantine` and tells `accused` of it. */
  static create(
    quarantine: Quarantine,
    accused: (accusation: Accusation) => void,
  ): CrashWatch {
    return new CrashWatch(quarantine, accused);
  }

  /** An attempt of a request broke after it was sent. Returns a look at the server
   * if one is due. */
  broke(
    server: TrackedServer,
    request: BrokenRequest,
    now: number,
  ): ServerCheck | null {
    if (server.entry.isDraining) return null;
    const watched = this.#watch(server, now);
    if (watched.endedAt !== null) {
      this.#accuse(server.id, watched.run, request, now);
      return null;
    }
    const recent = watched.broken.filter(({ at }) => now - at <= MEMORY);
    const target = request.target.slice(0, LONGEST_TARGET);
    const broken = { request: { ...request, target }, at: now };
    watched.broken = [...recent, broken].slice(-MAXIMUM_BROKEN);
    if (now - watched.checkedAt < watched.checkPause) return null;
    watched.checkedAt = now;
    const { address } = server.entry;
    return { kind: "server.check", server: server.id, address };
  }

  /** Nothing listens at a server's address, or another run does. */
  ended(server: TrackedServer | undefined, now: number): void {
    if (server === undefined || server.entry.isDraining) return;
    const watched = this.#watch(server, now);
    watched.endedAt ??= now;
    this.#accuseAll(server.id, watched, now);
  }

  /** Something listens at a server's address: it is there, or another run is. */
  found(server: string): void {
    const watched = this.#watched.get(server);
    if (watched === undefined) return;
    const pause = watched.checkPause * 2;
    watched.checkPause = Math.min(LONGEST_CHECK_PAUSE, pause);
  }

  /** The registry's list of servers has changed. */
  changed(changes: readonly FleetChange[], now: number): void {
    for (const { kind, server } of changes) {
      const watched = this.#watched.get(server.id);
      if (watched === undefined) continue;
      if (kind === "draining") this.#watched.delete(server.id);
      if (kind !== "removed" && kind !== "restarted") continue;
      if (!server.isDraining) this.#accuseAll(server.id, watched, now);
      this.#watched.delete(server.id);
    }
  }

  #accuseAll(server: string, watched: Watched, now: number): void {
    for (const { request, at } of watched.broken.splice(0)) {
      if (now - at <= MEMORY) {
        this.#accuse(server, watched.run, request, now);
      }
    }
  }

  #accuse(
    server: string,
    run: string,
    request: BrokenRequest,
    now: number,
  ): void {
    const { fingerprint, target } = request;
    const isNews = this.quarantine.accuse(fingerprint, target, run, now);
    this.accused({ request, server, isNews });
  }

  /** What is remembered of the run that a server is now. */
  #watch(server: TrackedServer, now: number): Watched {
    const { id, incarnation } = server.entry;
    const run = `${id}#${incarnation}`;
    const known = this.#watched.get(id);
    if (known?.run === run) {
      known.seenAt = now;
      if (known.endedAt !== null && now - known.endedAt > MEMORY) {
        known.endedAt = null;
      }
      return known;
    }
    const watched: Watched = {
      run,
      endedAt: null,
      broken: [],
      checkedAt: -Infinity,
      checkPause: FIRST_CHECK_PAUSE,
      seenAt: now,
    };
    this.#watched.set(id, watched);
    if (this.#watched.size > MAXIMUM_SERVERS) this.#forgetOld(now);
    return watched;
  }

  #forgetOld(now: number): void {
    for (const [id, { seenAt }] of this.#watched) {
      const isFull = this.#watched.size > MAXIMUM_SERVERS;
      if (isFull || now - seenAt > MEMORY) this.#watched.delete(id);
    }
  }
}
