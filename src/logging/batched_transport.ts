/**
 * A winston transport that collects log lines and writes them in batches: a
 * write for each line would cost more than formatting it. The buffer is
 * bounded. Lines that do not fit are dropped and counted, because a slow or
 * closed log output must not stop requests.
 *
 * @module
 */
import type { Writable } from "node:stream";
import Transport from "winston-transport";

/** Key under which winston stores the formatted line. */
const MESSAGE = Symbol.for("message");
/** Size at which a batch is written immediately, in characters. */
const FLUSH_SIZE = 32 * 1024;
/** Maximum time for which a line stays in the batch, in milliseconds. */
const FLUSH_INTERVAL = 50;
/** Maximum bytes buffered in the output stream; further lines are dropped. */
const MAXIMUM_PENDING_BYTES = 8 * 1024 * 1024;

/** See the module's comment. */
export class BatchedTransport extends Transport {
  /** The batch: complete lines. */
  #lines = "";
  #timer: NodeJS.Timeout | null = null;
  #dropped = 0;
  #isBroken = false;

  private constructor(private readonly output: Writable) {
    super();
    // The log output was closed. The process continues without logging.
    output.on("error", () => this.#isBroken = true);
  }

  /** Creates a transport that writes to `output`. */
  static create(output: Writable): BatchedTransport {
    return new BatchedTransport(output);
  }

  /** Number of lines dropped because the output was too slow or broken. */
  get dropped(): number {
    return this.#dropped;
  }

  override log(info: Record<symbol, string>, next: () => void): void {
    const isFull = this.output.writableLength > MAXIMUM_PENDING_BYTES;
    if (isFull || this.#isBroken) {
      this.#dropped += 1;
    } else {
      this.#lines += `${info[MESSAGE]}\n`;
      if (this.#lines.length >= FLUSH_SIZE) this.flush();
      else this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL);
    }
    next();
  }

  /** Writes the batch immediately. */
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
