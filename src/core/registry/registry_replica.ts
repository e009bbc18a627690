/**
 * This VM's replica of the registry of backend servers, with its position and
 * age.
 *
 * The term holder reads the registry often and sends the changes to the other
 * VMs, the followers. A follower reads the registry only when its replica is
 * older than allowed. With eight VMs this leaves a quarter of the calls to the
 * store, and with more VMs the number of reads does not grow further.
 *
 * Each update states the position that it starts from, so delayed, duplicated
 * and reordered updates do no harm. Positions also order the incarnations of a
 * server: the one at the later position is the newer. The incarnation itself
 * gives no order, since it is a time of the server's clock, which may step
 * back.
 *
 * ```ts
 * // At the term holder:
 * replica.applyRead(read, sentAt);
 * const update = replica.updateSince(followerPosition, null);
 * // At a follower:
 * const changes = replica.applyUpdate(update);
 * ```
 *
 * @module
 */
import type { BackendServer } from "../fleet/index.ts";
import type { RegistryUpdate } from "./registry_update.ts";
import type { RegistryFetch, RegistryRead } from "./registry_read.ts";

/** Pause after a failed read, in milliseconds. */
const RETRY_PAUSE = 250;
/**
 * Maximum number of versions that are kept to compute updates: half a minute of
 * the term holder's reads. A follower that is further behind reads the registry
 * itself.
 */
const MAXIMUM_VERSIONS = 64;

const NO_CHANGES: RegistryChanges = {
  entries: [],
  removed: [],
  unreadable: [],
};

/**
 * A position that this replica has had, with the changes since the previous
 * version.
 */
interface Version {
  position: number;
  /**
   * Ids of servers whose entry was written since the previous version, even if
   * it is the same again: a VM at a position in between may have read a
   * different entry or a removal. Null if these servers are not known.
   */
  written: readonly string[] | null;
  /** Ids of servers whose entry differs from the previous version. */
  changed: readonly string[];
}

/** Changes to the list of servers. */
export interface RegistryChanges {
  /** New and changed entries. */
  entries: BackendServer[];
  /** Ids of servers whose entry was removed. */
  removed: string[];
  /** Ids of servers whose entry became unreadable. */
  unreadable: string[];
}

/**
 * This VM's replica; see the module's comment. Times are milliseconds of this
 * VM's clock.
 */
export class RegistryReplica {
  #position: number | null = null;
  #knownAt = -Infinity;
  #isReading = false;
  #retryAt = -Infinity;
  readonly #servers = new Map<string, BackendServer>();
  /**
   * Position at which a server's listed incarnation was first known, by its id.
   */
  readonly #incarnationSince = new Map<string, number>();
  /** Ids of servers that were listed and whose newest entry is unreadable. */
  readonly #unreadable = new Set<string>();
  /** Oldest first; the last one is the current version. */
  #versions: Version[] = [];
  /**
   * Whether the store has returned from a copy, and the registry was not read
   * since.
   */
  #isOutdated = false;

  private constructor() {}

  /** Creates an empty replica without a position. */
  static create(): RegistryReplica {
    return new RegistryReplica();
  }

  /**
   * Position of the replica in the registry, or null if the next read has to be
   * complete, as before the first one.
   */
  get position(): number | null {
    return this.#position;
  }

  /**
   * Whether the store has returned from a copy, and the registry was not read
   * since.
   */
  get isOutdated(): boolean {
    return this.#isOutdated;
  }

  /** Latest time at which the replica is known to have been up to date. */
  get knownAt(): number {
    return this.#knownAt;
  }

  /** Whether a server is listed. */
  isListed(id: string): boolean {
    return this.#servers.has(id);
  }

  /**
   * Returns the position at which a server's listed incarnation was first
   * known; 0 if the server is not listed. A report on the server from a VM at
   * an older position may be about another incarnation.
   */
  incarnationSince(id: string): number {
    return this.#incarnationSince.get(id) ?? 0;
  }

