/**
 * Detects that this process has stalled: it did not run when a step was due,
 * because its machine was suspended, the process was paused, or its event loop
 * was blocked. Whatever waits for it meanwhile, such as the responses of
 * servers, is read only afterwards, so times that it measures then include the
 * stall.
 *
 * ```ts
 * detector.expectStep(nextAt); // a timer is set for this time
 * const duration = detector.detect(now); // at the begin of each step
 * ```
 *
 * @module
 */

/**
 * Time by which a step has to be late to count as a stall, in milliseconds. A
 * process that shares its processor with others is regularly late by less.
 */
const STALL_THRESHOLD = 100;
/** Time for which a late step counts as recent, in milliseconds. */
const LATENESS_LIFETIME = 10_000;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StallDetector {
  #stepDueAt = Infinity;
  /** Largest recent lateness of a step, and when that step began. */
  #largestLateness = 0;
  #largestAt = -Infinity;

  private constructor() {}

  /** Creates a detector that expects no step. */
  static create(): StallDetector {
    return new StallDetector();
  }

  /** Records that the next step is due at `at`, or earlier. */
  expectStep(at: number): void {
    this.#stepDueAt = at;
  }

  /**
   * Returns for how long the process has stalled when a step begins at `now`; 0
   * if it has not. Each stall is returned once.
   */
  detect(now: number): number {
    const lateness = now - this.#stepDueAt;
    if (lateness >= 0) this.#stepDueAt = Infinity;
    const isExpired = now - this.#largestAt > LATENESS_LIFETIME;
    if (lateness > this.#largestLateness || isExpired) {
      this.#largestLateness = Math.max(0, lateness);
      this.#largestAt = now;
    }
    return lateness < STALL_THRESHOLD ? 0 : lateness;
  }

  /** Largest recent lateness of a step, in milliseconds. */
  get recentLateness(): number {
    return this.#largestLateness;
  }
}
