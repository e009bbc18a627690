/**
 * Keeps the crash records of requests that are quarantined, or close to it, in
 * the store, so that they survive a failure of all VMs.
 *
 * The term holder writes all of them when the stored ones lack one, which is
 * rare. Every VM reads them on startup, together with the address of the term
 * holder. Writes need no locking: if two holders write one after the other, the
 * readers merge what both wrote.
 *
 * @module
 */
import type { CrashRecord, Quarantine } from "../quarantine/index.ts";

/** Delay before a failed write is retried, in milliseconds. */
const RETRY_DELAY = 1_000;

/**
 * Effect that writes crash records to the store. Its result is the event
 * `quarantine.written`.
 */
export interface QuarantineWrite {
  kind: "quarantine.write";
  records: CrashRecord[];
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class QuarantineStorage {
  /** Keys of the records known to be in the store. */
  #storedKeys = new Set<string>();
  /** Keys of the records in a write that has not ended, or null. */
  #pendingKeys: Set<string> | null = null;
  #retryAt = -Infinity;
  /** Revision of the quarantine that was last compared with the store. */
  #checkedRevision = -1;

  private constructor(private readonly quarantine: Quarantine) {}

  /** Creates the storage of `quarantine`; nothing has been read yet. */
  static create(quarantine: Quarantine): QuarantineStorage {
    return new QuarantineStorage(quarantine);
  }

  /** Handles records read from the store. */
  read(records: readonly CrashRecord[], now: number): void {
    this.#storedKeys = new Set(records.map(keyOf));
    this.quarantine.merge(records, now);
  }

  /**
   * Handles that the store has returned from a copy, which may lack the records
   * that were written.
   */
  storeRestored(): void {
    this.#storedKeys = new Set();
    this.#checkedRevision = -1;
  }

  /** Handles the result of a write. */
  written(hasSucceeded: boolean, now: number): void {
    const keys = this.#pendingKeys;
    this.#pendingKeys = null;
    if (hasSucceeded && keys !== null) this.#storedKeys = keys;
    else this.#retryAt = now + RETRY_DELAY;
    this.#checkedRevision = -1;
  }

  /** Returns the write that is due, or null. Called on the term holder only. */
  advance(now: number): QuarantineWrite | null {
    if (this.#pendingKeys !== null || now < this.#retryAt) return null;
    const { persistentRevision } = this.quarantine;
    if (persistentRevision === this.#checkedRevision) return null;
    this.#checkedRevision = persistentRevision;
    const records = this.quarantine.persistentRecords(now);
    const keys = records.map(keyOf);
    if (keys.every((key) => this.#storedKeys.has(key))) return null;
    this.#pendingKeys = new Set(keys);
    return { kind: "quarantine.write", records };
  }
}

/** Returns a key that changes with each crash and each trial of the request. */
function keyOf({ request, round, runs }: CrashRecord): string {
  return `${request} ${round} ${runs.length}`;
}
