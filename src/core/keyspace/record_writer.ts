/**
 * Writes the assignments of a term to the store, one write at a time. An
 * unanswered write is repeated with the same sequence number, so that the store
 * applies it only once.
 *
 * @module
 */
import type { Assignment } from "./assignment.ts";
import type { AssignmentWrite } from "./keyspace_effect.ts";
import type { RangeTable } from "./range_table.ts";

/** Delay before an unanswered write is repeated, in milliseconds. */
const RETRY_DELAY = 150;

/** A write that the store has not confirmed. */
interface PendingWrite {
  effect: AssignmentWrite;
  /** Revision of each table that the write contains. */
  revisions: Map<RangeTable, number>;
  /** When to send it again; Infinity while it is in flight. */
  sendAt: number;
}

/** Writes the assignments of one term; see the module's comment. */
export class RecordWriter {
  /** The unconfirmed write, or null. */
  #write: PendingWrite | null = null;
  #writeCount = 0;

  private constructor(
    private readonly term: number,
    private readonly era: number | null,
  ) {}

  /**
   * Creates a writer for a term, claimed in an era of the store, that has
   * written nothing yet.
   */
  static create(term: number, era: number | null = null): RecordWriter {
    return new RecordWriter(term, era);
  }

  /**
   * Returns the write that is due, or null. `version` is the version of the
   * assignments to write.
   */
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
    this.#writeCount += 1;
    const effect: AssignmentWrite = {
      kind: "assignments.write",
      term: this.term,
      sequence: this.#writeCount,
      assignments: dirty.map((table) => ({
        ...table.record(this.term, version),
        era: this.era,
      })),
    };
    this.#write = {
      effect,
      revisions: new Map(dirty.map((each) => [each, each.revision])),
      sendAt: Infinity,
    };
    return effect;
  }

  /**
   * Returns the assignment of a service in the unconfirmed write, which the
   * store may have recorded; undefined if there is none.
   */
  pendingAssignment(service: string): Assignment | undefined {
    return this.#write?.effect.assignments.find((each) =>
      each.service === service
    );
  }

  /** Schedules a retry of the write in flight, whose result is unknown. */
  scheduleRetry(now: number): void {
    if (this.#write !== null) this.#write.sendAt = now + RETRY_DELAY;
  }

  /** Records that the store has confirmed the write in flight. */
  confirm(): void {
    for (const [table, revision] of this.#write?.revisions ?? []) {
      table.recordedRevision = revision;
      table.isRecordLost = false;
      const recorded = this.pendingAssignment(table.service);
      if (recorded !== undefined) table.recorded = recorded;
    }
    this.#write = null;
  }
}
