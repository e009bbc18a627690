/**
 * Tells whether the process is behind: on a small VM under load, what it reads
 * may be old.
 *
 * @module
 */
import { monotonicNow } from "./monotonic_clock.ts";

/** Pause between two looks, in milliseconds: so much of the lateness may go
 * unnoticed. */
const INTERVAL = 50;
/** Lateness from which a turn of the loop counts as late, in milliseconds: a look
 * was missed. With the pause, 0.1 s may go unnoticed: servers may work for callers
 * that have left for half a second, and a shutdown turns requests away 0.12 s before
 * it must. */
const LIMIT = INTERVAL;

/** See the module's comment. */
export class LoopLag {
  readonly #timer: NodeJS.Timeout;
  #lookedAt = monotonicNow();
  /** Since when nothing was read, in a turn of the loop that began late. */
  #unreadSince: number | null = null;

  private constructor() {
    this.#timer = setInterval(() => this.#look(), INTERVAL);
    this.#timer.unref();
  }

  /** Starts to look. */
  static create(): LoopLag {
    return new LoopLag();
  }

  /** By how much the loop is late now, in milliseconds: bytes that are read now
   * may have lain unread so long. */
  get lateness(): number {
    const dueAt = this.#unreadSince ?? this.#lookedAt + INTERVAL;
    return Math.max(0, monotonicNow() - dueAt);
  }

  /** Stops to look. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const now = monotonicNow();
    const dueAt = this.#lookedAt + INTERVAL;
    this.#lookedAt = now;
    if (now - dueAt <= LIMIT) return;
    // The loop reads after its timers and before its immediates.
    this.#unreadSince ??= dueAt;
    setImmediate(() => this.#unreadSince = null);
  }
}

/** Calls back once everything that lies unread on connections was read. */
export function afterPendingReads(callback: () => void): void {
  // The loop reads between two rounds of these; an end that comes with bytes is
  // read one round after them.
  setImmediate(() => setImmediate(() => setImmediate(callback)));
}
