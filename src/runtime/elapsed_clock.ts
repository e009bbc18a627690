/**
 * How much time has gone by since the process started.
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

/** See the module's comment. */
export class ElapsedClock {
  private constructor(private readonly readings: ClockReadings) {}

  /** A clock that begins now. */
  static create(readings: ClockReadings): ElapsedClock {
    return new ElapsedClock(readings);
  }

  /** Milliseconds since some moment; never goes back. */
  now(): number {
    return this.readings.steady();
  }
}
