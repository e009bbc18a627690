/**
 * Logs records that cannot be decoded: one line when a failure first occurs and
 * one when it is resolved, instead of one at each read. Every failure is
 * counted. It covers the reads of this VM only: while the VM receives store
 * updates from the term holder instead, a failure is resolved at its next own
 * read.
 *
 * @module
 */
import type { Journal } from "../logging/index.ts";
import type { DecodedRead } from "./control_store.ts";
import type { EntryMetrics } from "./entry_metrics.ts";

/**
 * Maximum number of remembered keys; bounds memory whatever is written. Further
 * failures are counted, and a single line reports them.
 */
const MAXIMUM_KEYS = 256;
/** Maximum length of a key in the log, in characters. */
const MAXIMUM_KEY_LENGTH = 64;

/** See the module's comment. */
export class DecodeFailureLog {
  readonly #failedKeys = new Set<string>();
  #isFull = false;

  private constructor(
    private readonly feed: string,
    private readonly logger: Journal,
    private readonly metrics: EntryMetrics,
  ) {}

  /** Creates a log for the records of `feed`, without any failure. */
  static create(
    feed: string,
    logger: Journal,
    metrics: EntryMetrics,
  ): DecodeFailureLog {
    return new DecodeFailureLog(feed, logger, metrics);
  }

  /** Logs the changes since the previous read. */
  update({ faults, sound, isWhole }: DecodedRead): void {
    const resolvedKeys = isWhole ? [...this.#failedKeys] : sound;
    const failedKeys = new Set(faults.map(({ key }) => key));
    for (const key of resolvedKeys) {
      if (!failedKeys.has(key)) this.#removeFailure(key);
    }
    for (const { key, reason } of faults) {
      this.metrics.count("records_unreadable_total", `feed="${this.feed}"`);
      this.#addFailure(key, reason);
    }
  }

  #addFailure(key: string, reason: string): void {
    if (this.#failedKeys.has(key)) return;
    if (this.#failedKeys.size < MAXIMUM_KEYS) {
      this.#failedKeys.add(key);
      return this.#write("record.unreadable", { key: truncated(key), reason });
    }
    if (this.#isFull) return;
    this.#isFull = true;
    this.#write("record.unreadable_more", { known: MAXIMUM_KEYS });
  }

  #removeFailure(key: string): void {
    if (!this.#failedKeys.delete(key)) return;
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
