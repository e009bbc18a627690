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

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StallDetector {
  #stepDueAt = Infinity;

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
    if (lateness < STALL_THRESHOLD) return 0;
    this.#stepDueAt = Infinity;
    return lateness;
  }
}
