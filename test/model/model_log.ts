/**
 * The platform's log in the model.
 *
 * @module
 */
import type { LogEntry, LogRecord } from "../../src/core/index.ts";

/** Records with offsets from 1 on, and faults. */
export class ModelLog {
  isOut = false;
  losesAnswers = false;
  readonly #records: LogEntry[] = [];

  private constructor() {}

  /** An empty log. */
  static create(): ModelLog {
    return new ModelLog();
  }

  /** Appends a record and returns its offset; null while the log is out. */
  append(record: LogRecord): number | null {
    if (this.isOut) return null;
    const offset = this.#records.length + 1;
    this.#records.push({ offset, data: structuredClone(record) });
    return offset;
  }

  /** Records from `offset` on. */
  read(offset: number): LogEntry[] {
    return this.#records.slice(offset - 1);
  }
}
