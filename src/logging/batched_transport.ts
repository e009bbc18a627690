/**
 * Joins log lines and writes many at once: a write for each line would cost more
 * than the line. The buffer is bounded; what does not fit is dropped and
 * counted, since a slow reader of logs must not stop requests, nor one that is
 * gone.
 *
 * @module
 */
import type { Writable } from "node:stream";
import Transport from "winston-transport";

/** The key under which winston keeps a formatted line. */
const MESSAGE = Symbol.for("message");
/** Size at which lines are written at once, in characters. */
const FLUSH_SIZE = 32 * 1024;
/** Time after which lines are written at the latest, in milliseconds. */
const FLUSH_INTERVAL = 50;
/** Bytes that may wait in the output stream. */
const MAXIMUM_PENDING = 8 * 1024 * 1024;

/** A winston transport; see the module's comment. */
export class BatchedTransport extends Transport {
  #lines = "";
  #timer: NodeJS.Timeout | null = null;
  #dropped = 0;
  #isBroken = false;

  private constructor(private readonly output: Writable) {
    super();
    // Whoever read the log is gone; requests go on without it.
    output.on("error", () => this.#isBroken = true);
  }

  /** Writes to `output`. */
  static create(output: Writable): BatchedTransport {
    return new BatchedTransport(output);
  }

  /** Lines that were dropped because the output was too slow or broken. */
  get dropped(): number {
    return this.#dropped;
  }

  override log(info: Record<symbol, string>, next: () => void): void {
    const isFull = this.output.writableLength > MAXIMUM_PENDING;
    if (isFull || this.#isBroken) {
      this.#dropped += 1;
    } else {
      this.#lines += `${info[MESSAGE]}\n`;
      if (this.#lines.length >= FLUSH_SIZE) this.flush();
      else this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL);
    }
    next();
  }

  /** Writes what has gathered. */
  flush(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    if (this.#lines === "") return;
    this.output.write(this.#lines);
    this.#lines = "";
  }

  override close(): void {
    this.flush();
  }
}
