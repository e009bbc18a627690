/**
 * How much time has gone by since the process started, also while its machine was
 * suspended.
 *
 * The steady clock stands still then. The time of day does not, but it is also set,
 * which is no time that has gone; the time since the machine started tells the two
 * apart. Reading that takes 0.05 ms, so it is read when the time of day has jumped, and
 * now and then to see whether it runs like the steady clock at all: some platforms
 * show a process that of another machine. There a jump ahead is taken for a
 * suspension, and said to be uncertain.
 *
 * @module
 */

/** What a machine's clocks show, in milliseconds. */
export interface ClockReadings {
  /** Never goes back, and stands still while the machine is suspended. */
  steady(): number;
  /** Unix time, which may step either way when it is set. */
  timeOfDay(): number;
  /** Time since the machine started, also what it was suspended for. */
  uptime(): number;
}

/** Time that has gone by and that the steady clock has not counted. */
export interface ClockJump {
  /** Milliseconds. */
  gap: number;
  /** Whether it has gone by for certain: the time of day may only have been set. */
  isCertain: boolean;
}

/** Difference between two clocks from which one has jumped, in milliseconds: far more
 * than their steps, and than a clock that is slewed gains between two looks. */
const JUMP = 100;
/** Longest time between two looks that are compared, in milliseconds, and how often
 * they are made anew for that. */
const LONGEST_LOOK = 10;
const MOST_LOOKS = 5;
/** Pause between two looks at the time since the machine's start, in milliseconds. */
const CHECK_PAUSE = 2_000;
/** Largest drift between two such looks of a clock that runs like the steady one. */
const LARGEST_DRIFT = 40;
/** Looks in a row without a drift after which it is believed. */
const LOOKS_TO_TRUST = 3;

/** See the module's comment. */
export class ElapsedClock {
  /** Time that was spent suspended. */
  #suspended = 0;
  /** By how much the other clocks are ahead of the steady one. */
  #dayLead: number;
  #uptimeLead: number;
  #checkedAt: number;
  /** Whether the time of day has jumped since that look. */
  #hasJumped = false;
  /** By how much the time of day was set back and not ahead again. */
  #setBack = 0;
  #soundLooks = 0;
  /** Whether the time since the machine's start was seen to run otherwise. */
  #isUptimeForeign = false;
  readonly #listeners = new Set<(jump: ClockJump) => void>();

  private constructor(private readonly readings: ClockReadings) {
    this.#dayLead = this.#leadOf(() => readings.timeOfDay());
    this.#uptimeLead = this.#leadOf(() => readings.uptime());
    this.#checkedAt = readings.steady();
  }

  /** A clock that begins now. */
  static create(readings: ClockReadings): ElapsedClock {
    return new ElapsedClock(readings);
  }

  /** Calls `listener` with every jump, before the time after it is told. Returns how
   * to stop that. */
  onJump(listener: (jump: ClockJump) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Milliseconds since some moment; never goes back. */
  now(): number {
    const steady = this.readings.steady();
    let shift = this.readings.timeOfDay() - steady - this.#dayLead;
    if (Math.abs(shift) >= JUMP) {
      shift = this.#leadOf(() => this.readings.timeOfDay()) - this.#dayLead;
    }
    this.#dayLead += shift;
    if (Math.abs(shift) >= JUMP) this.#jumped(shift);
    else if (steady - this.#checkedAt >= CHECK_PAUSE) this.#check(steady);
    return this.readings.steady() + this.#suspended;
  }

  /** By how much a clock is ahead of the steady one. A process that is stopped
   * between the looks at both would see a lead that is not there. */
  #leadOf(read: () => number): number {
    let lead = 0;
    for (let i = 0; i < MOST_LOOKS; i++) {
      const before = this.readings.steady();
      lead = read() - before;
      if (this.readings.steady() - before <= LONGEST_LOOK) break;
    }
    return lead;
  }

  get #isUptimeTrusted(): boolean {
    return !this.#isUptimeForeign && this.#soundLooks >= LOOKS_TO_TRUST;
  }

  /** The time of day has moved by `shift` against the steady clock. */
  #jumped(shift: number): void {
    this.#hasJumped = true;
    if (!this.#isUptimeTrusted) {
      const gap = this.#isSetAhead(shift) ? 0 : shift;
      return this.#count({ gap, isCertain: false });
    }
    this.#count({ gap: this.#takeUptimeShift(), isCertain: true });
  }

  /** Whether a jump of the time of day makes up for one back before. */
  #isSetAhead(shift: number): boolean {
    const makesUp = this.#setBack > 0 &&
      Math.abs(shift - this.#setBack) <= LARGEST_DRIFT;
    this.#setBack = shift < 0 ? this.#setBack - shift : 0;
    return makesUp;
  }

  #check(steady: number): void {
    const hasJumped = this.#hasJumped;
    const shift = this.#takeUptimeShift();
    this.#checkedAt = steady;
    this.#hasJumped = false;
    if (Math.abs(shift) <= LARGEST_DRIFT) this.#soundLooks += 1;
    else if (!hasJumped && !this.#isUptimeTrusted) this.#isUptimeForeign = true;
    else if (shift >= JUMP && this.#isUptimeTrusted) {
      // The time of day was set back while the machine was suspended.
      this.#count({ gap: shift, isCertain: true });
    }
  }

  /** By how much the time since the machine's start has moved against the steady
   * clock since this was asked last. */
  #takeUptimeShift(): number {
    const lead = this.#leadOf(() => this.readings.uptime());
    const shift = lead - this.#uptimeLead;
    this.#uptimeLead = lead;
    return shift;
  }

  #count(jump: ClockJump): void {
    if (jump.gap < JUMP) return;
    this.#suspended += jump.gap;
    for (const listener of this.#listeners) listener(jump);
  }
}
