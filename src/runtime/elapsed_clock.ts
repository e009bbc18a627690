/**
 * Elapsed time since the process started, including time for which the machine
 * was suspended.
 *
 * The steady clock stops during a suspension. The time of day continues, but it
 * may also be adjusted, and an adjustment is not elapsed time; the uptime of
 * the machine tells the two apart. Reading the uptime takes 0.05 ms, so it is
 * read only when the time of day has jumped, and periodically to verify that it
 * runs at the rate of the steady clock: some platforms report the uptime of
 * another machine to a process. On such a platform, a forward jump of the time
 * of day is treated as a suspension and reported as uncertain.
 *
 * @module
 */

/** Clocks of a machine, in milliseconds. */
export interface ClockReadings {
  /** Never goes back, and stops while the machine is suspended. */
  steady(): number;
  /** Unix time, which may step forwards or backwards when it is adjusted. */
  timeOfDay(): number;
  /** Time since the machine started, including suspensions. */
  uptime(): number;
}

/** Elapsed time that the steady clock has not counted. */
export interface ClockJump {
  /** Length in milliseconds. */
  gap: number;
  /**
   * Whether the time has certainly elapsed; otherwise the time of day may only
   * have been adjusted.
   */
  isCertain: boolean;
}

/**
 * Minimum difference between two clocks that counts as a jump, in milliseconds.
 * It is far more than their resolution, and far more than a slewed clock drifts
 * between two readings.
 */
const MINIMUM_JUMP = 100;
/** Maximum time between two readings that are compared, in milliseconds. */
const MAXIMUM_READ_DURATION = 10;
/** Maximum attempts to read two clocks within that time. */
const MAXIMUM_READ_ATTEMPTS = 5;
/** Interval between two checks of the uptime, in milliseconds. */
const CHECK_INTERVAL = 2_000;
/**
 * Maximum drift of the uptime against the steady clock between two checks, in
 * milliseconds, up to which both count as running at the same rate.
 */
const MAXIMUM_DRIFT = 40;
/** Number of checks without drift after which the uptime is trusted. */
const CHECKS_TO_TRUST = 3;

/** See the module's comment. */
export class ElapsedClock {
  /** Total time of all suspensions, in milliseconds. */
  #suspendedTime = 0;
  /** Offsets of the other clocks from the steady one, in milliseconds. */
  #timeOfDayOffset: number;
  #uptimeOffset: number;
  /** Time of the last check of the uptime, on the steady clock. */
  #checkedAt: number;
  /** Whether the time of day has jumped since the last check. */
  #hasJumped = false;
  /**
   * Time by which the time of day was set back and not yet forward again, in
   * milliseconds.
   */
  #setBackBy = 0;
  /** Number of checks in which the uptime did not drift. */
  #passedChecks = 0;
  /** Whether the uptime was observed to run at another rate. */
  #isUptimeFaulty = false;
  readonly #listeners = new Set<(jump: ClockJump) => void>();

  private constructor(private readonly readings: ClockReadings) {
    this.#timeOfDayOffset = this.#offsetOf(() => readings.timeOfDay());
    this.#uptimeOffset = this.#offsetOf(() => readings.uptime());
    this.#checkedAt = readings.steady();
  }

  /** Creates a clock that starts now. */
  static create(readings: ClockReadings): ElapsedClock {
    return new ElapsedClock(readings);
  }

  /**
   * Calls `listener` for each jump, before `now` returns a time after the jump.
   * Returns a function that removes the listener.
   */
  onJump(listener: (jump: ClockJump) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Milliseconds since an arbitrary start; never goes back. */
  now(): number {
    const steady = this.readings.steady();
    let shift = this.readings.timeOfDay() - steady - this.#timeOfDayOffset;
    if (Math.abs(shift) >= MINIMUM_JUMP) {
      shift = this.#offsetOf(() => this.readings.timeOfDay()) -
        this.#timeOfDayOffset;
    }
    this.#timeOfDayOffset += shift;
    if (Math.abs(shift) >= MINIMUM_JUMP) this.#handleJump(shift);
    else if (steady - this.#checkedAt >= CHECK_INTERVAL) this.#check(steady);
    return this.readings.steady() + this.#suspendedTime;
  }

  /**
   * Offset of a clock from the steady one. Reads again if the readings were too
   * far apart: a process that is stopped between them would measure an offset
   * that does not exist.
   */
  #offsetOf(read: () => number): number {
    let offset = 0;
    for (let i = 0; i < MAXIMUM_READ_ATTEMPTS; i++) {
      const before = this.readings.steady();
      offset = read() - before;
      if (this.readings.steady() - before <= MAXIMUM_READ_DURATION) break;
    }
    return offset;
  }

  get #isUptimeTrusted(): boolean {
    return !this.#isUptimeFaulty && this.#passedChecks >= CHECKS_TO_TRUST;
  }

  /**
   * Handles a shift of the time of day by `shift` relative to the steady clock.
   */
  #handleJump(shift: number): void {
    this.#hasJumped = true;
    if (!this.#isUptimeTrusted) {
      const gap = this.#isStepCorrection(shift) ? 0 : shift;
      return this.#addJump({ gap, isCertain: false });
    }
    this.#addJump({ gap: this.#updateUptimeOffset(), isCertain: true });
  }

  /** Whether a jump of the time of day reverses an earlier step back. */
  #isStepCorrection(shift: number): boolean {
    const isCorrection = this.#setBackBy > 0 &&
      Math.abs(shift - this.#setBackBy) <= MAXIMUM_DRIFT;
    this.#setBackBy = shift < 0 ? this.#setBackBy - shift : 0;
    return isCorrection;
  }

  /** Checks whether the uptime runs at the rate of the steady clock. */
  #check(steady: number): void {
    const hasJumped = this.#hasJumped;
    const shift = this.#updateUptimeOffset();
    this.#checkedAt = steady;
    this.#hasJumped = false;
    if (Math.abs(shift) <= MAXIMUM_DRIFT) this.#passedChecks += 1;
    else if (!hasJumped && !this.#isUptimeTrusted) this.#isUptimeFaulty = true;
    else if (shift >= MINIMUM_JUMP && this.#isUptimeTrusted) {
      // The machine was suspended, but the time of day was set back meanwhile
      // and therefore has not jumped.
      this.#addJump({ gap: shift, isCertain: true });
    }
  }

  /**
   * Updates the offset of the uptime. Returns its shift relative to the steady
   * clock since the last update, in milliseconds.
   */
  #updateUptimeOffset(): number {
    const offset = this.#offsetOf(() => this.readings.uptime());
    const shift = offset - this.#uptimeOffset;
    this.#uptimeOffset = offset;
    return shift;
  }

  /** Counts the jump as elapsed time, unless it is too small or backwards. */
  #addJump(jump: ClockJump): void {
    if (jump.gap < MINIMUM_JUMP) return;
    this.#suspendedTime += jump.gap;
    for (const listener of this.#listeners) listener(jump);
  }
}
