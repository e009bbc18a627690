/**
 * Demand of one service by priority over the last 30 seconds, as the VMs have
 * reported it.
 *
 * @module
 */
import { findPeriod } from "./demand_period.ts";

/** Length of a step of the history, in milliseconds. */
export const HISTORY_STEP = 100;
/** Number of steps that are kept: 30 s, two periods of a wave of 15 s. */
const STEP_COUNT = 300;
/**
 * Number of steps over which the present demand is measured: one report
 * interval, which contains each VM's report once.
 */
const REPORT_STEPS = 5;
/**
 * Mean age of the requests in a report when it arrives, in milliseconds: half
 * of the report interval.
 */
export const MEAN_REPORT_AGE = 250;

const MILLISECONDS_PER_SECOND = 1_000;

/** Numbers of requests, as in a report; see `PriorityDemand`. */
export interface ReportedDemand {
  arrived: number;
  returned: number;
  refused: number;
}

/** Requests per second. */
export interface DemandRate {
  /** First attempts of callers. */
  fresh: number;
  /** Returns of refused callers. */
  returned: number;
  /** Requests that were refused with a promised time to return. */
  promised: number;
}

/** Counts of one priority, by step. */
type Series = Record<keyof DemandRate, Float64Array>;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class DemandHistory {
  readonly #series = new Map<number, Series>();
  #priorities: readonly number[] = [];
  /** Number of the latest step, and of the first one with a report. */
  #latest = -Infinity;
  #first = Infinity;

  private constructor() {}

  /** Creates a history without reports. */
  static create(): DemandHistory {
    return new DemandHistory();
  }

  /** Priorities with reports, the most urgent first. */
  get priorities(): readonly number[] {
    return this.#priorities;
  }

  /** Time since the first report, in milliseconds; negative without one. */
  age(now: number): number {
    return now - this.#first * HISTORY_STEP;
  }

  /** Adds a report that has just arrived. */
  record(
    priority: number,
    { arrived, returned, refused }: ReportedDemand,
    now: number,
  ): void {
    this.#advance(now);
    this.#first = Math.min(this.#first, this.#latest);
    let series = this.#series.get(priority);
    if (series === undefined) {
      const create = () => new Float64Array(STEP_COUNT);
      series = { fresh: create(), returned: create(), promised: create() };
      this.#series.set(priority, series);
      this.#priorities = [...this.#series.keys()].sort((a, b) => a - b);
    }
    const index = this.#latest % STEP_COUNT;
    series.fresh[index] += Math.max(0, arrived - returned);
    series.returned[index] += returned;
    series.promised[index] += refused;
  }

  /** Present demand of a priority: that of the last report interval. */
  recent(priority: number, now: number): DemandRate {
    this.#advance(now);
    const series = this.#series.get(priority);
    if (series === undefined) return { fresh: 0, returned: 0, promised: 0 };
    const until = this.#latest;
    const from = until - REPORT_STEPS;
    return {
      fresh: this.#rate(series.fresh, from, until),
      returned: this.#rate(series.returned, from, until),
      promised: this.#rate(series.promised, from, until),
    };
  }

  /**
   * Mean rate of first attempts of a priority that arrived at this VM's time
   * `from` to `until`, which must be in the past, in requests per second.
   */
  freshBetween(priority: number, from: number, until: number): number {
    const series = this.#series.get(priority);
    if (series === undefined) return 0;
    const stepAt = (time: number) =>
      Math.round((time + MEAN_REPORT_AGE) / HISTORY_STEP);
    return this.#rate(series.fresh, stepAt(from), stepAt(until));
  }

  /**
   * Period of the first attempts of all priorities, in milliseconds; null if
   * they are not periodic, or too little is known.
   */
  period(now: number): number | null {
    this.#advance(now);
    const known = Math.min(STEP_COUNT - 1, this.#latest - this.#first);
    const count = Math.floor(known / REPORT_STEPS);
    const samples = Array.from({ length: count }, (_, i) => {
      const from = this.#latest - (count - i) * REPORT_STEPS;
      let sum = 0;
      for (const { fresh } of this.#series.values()) {
        sum += this.#rate(fresh, from, from + REPORT_STEPS);
      }
      return sum;
    });
    const period = findPeriod(samples);
    return period === null ? null : period * REPORT_STEPS * HISTORY_STEP;
  }

  /** Mean rate in the steps `from` to `until` (exclusive) that are kept. */
  #rate(counts: Float64Array, from: number, until: number): number {
    const first = Math.max(from, this.#latest - STEP_COUNT + 1, this.#first);
    const end = Math.min(until, this.#latest);
    if (end <= first) return 0;
    let sum = 0;
    for (let step = first; step < end; step++) sum += counts[step % STEP_COUNT];
    return sum * MILLISECONDS_PER_SECOND / ((end - first) * HISTORY_STEP);
  }

  /** Begins the step of `now`, and clears those that it replaces. */
  #advance(now: number): void {
    const step = Math.floor(now / HISTORY_STEP);
    if (step <= this.#latest) return;
    const first = Math.max(this.#latest + 1, step - STEP_COUNT + 1);
    for (const series of this.#series.values()) {
      for (let each = first; each <= step; each++) {
        for (const counts of Object.values(series)) {
          counts[each % STEP_COUNT] = 0;
        }
      }
    }
    this.#latest = step;
  }
}
