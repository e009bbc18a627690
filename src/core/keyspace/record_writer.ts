/**
 * Keeps the record of a term up to date: one write at a time, and one that got
 * no answer is repeated under its number, which the store carries out once.
 *
 * @module
 */
import type { AssignmentWrite } from "./keyspace_effect.ts";
import type { RangeTable } from "./range_table.ts";

/** Pause before a write without an answer is sent again, in milliseconds. */
const RETRY_PAUSE = 150;

/** A write that the store has not confirmed. */
interface PendingWrite {
  effect: AssignmentWrite;
  /** Revisions that it records. */
  revisions: Map<RangeTable, number>;
  /** When to send it again; Infinity while it is in flight. */
  sendAt: number;
}

/** See the module's comment. */
export class RecordWriter {
  /** The write that is not confirmed yet, or null. */
  #write: PendingWrite | null = null;
  #count = 0;

  private constructor(private readonly term: number) {}

  /** A writer of a term that has written nothing yet. */
  static create(term: number): RecordWriter {
    return new RecordWriter(term);
  }

  /** The write that is due, if there is one; `version` is that of all tables. */
  advance(
    tables: readonly RangeTable[],
    version: number,
    now: number,
  ): AssignmentWrite | null {
    if (this.#write !== null) {
      if (now < this.#write.sendAt) return null;
      this.#write.sendAt = Infinity;
      return this.#write.effect;
    }
    const dirty = tables.filter((each) => each.isDirty);
    if (dirty.length === 0) return null;
    this.#count += 1;
    const effect: AssignmentWrite = {
      kind: "assignments.write",
      term: this.term,
      sequence: this.#count,
      assignments: dirty.map((table) => table.snapshot(this.term, version)),
    };
    this.#write = {
      effect,
      revisions: new Map(dirty.map((each) => [each, each.revision])),
      sendAt: Infinity,
    };
    return effect;
  }

  /** The write in flight got no answer that counts. */
  writeAgain(now: number): void {
    if (this.#write !== null) this.#write.sendAt = now + RETRY_PAUSE;
  }

  /** The store confirmed the write in flight. */
  written(): void {
    for (const [table, revision] of this.#write?.revisions ?? []) {
      table.recorded = revision;
    }
    this.#write = null;
  }
}
