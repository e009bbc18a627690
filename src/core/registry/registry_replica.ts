/**
 * How far this VM knows the registry of backend servers, and from when.
 *
 * The term holder reads the registry often and tells the others what has
 * changed. Another VM reads it only when it has no word that is young enough:
 * with eight VMs that is a quarter of the calls to the store, and with more the
 * number of reads no longer grows with them. Positions decide what follows on
 * what, so news that are late, doubled or out of order do no harm.
 *
 * ```ts
 * replica.read(read, sentAt);
 * const news = replica.news(follower.position, null); // at the holder
 * const changes = replica.take(news); // at a follower
 * ```
 *
 * @module
 */
import type { BackendServer } from "../fleet/index.ts";
import type { RegistryNews } from "./registry_news.ts";
import type { RegistryFetch, RegistryRead } from "./registry_read.ts";

/** Pause after a read that failed, in milliseconds. */
const RETRY_PAUSE = 250;
/** Changes that are kept for others; one that is further behind reads the
 * registry itself. Some hundred servers are replaced in minutes at the most. */
const MAXIMUM_CHANGES = 512;

/** A server's entry changed, or was removed (null). */
interface Change {
  position: number;
  id: string;
  server: BackendServer | null;
}

/** What news or a read change in the list of servers. */
export interface RegistryChanges {
  entries: BackendServer[];
  removed: string[];
}

/** See the module's comment. Times are those of this VM's clock. */
export class RegistryReplica {
  #position: number | null = null;
  #knownAt = -Infinity;
  #isReading = false;
  #retryAt = -Infinity;
  readonly #servers = new Map<string, BackendServer>();
  /** All changes after `#base`, oldest first. */
  #changes: Change[] = [];
  #base = Infinity;

  private constructor() {}

  /** A replica that knows nothing. */
  static create(): RegistryReplica {
    return new RegistryReplica();
  }

  /** Position up to which the registry is known, or null. */
  get position(): number | null {
    return this.#position;
  }

  /** Time at which the registry is known to have stood as here. */
  get knownAt(): number {
    return this.#knownAt;
  }

  /** When the next read is due if nothing older than `maximumAge` will do. */
  dueAt(maximumAge: number): number {
    if (this.#isReading) return Infinity;
    return Math.max(this.#knownAt + maximumAge, this.#retryAt);
  }

  /** Asks for a read if one is due. */
  fetch(now: number, maximumAge: number): RegistryFetch | null {
    if (now < this.dueAt(maximumAge)) return null;
    this.#isReading = true;
    return { kind: "servers.fetch", from: this.#position };
  }

  /** Takes a read that was sent at `sentAt`; false when news have overtaken it,
   * so that what it says is older than what is known. */
  read(read: RegistryRead, sentAt: number): boolean {
    this.#isReading = false;
    this.#knownAt = Math.max(this.#knownAt, sentAt);
    if (read.position < (this.#position ?? 0)) return false;
    if (read.isWhole) this.#reset(read);
    else this.#add(read, read.position);
    return true;
  }

  /** A read failed; with `isExpired` its records are no longer kept. */
  failed(isExpired: boolean, now: number): void {
    this.#isReading = false;
    this.#retryAt = now + RETRY_PAUSE;
    if (isExpired) this.#position = null;
  }

  /** Takes news; null when they do not follow on what is known here. */
  take(news: RegistryNews): RegistryChanges | null {
    if (this.#position === null || news.since > this.#position) return null;
    if (news.knownAt !== null) {
      this.#knownAt = Math.max(this.#knownAt, news.knownAt);
    }
    if (news.position <= this.#position) return { entries: [], removed: [] };
    this.#add(news, news.position);
    return news;
  }

  /**
   * What has changed since a position, for a VM by whose clock this VM's
   * knowledge is from `knownAt`; null when that is no longer known.
   */
  news(since: number, knownAt: number | null): RegistryNews | null {
    const position = this.#position;
    if (position === null || since < this.#base) return null;
    const newest = new Map<string, BackendServer | null>();
    for (const change of this.#changes) {
      if (change.position > since) newest.set(change.id, change.server);
    }
    const entries: BackendServer[] = [];
    const removed: string[] = [];
    for (const [id, server] of newest) {
      if (server === null) removed.push(id);
      else entries.push(server);
    }
    return { since, position, entries, removed, knownAt };
  }

  #reset({ entries, position }: RegistryRead): void {
    this.#servers.clear();
    for (const entry of entries) this.#servers.set(entry.id, entry);
    this.#changes = [];
    this.#base = position;
    this.#position = position;
  }

  #add({ entries, removed }: RegistryChanges, position: number): void {
    for (const entry of entries) this.#note(position, entry.id, entry);
    for (const id of removed) this.#note(position, id, null);
    this.#position = Math.max(this.#position ?? 0, position);
  }

  #note(position: number, id: string, server: BackendServer | null): void {
    const known = this.#servers.get(id);
    if (server === null) {
      if (!this.#servers.delete(id)) return;
    } else {
      if (known !== undefined && isSame(known, server)) return;
      this.#servers.set(id, server);
    }
    this.#changes.push({ position, id, server });
    if (this.#changes.length <= MAXIMUM_CHANGES) return;
    this.#base = this.#changes.shift()!.position;
  }
}

/** Whether two entries of a server say the same; how long it stays slow after
 * its start changes with every heartbeat and is told once. */
function isSame(a: BackendServer, b: BackendServer): boolean {
  return a.service === b.service && a.address === b.address &&
    a.availabilityZone === b.availabilityZone && a.slots === b.slots &&
    a.isDraining === b.isDraining;
}
