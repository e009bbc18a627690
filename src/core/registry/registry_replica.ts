/**
 * How far this VM knows the registry of backend servers, and from when.
 *
 * The term holder reads the registry often and tells the others what has
 * changed. Another VM reads it only when it has no word that is young enough:
 * with eight VMs that is a quarter of the calls to the store, and with more the
 * number of reads no longer grows with them. Positions decide what follows on
 * what, so news that are late, doubled or out of order do no harm. They also
 * order the runs of a server: the one that is listed later is the newer, since
 * the clock that dates an incarnation may step back.
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
/** Positions that are kept as places from which others can be told what has
 * changed: half a minute of the holder's reads. One that is further behind
 * reads the registry itself. */
const MAXIMUM_BOUNDARIES = 64;

const NO_CHANGES: RegistryChanges = {
  entries: [],
  removed: [],
  unreadable: [],
};

/** A position at which this VM knew the whole registry. */
interface Boundary {
  position: number;
  /** Servers of which something was written since the boundary before, also
   * where it came to nothing: a VM that stands in between may have seen it. Null
   * where that is not known. */
  touched: readonly string[] | null;
  /** Those of them whose entry differs from the boundary before. */
  changed: readonly string[];
}

/** What news or a read change in the list of servers. */
export interface RegistryChanges {
  entries: BackendServer[];
  removed: string[];
  /** Servers whose entry cannot be read any more. */
  unreadable: string[];
}

/** See the module's comment. Times are those of this VM's clock. */
export class RegistryReplica {
  #position: number | null = null;
  #knownAt = -Infinity;
  #isReading = false;
  #retryAt = -Infinity;
  readonly #servers = new Map<string, BackendServer>();
  /** By id: the position at which the run that is listed was first known. */
  readonly #runSince = new Map<string, number>();
  /** Servers that were listed, and whose newest entry cannot be read. */
  readonly #unreadable = new Set<string>();
  /** Oldest first; the last is where this VM stands. */
  #boundaries: Boundary[] = [];

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

  /** Whether a server is listed. */
  isListed(id: string): boolean {
    return this.#servers.has(id);
  }

  /** Position from which on the run of a server that is listed now is known;
   * what a VM at an older position says of the server may be of another run. 0
   * for a server that is not listed. */
  runSince(id: string): number {
    return this.#runSince.get(id) ?? 0;
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
    if (read.isWhole) {
      this.#reset(read);
      return true;
    }
    const { entries, removed, unreadable } = read;
    const ids = [...entries.map(({ id }) => id), ...removed, ...unreadable];
    this.#advance(read, read.position, ids);
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
    if (news.position <= this.#position) return NO_CHANGES;
    this.#advance(news, news.position, null);
    return news;
  }

  /**
   * What has changed since a position, for a VM by whose clock this VM's
   * knowledge is from `knownAt`; null when that is not known here.
   */
  news(since: number, knownAt: number | null): RegistryNews | null {
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

  #changedSince(since: number): Set<string> | null {
    const boundaries = this.#boundaries;
    const next = boundaries.findIndex(({ position }) => position >= since);
    if (next < 0) return new Set();
    const { position, touched } = boundaries[next];
    const isBetween = position > since;
    if (isBetween && (next === 0 || touched === null)) return null;
    const ids = new Set(isBetween ? touched : []);
    for (const { changed } of boundaries.slice(next + 1)) {
      for (const id of changed) ids.add(id);
    }
    return ids;
  }

  #reset({ entries, unreadable, position }: RegistryRead): void {
    const listed = new Set(entries.map(({ id }) => id));
    const doubted = new Set(unreadable);
    for (const id of this.#unreadable) {
      if (!doubted.has(id)) this.#unreadable.delete(id);
    }
    for (const id of doubted) this.#doubt(id);
    for (const id of this.#servers.keys()) {
      if (!listed.has(id)) this.#delete(id);
    }
    for (const entry of entries) this.#put(entry, position);
    this.#boundaries = [{ position, touched: null, changed: [] }];
    this.#position = position;
  }

  #advance(
    { entries, removed, unreadable }: RegistryChanges,
    position: number,
    touched: readonly string[] | null,
  ): void {
    if (position === this.#position) return;
    const changed = [
      ...entries.filter((entry) => this.#put(entry, position)).map(({ id }) =>
        id
      ),
      ...removed.filter((id) => this.#delete(id)),
      ...unreadable.filter((id) => this.#doubt(id)),
    ];
    this.#boundaries.push({ position, touched, changed });
    if (this.#boundaries.length > MAXIMUM_BOUNDARIES) this.#boundaries.shift();
    this.#position = position;
  }

  /** Keeps an entry; false when it says nothing new. */
  #put(entry: BackendServer, position: number): boolean {
    const known = this.#servers.get(entry.id);
    this.#servers.set(entry.id, entry);
    this.#unreadable.delete(entry.id);
    if (known?.incarnation !== entry.incarnation) {
      this.#runSince.set(entry.id, position);
    }
    return known === undefined || !isSame(known, entry);
  }

  /** Forgets a server; false when none is known. */
  #delete(id: string): boolean {
    this.#runSince.delete(id);
    const wasUnreadable = this.#unreadable.delete(id);
    return this.#servers.delete(id) || wasUnreadable;
  }

  /** The entry of a server cannot be read any more; false when none is listed.
   * Ids that never were are not kept, however many are written. */
  #doubt(id: string): boolean {
    if (!this.#servers.delete(id)) return false;
    this.#runSince.delete(id);
    this.#unreadable.add(id);
    return true;
  }
}

/** Whether an entry says the same as the one before it. How long a server stays slow
 * decreases with every heartbeat and is told once; a server that says longer than
 * before has become slow again. */
function isSame(a: BackendServer, b: BackendServer): boolean {
  return b.warmUp <= a.warmUp &&
    a.incarnation === b.incarnation && a.service === b.service &&
    a.address === b.address &&
    a.availabilityZone === b.availabilityZone && a.slots === b.slots &&
    a.isDraining === b.isDraining;
}
