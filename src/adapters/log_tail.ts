/**
 * Follows the log and turns what it says into events.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import type { LogRecord } from "../core/index.ts";
import type { EventSink } from "./event_loop.ts";
import type { Log } from "./log_client.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { errorText } from "../errors/index.ts";

/** Pause after a failed read, in milliseconds. */
const RETRY_PAUSE = 200;

/** See the module's comment. */
export class LogTail {
  #stopped = false;

  private constructor(
    private readonly log: Log,
    private readonly sink: EventSink,
  ) {}

  /** A tail of `log` whose events go to `sink`. */
  static create(log: Log, sink: EventSink): LogTail {
    return new LogTail(log, sink);
  }

  /** Reads on until stopped. `position` says from where. */
  async run(position: () => number): Promise<void> {
    let wait = false;
    while (!this.#stopped) {
      try {
        const page = await this.log.read(position(), wait);
        if (this.#stopped) return;
        wait = page.entries.length === 0;
        this.sink.push({ kind: "log.read", now: monotonicNow(), ...page });
      } catch (error) {
        if (this.#stopped) return;
        this.sink.push({
          kind: "log.read_failed",
          now: monotonicNow(),
          detail: errorText(error),
        });
        wait = false;
        await delay(RETRY_PAUSE);
      }
    }
  }

  /** Appends a record and reports what came of it. */
  append(record: LogRecord): void {
    const ended = (offset: number | null) =>
      this.sink.push({
        kind: "log.append_ended",
        now: monotonicNow(),
        record,
        offset,
      });
    this.log.append(record).then(ended, () => ended(null));
  }

  /** Reads no more. */
  stop(): void {
    this.#stopped = true;
    this.log.close();
  }
}
