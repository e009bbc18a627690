/**
 * Reads the log from wherever it still begins. Where early records have
 * expired, the reader holds records back until a checkpoint covers what is
 * missing. What it has adopted it never takes back.
 *
 * @module
 */
import { EMPTY_LEDGER, foldRecord, type Verdict } from "./fold.ts";
import {
  type Ledger,
  type LogEntry,
  type LogRecord,
  recordSchema,
} from "./record.ts";

/** One record and what became of it. */
export interface Outcome {
  offset: number;
  kind: string;
  id: string;
  verdict: Verdict;
}

/** Folds a stream of log entries; see the module's comment. */
export class LedgerReader {
  #ledger: Ledger = EMPTY_LEDGER;
  #complete = false;
  #held: LogEntry[] = [];
  #position = 1;

  private constructor() {}

  /** A reader at the very start of the log. */
  static create(): LedgerReader {
    return new LedgerReader();
  }

  /** The state folded so far. */
  get ledger(): Ledger {
    return this.#ledger;
  }

  /** Whether the state covers every record up to {@linkcode position}. */
  get complete(): boolean {
    return this.#complete;
  }

  /** Offset of the next record to ask the log for. */
  get position(): number {
    return this.#position;
  }

  /**
   * Takes in entries in offset order. `first` is the oldest offset that the log
   * still keeps, `next` the offset that follows the entries given.
   */
  read(entries: readonly LogEntry[], first: number, next: number): Outcome[] {
    this.#detectGap(first);
    const outcomes: Outcome[] = [];
    for (const entry of entries) {
      if (entry.offset < this.#position) continue;
      this.#position = entry.offset + 1;
      outcomes.push(...this.#take(entry));
    }
    this.#position = Math.max(this.#position, next);
    return outcomes;
  }

  /** Adopts the state of a peer if it is ahead of this reader's. */
  adopt(ledger: Ledger): boolean {
    if (this.#complete && ledger.next <= this.#ledger.next) return false;
    if (ledger.next < this.#ledger.next) return false;
    this.#ledger = ledger;
    this.#complete = true;
    this.#held = [];
    this.#position = ledger.next;
    return true;
  }

  #detectGap(first: number): void {
    if (first <= this.#position) {
      if (!this.#complete && this.#position === 1) this.#complete = true;
      return;
    }
    this.#complete = false;
    this.#held = [];
    this.#position = first;
  }

  #take(entry: LogEntry): Outcome[] {
    const record = parseRecord(entry);
    if (this.#complete) return [this.#fold(entry.offset, record)];
    this.#held.push(entry);
    if (typeof record === "string" || record.kind !== "checkpoint.written") {
      return [];
    }
    const covered = record.ledger.next;
    if (covered < this.#held[0].offset || covered < this.#ledger.next) {
      return [];
    }
    const replay = this.#held.filter((each) => each.offset >= covered);
    this.#ledger = record.ledger;
    this.#complete = true;
    this.#held = [];
    return replay.map((each) => this.#fold(each.offset, parseRecord(each)));
  }

  #fold(offset: number, record: LogRecord | string): Outcome {
    if (typeof record === "string") {
      this.#ledger = { ...this.#ledger, next: offset + 1 };
      return {
        offset,
        kind: "unreadable",
        id: "",
        verdict: { accepted: false, reason: record },
      };
    }
    const { ledger, verdict } = foldRecord(this.#ledger, offset, record);
    this.#ledger = ledger;
    const id = record.kind === "configuration.published" ? record.id : "";
    return { offset, kind: record.kind, id, verdict };
  }
}

/** The record in an entry, or the reason for which it is skipped. */
function parseRecord(entry: LogEntry): LogRecord | string {
  const parsed = recordSchema.safeParse(entry.data);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  return `not a record of this version: ${
    issue.path.join(".")
  }: ${issue.message}`;
}
