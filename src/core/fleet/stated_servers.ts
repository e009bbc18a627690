/**
 * The servers that have stated that they are leaving or have requested a
 * backoff, as VMs report them to each other, and the statements of processes
 * whose entry is missing.
 *
 * @module
 */
import type { BackendServer } from "./backend_server.ts";
import { ProcessStatements } from "./process_statements.ts";
import type { TrackedServer } from "./tracked_server.ts";

/**
 * Time for which the statements of a process are kept after the removal of its
 * entry, in milliseconds. A process without an incarnation is indistinguishable
 * from a later one of the same id.
 */
const DEPARTED_LIFETIME = 30_000;
/** Maximum number of processes without an entry whose statements are kept. */
const MAXIMUM_DEPARTED = 1_024;
/** Maximum number of leaving servers that a message lists. */
export const MAXIMUM_LEAVING = 256;
/** Maximum number of servers that refuse their keys that a message lists. */
export const MAXIMUM_REFUSING = 256;

/** Statements of a process without an entry. */
interface DepartedProcess {
  incarnation: number;
  statements: ProcessStatements;
  /** When its entry was removed. */
  at: number;
}

/** A process of a server that has stated that it is leaving. */
export interface LeavingServer {
  server: string;
  incarnation: number;
}

/** A process of a server that refuses requests for its keys. */
export interface RefusingServer extends LeavingServer {
  /** Time for which it still does so, in milliseconds. */
  remaining: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StatedServers {
  /** Listed servers that have stated that they are leaving. */
  readonly #leaving = new Set<TrackedServer>();
  /** Listed servers that have requested a backoff from this VM. */
  readonly #backedOff = new Set<TrackedServer>();
  /** Listed servers that refuse requests for their keys, to whichever VM. */
  readonly #refusing = new Set<TrackedServer>();
  /** Processes without an entry, by the server's id, oldest first. */
  readonly #departed = new Map<string, DepartedProcess>();

  private constructor() {}

  /** Starts without statements. */
  static create(): StatedServers {
    return new StatedServers();
  }

  /** Statements that the process of an entry has made before. */
  statementsOf(
    { id, incarnation }: BackendServer,
    now: number,
  ): ProcessStatements {
    const departed = this.#departed.get(id);
    this.#departed.delete(id);
    const isSameProcess = departed?.incarnation === incarnation &&
      now - departed.at < DEPARTED_LIFETIME;
    return isSameProcess ? departed.statements : ProcessStatements.create();
  }

  /** Records that a server is listed. */
  listed(server: TrackedServer): void {
    if (server.statements.leavingSince !== null) this.#leaving.add(server);
  }

  /** Records that a server's process is no longer listed. */
  unlisted(server: TrackedServer, now: number): void {
    const { id, entry: { incarnation }, statements } = server;
    this.#leaving.delete(server);
    this.#backedOff.delete(server);
    this.#refusing.delete(server);
    this.#departed.delete(id);
    this.#departed.set(id, { incarnation, statements, at: now });
    if (this.#departed.size <= MAXIMUM_DEPARTED) return;
    const [oldest] = this.#departed.keys();
    this.#departed.delete(oldest);
  }

  /**
   * Records that a server has stated that it is leaving, to this VM or another
   * one.
   */
  recordLeaving(server: TrackedServer, now: number): void {
    server.statements.recordLeaving(now);
    this.#leaving.add(server);
  }

  /** Records that a server has requested a backoff from this VM. */
  recordBackoff(server: TrackedServer): void {
    this.#backedOff.add(server);
    this.#refusing.add(server);
  }

  /** Records that a server refuses another VM's requests for its keys. */
  recordPeerRefusal(server: TrackedServer, until: number): void {
    server.statements.recordPeerRefusal(until);
    this.#refusing.add(server);
  }

  /**
   * Whether a server of a service has stopped to refuse requests for its keys
   * since the last call.
   */
  takeRefusalEnd(service: string, now: number): boolean {
    let hasEnded = false;
    for (const server of this.#refusing) {
      if (server.entry.service !== service) continue;
      if (now < server.statements.refusesKeysUntil) continue;
      if (server.isBackedOff(now)) continue;
      this.#refusing.delete(server);
      hasEnded = true;
    }
    return hasEnded;
  }

  /** Leaving servers, except those whose entry shows it. */
  leaving(): LeavingServer[] {
    return this.#listLeaving(() => true);
  }

  /** Those of {@linkcode leaving} that the term holder may not know. */
  unsharedLeaving(): LeavingServer[] {
    return this.#listLeaving(({ statements }) => !statements.isLeavingShared);
  }

  /** Records which leaving servers the term holder knows. */
  confirmLeaving(known: readonly LeavingServer[]): void {
    const ids = new Set(known.map(({ server }) => server));
    for (const { id, statements } of this.#leaving) {
      statements.isLeavingShared = ids.has(id);
    }
  }

  /**
   * Servers that refuse this VM's requests for their keys so long that another
   * server should get the keys.
   */
  refusing(now: number): RefusingServer[] {
    const refusing: RefusingServer[] = [];
    for (const server of this.#backedOff) {
      const { id, entry: { incarnation }, statements } = server;
      if (!server.isBackedOff(now)) this.#backedOff.delete(server);
      const remaining = statements.ownRefusalEnd - now;
      if (remaining <= 0 || refusing.length >= MAXIMUM_REFUSING) continue;
      refusing.push({ server: id, incarnation, remaining });
    }
    return refusing;
  }

  #listLeaving(isIncluded: (server: TrackedServer) => boolean) {
    const listed: LeavingServer[] = [];
    for (const server of this.#leaving) {
      const { id, entry } = server;
      if (entry.isDraining || !isIncluded(server)) continue;
      listed.push({ server: id, incarnation: entry.incarnation });
      if (listed.length >= MAXIMUM_LEAVING) break;
    }
    return listed;
  }
}
