/**
 * Keeps what is held back, or close to it, in the store, so that it outlives the loss of all VMs.
 *
 * The term holder writes it when the record lacks such a request, which
 * is seldom; every VM reads it at its start, with who holds the term. It is no
 * authority: what two holders write one after the other merges at its readers.
 *
 * @module
 */
import type { CrashRecord, Quarantine } from "../quarantine/index.ts";

/** Pause before a write that failed is made again, in milliseconds. */
const REPEAT_PAUSE = 1_000;

/** Writes what is held back; answered by `quarantine.written`. */
export interface QuarantineWrite {
  kind: "quarantine.write";
  records: CrashRecord[];
}

/** See the module's comment. Times are milliseconds. */
export class QuarantineRecord {
  /** What is known to be recorded: requests with their rounds and ends. */
  #recorded = new Set<string>();
  #writing: Set<string> | null = null;
  #dueAt = -Infinity;
  #revision = -1;

  private constructor(private readonly quarantine: Quarantine) {}

  /** The record of `quarantine`, of which nothing is known yet. */
  static create(quarantine: Quarantine): QuarantineRecord {
    return new QuarantineRecord(quarantine);
  }

  /** The record was read. */
  read(records: readonly CrashRecord[], now: number): void {
    this.#recorded = new Set(records.map(nameOf));
    this.quarantine.merge(records, now);
  }

  /** A write ended. */
  written(isDone: boolean, now: number): void {
    const names = this.#writing;
    this.#writing = null;
    if (isDone && names !== null) this.#recorded = names;
    else this.#dueAt = now + REPEAT_PAUSE;
    this.#revision = -1;
  }

  /** The write that is due at the term holder, or null. */
  advance(now: number): QuarantineWrite | null {
    if (this.#writing !== null || now < this.#dueAt) return null;
    const { recordRevision } = this.quarantine;
    if (recordRevision === this.#revision) return null;
    this.#revision = recordRevision;
    const records = this.quarantine.recordable(now);
    const names = records.map(nameOf);
    if (names.every((name) => this.#recorded.has(name))) return null;
    this.#writing = new Set(names);
    return { kind: "quarantine.write", records };
  }
}

function nameOf({ request, round, runs }: CrashRecord): string {
  return `${request} ${round} ${runs.length}`;
}
