/**
 * Stores the records of requests that are quarantined, or close to it, so that they
 * survive a failure of all VMs.
 *
 * The term holder writes them when the stored ones lack such a request, which is rare.
 * Every VM reads them on startup, together with the address of the term holder. They
 * need no locking: if two holders write one after the other, the readers merge what
 * they wrote.
 *
 * @module
 */
import type { CrashRecord, Quarantine } from "../quarantine/index.ts";

/** Delay before a failed write is retried, in milliseconds. */
const RETRY_DELAY = 1_000;

/** Effect that writes crash records to the store. Its result is the event
 * `quarantine.written`. */
export interface QuarantineWrite {
  kind: "quarantine.write";
  records: CrashRecord[];
}

/** See the module's comment. Times are milliseconds. */
export class QuarantineRecord {
  /** Keys of the records known to be in the store. */
  #recorded = new Set<string>();
  #writing: Set<string> | null = null;
  #dueAt = -Infinity;
  #revision = -1;

  private constructor(private readonly quarantine: Quarantine) {}

  /** Creates a record of `quarantine`; the contents of the store are not known yet. */
  static create(quarantine: Quarantine): QuarantineRecord {
    return new QuarantineRecord(quarantine);
  }

  /** Handles records read from the store. */
  read(records: readonly CrashRecord[], now: number): void {
    this.#recorded = new Set(records.map(keyOf));
    this.quarantine.merge(records, now);
  }

  /** Handles the result of a write. */
  written(hasSucceeded: boolean, now: number): void {
    const keys = this.#writing;
    this.#writing = null;
    if (hasSucceeded && keys !== null) this.#recorded = keys;
    else this.#dueAt = now + RETRY_DELAY;
    this.#revision = -1;
  }

  /** Returns the write that is due on the term holder, or null. */
  advance(now: number): QuarantineWrite | null {
    if (this.#writing !== null || now < this.#dueAt) return null;
    const { persistentRevision: recordRevision } = this.quarantine;
    if (recordRevision === this.#revision) return null;
    this.#revision = recordRevision;
    const records = this.quarantine.persistentRecords(now);
    const keys = records.map(keyOf);
    if (keys.every((key) => this.#recorded.has(key))) return null;
    this.#writing = new Set(keys);
    return { kind: "quarantine.write", records };
  }
}

function keyOf({ request, round, runs }: CrashRecord): string {
  return `${request} ${round} ${runs.length}`;
}