  /**
   * Returns when the next read is due if the replica may be `maximumAge`
   * milliseconds old; Infinity while one is in flight.
   */
  dueAt(maximumAge: number): number {
    if (this.#isReading) return Infinity;
    return Math.max(this.#knownAt + maximumAge, this.#retryAt);
  }

  /** Returns the request for a read if one is due, or null. */
  fetch(now: number, maximumAge: number): RegistryFetch | null {
    if (now < this.dueAt(maximumAge)) return null;
    this.#isReading = true;
    return { kind: "servers.fetch", from: this.#position };
  }

  /**
   * Handles that the store has returned from a copy: the next read has to be
   * complete, and is due at once.
   */
  storeRestored(): void {
    this.#isOutdated = this.#position !== null || this.#isOutdated;
    this.#position = null;
    this.#knownAt = -Infinity;
    this.#versions = [];
    for (const id of this.#incarnationSince.keys()) {
      this.#incarnationSince.set(id, 0);
    }
  }

  /**
   * Applies the result of a read that was requested at `sentAt`. Returns false
   * if it is older than the replica because an update has arrived in the
   * meantime.
   */
  applyRead(read: RegistryRead, sentAt: number): boolean {
    this.#isReading = false;
    this.#knownAt = Math.max(this.#knownAt, sentAt);
    if (read.position < (this.#position ?? 0)) return false;
    if (read.isWhole) {
      this.#isOutdated = false;
      this.#reset(read);
      return true;
    }
    const { entries, removed, unreadable } = read;
    const ids = [...entries.map(({ id }) => id), ...removed, ...unreadable];
    this.#advance(read, read.position, ids);
    return true;
  }

  /**
   * Records a failed read. `isExpired` states whether the store no longer keeps
   * the changes since the replica's position, so that the next read has to be
   * complete.
   */
  readFailed(isExpired: boolean, now: number): void {
    this.#isReading = false;
    this.#retryAt = now + RETRY_PAUSE;
    if (isExpired) this.#position = null;
  }

  /**
   * Applies an update and returns its changes, or null if it starts after the
   * replica's position and cannot be applied.
   */
  applyUpdate(update: RegistryUpdate): RegistryChanges | null {
    if (this.#position === null || update.since > this.#position) return null;
    if (update.knownAt !== null) {
      this.#knownAt = Math.max(this.#knownAt, update.knownAt);
    }
    if (update.position <= this.#position) return NO_CHANGES;
    this.#advance(update, update.position, null);
    return update;
  }

  /**
   * Returns the changes since a position, or null if they are not known.
   * `knownAt` is {@linkcode RegistryReplica.knownAt} of this replica by the
   * receiver's clock; null if the receiver did not request the changes.
   */
  updateSince(since: number, knownAt: number | null): RegistryUpdate | null {
    const position = this.#position;
    if (position === null) return null;
    const ids = this.#changedSince(since);
    if (ids === null) return null;
    const entries: BackendServer[] = [];
    const removed: string[] = [];
    const unreadable: string[] = [];
    for (const id of ids) {
      const server = this.#servers.get(id);
      if (server !== undefined) entries.push(server);
      else if (this.#unreadable.has(id)) unreadable.push(id);
      else removed.push(id);
    }
    return { since, position, entries, removed, unreadable, knownAt };
  }

  /**
   * Returns the ids of servers that changed after a position, or null if not
   * known.
   */
  #changedSince(since: number): Set<string> | null {
    const versions = this.#versions;
    const next = versions.findIndex(({ position }) => position >= since);
    if (next < 0) return new Set();
    const { position, written } = versions[next];
    const isBetweenVersions = position > since;
    if (isBetweenVersions && (next === 0 || written === null)) return null;
    const ids = new Set(isBetweenVersions ? written : []);
    for (const { changed } of versions.slice(next + 1)) {
      for (const id of changed) ids.add(id);
    }
    return ids;
  }

  #reset({ entries, unreadable, position }: RegistryRead): void {
    const listed = new Set(entries.map(({ id }) => id));
    const nowUnreadable = new Set(unreadable);
    for (const id of this.#unreadable) {
      if (!nowUnreadable.has(id)) this.#unreadable.delete(id);
    }
    for (const id of nowUnreadable) this.#markUnreadable(id);
    for (const id of this.#servers.keys()) {
      if (!listed.has(id)) this.#delete(id);
    }
    for (const entry of entries) this.#put(entry, position);
    this.#versions = [{ position, written: null, changed: [] }];
    this.#position = position;
  }

  #advance(
    { entries, removed, unreadable }: RegistryChanges,
    position: number,
    written: readonly string[] | null,
  ): void {
    if (position === this.#position) return;
    const changed = [
      ...entries.filter((entry) => this.#put(entry, position)).map(({ id }) =>
        id
      ),
      ...removed.filter((id) => this.#delete(id)),
      ...unreadable.filter((id) => this.#markUnreadable(id)),
    ];
    this.#versions.push({ position, written, changed });
    if (this.#versions.length > MAXIMUM_VERSIONS) this.#versions.shift();
    this.#position = position;
  }

  /** Stores an entry; returns whether it changed. */
  #put(entry: BackendServer, position: number): boolean {
    const known = this.#servers.get(entry.id);
    this.#servers.set(entry.id, entry);
    this.#unreadable.delete(entry.id);
    if (known?.incarnation !== entry.incarnation) {
      this.#incarnationSince.set(entry.id, position);
    }
    return known === undefined || !isEquivalent(known, entry);
  }

  /** Removes a server; returns whether it was known. */
  #delete(id: string): boolean {
    this.#incarnationSince.delete(id);
    const wasUnreadable = this.#unreadable.delete(id);
    return this.#servers.delete(id) || wasUnreadable;
  }

  /**
   * Marks a listed server's entry as unreadable and returns whether it was
   * listed. Ids that are not listed are ignored, so that any number of them
   * cannot exhaust memory.
   */
  #markUnreadable(id: string): boolean {
    if (!this.#servers.delete(id)) return false;
    this.#incarnationSince.delete(id);
    this.#unreadable.add(id);
    return true;
  }
}

/**
 * Whether entry `b` need not be sent to a VM that has the previous entry `a`.
 * The remaining warm-up time decreases with every heartbeat and is sent only
 * once. If it increases, the server has become cold again.
 */
function isEquivalent(a: BackendServer, b: BackendServer): boolean {
  return b.warmUp <= a.warmUp &&
    a.incarnation === b.incarnation && a.service === b.service &&
    a.address === b.address &&
    a.availabilityZone === b.availabilityZone && a.slots === b.slots &&
    a.isDraining === b.isDraining;
}
