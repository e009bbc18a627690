/**
 * Logs records that cannot be decoded: one line when a fault first occurs and
 * one when it is resolved, instead of one at each read. Every occurrence is
 * counted. The log covers the reads of this VM only: while the VM receives
 * store updates from the term holder instead, a fault counts as resolved only
 * after the VM's next own read.
 *
 * @module
 */
import type { Logger } from "../logging/index.ts";
import type { DecodedRead } from "./control_store.ts";
import type { EntryMetrics } from "./entry_metrics.ts";

/**
 * Maximum number of faulty keys that are kept in memory, whatever is written to
 * the store. Further faults are counted, and one line reports them.
 */
const MAXIMUM_KEYS = 256;
/** Maximum length of a key in the log, in characters. */
const MAXIMUM_KEY_LENGTH = 64;

/** See the module's comment. */
export class RecordFaultLog {
  readonly #faultyKeys = new Set<string>();
  /** Whether the line about further faults has been logged. */
  #isFull = false;

  private constructor(
    private readonly feed: string,
    private readonly logger: Logger,
    private readonly metrics: EntryMetrics,
  ) {}

  /** Creates a log for the records of `feed`, without any fault. */
  static create(
    feed: string,
    logger: Logger,
    metrics: EntryMetrics,
  ): RecordFaultLog {
    return new RecordFaultLog(feed, logger, metrics);
  }

  /** Logs the faults that occurred or were resolved since the previous read. */
  update({ faults, sound, isWhole }: DecodedRead): void {
    const resolvedKeys = isWhole ? [...this.#faultyKeys] : sound;
    const faultyKeys = new Set(faults.map(({ key }) => key));
    for (const key of resolvedKeys) {
      if (!faultyKeys.has(key)) this.#removeFault(key);
    }
    for (const { key, reason } of faults) {
      this.metrics.count("records_unreadable_total", `feed="${this.feed}"`);
      this.#addFault(key, reason);
    }
  }

  #addFault(key: string, reason: string): void {
    if (this.#faultyKeys.has(key)) return;
    if (this.#faultyKeys.size < MAXIMUM_KEYS) {
      this.#faultyKeys.add(key);
      return this.#write("record.unreadable", { key: truncated(key), reason });
    }
    if (this.#isFull) return;
    this.#isFull = true;
    this.#write("record.unreadable_more", { known: MAXIMUM_KEYS });
  }

  #removeFault(key: string): void {
    if (!this.#faultyKeys.delete(key)) return;
    this.#isFull = false;
    this.#write("record.readable_again", { key: truncated(key) });
  }

  #write(message: string, fields: Record<string, string | number>): void {
    this.logger.write("warn", message, { feed: this.feed, ...fields });
  }
}

function truncated(key: string): string {
  return key.slice(0, MAXIMUM_KEY_LENGTH);
}
