/**
 * Tells of records that cannot be decoded: a line when one is first met and one
 * when it is gone, not one at each read, and a count of all. It goes by the reads
 * of this VM; one that is told by the term holder ends its line when it reads
 * again itself.
 *
 * @module
 */
import type { Journal } from "../logging/index.ts";
import type { DecodedRead } from "./control_store.ts";
import type { EntryMetrics } from "./entry_metrics.ts";

/** Keys that are remembered; bounds memory, whatever is written. Faults beyond
 * are counted, and one line says so. */
const MAXIMUM_KEYS = 256;
/** Characters of a key that are logged. */
const KEY_LENGTH = 64;

/** See the module's comment. */
export class DecodeFailureLog {
  readonly #keys = new Set<string>();
  #isFull = false;

  private constructor(
    private readonly feed: string,
    private readonly journal: Journal,
    private readonly metrics: EntryMetrics,
  ) {}

  /** The faults among the records of `feed`; none is known yet. */
  static create(
    feed: string,
    journal: Journal,
    metrics: EntryMetrics,
  ): DecodeFailureLog {
    return new DecodeFailureLog(feed, journal, metrics);
  }

  /** Takes what a read said of its records. */
  update({ faults, sound, isWhole }: DecodedRead): void {
    const gone = isWhole ? [...this.#keys] : sound;
    const faulty = new Set(faults.map(({ key }) => key));
    for (const key of gone) {
      if (!faulty.has(key)) this.#end(key);
    }
    for (const { key, reason } of faults) {
      this.metrics.count("records_unreadable_total", `feed="${this.feed}"`);
      this.#begin(key, reason);
    }
  }

  #begin(key: string, reason: string): void {
    if (this.#keys.has(key)) return;
    if (this.#keys.size < MAXIMUM_KEYS) {
      this.#keys.add(key);
      return this.#write("record.unreadable", { key: shown(key), reason });
    }
    if (this.#isFull) return;
    this.#isFull = true;
    this.#write("record.unreadable_more", { known: MAXIMUM_KEYS });
  }

  #end(key: string): void {
    if (!this.#keys.delete(key)) return;
    this.#isFull = false;
    this.#write("record.readable_again", { key: shown(key) });
  }

  #write(message: string, fields: Record<string, string | number>): void {
    this.journal.write("warn", message, { feed: this.feed, ...fields });
  }
}

function shown(key: string): string {
  return key.slice(0, KEY_LENGTH);
}
