/**
 * Tells whether the process is behind: on a small VM under load, what it reads
 * may be old.
 *
 * @module
 */
import { monotonicNow } from "./monotonic_clock.ts";

/** Pause between two looks, in milliseconds. */
const INTERVAL = 200;
/** Lateness from which the process counts as behind, in milliseconds: callers
 * that have left must not cost servers work for more than half a second. */
const LIMIT = 150;
/** Time for which that holds, in milliseconds: a backlog is worked off. */
const MEMORY = 1_000;

/** See the module's comment. */
export class LoopLag {
  readonly #timer: NodeJS.Timeout;
  #lookedAt = monotonicNow();
  #lateAt = -Infinity;

  private constructor() {
    this.#timer = setInterval(() => this.#look(), INTERVAL);
    this.#timer.unref();
  }

  /** Starts to look. */
  static create(): LoopLag {
    return new LoopLag();
  }

  /** Whether the loop was late lately, or is now. */
  get isBehind(): boolean {
    const now = monotonicNow();
    return now - this.#lookedAt > INTERVAL + LIMIT ||
      now - this.#lateAt <= MEMORY;
  }

  /** Stops to look. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const now = monotonicNow();
    if (now - this.#lookedAt > INTERVAL + LIMIT) this.#lateAt = now;
    this.#lookedAt = now;
  }
}
