/**
 * Measures the delay of the event loop. On an overloaded small VM, bytes may
 * have arrived long before they are read.
 *
 * @module
 */
import { monotonicNow } from "./monotonic_clock.ts";

/**
 * Interval of the measurement, in milliseconds. A delay is counted from when
 * the next measurement was due, up to this much after it began.
 */
const MEASURE_INTERVAL = 50;
/**
 * Delay above which a turn of the loop counts as late, in milliseconds: one
 * measurement was missed. Together with the interval, a delay of 0.1 s may go
 * undetected. This is acceptable: servers are allowed to work for up to half a
 * second for callers that have disconnected, and a shutdown rejects requests
 * 0.12 s before it must.
 */
const LATENESS_THRESHOLD = MEASURE_INTERVAL;

/** See the module's comment. */
export class LoopLag {
  readonly #timer: NodeJS.Timeout;
  #measuredAt = monotonicNow();
  /**
   * During a turn of the loop that began late: when the turn should have begun.
   * Null after the turn has read from the sockets.
   */
  #blockedSince: number | null = null;

  private constructor() {
    this.#timer = setInterval(() => this.#measure(), MEASURE_INTERVAL);
    this.#timer.unref();
  }

  /** Creates a meter and starts measuring. */
  static create(): LoopLag {
    return new LoopLag();
  }

  /**
   * Current delay of the loop, in milliseconds: bytes that are read now may
   * have arrived that much earlier.
   */
  get lateness(): number {
    const expectedAt = this.#blockedSince ??
      this.#measuredAt + MEASURE_INTERVAL;
    return Math.max(0, monotonicNow() - expectedAt);
  }

  /** Stops measuring. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #measure(): void {
    const now = monotonicNow();
    const expectedAt = this.#measuredAt + MEASURE_INTERVAL;
    this.#measuredAt = now;
    if (now - expectedAt <= LATENESS_THRESHOLD) return;
    // The loop reads from sockets after its timers and before its immediates.
    this.#blockedSince ??= expectedAt;
    setImmediate(() => this.#blockedSince = null);
  }
}

/** Calls `callback` after all bytes pending on connections have been read. */
export function afterPendingReads(callback: () => void): void {
  // The loop reads from sockets between two rounds of immediates. The end of a
  // stream that arrives together with bytes is read one round after them.
  setImmediate(() => setImmediate(() => setImmediate(callback)));
}
