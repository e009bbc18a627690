/**
 * Latency histograms of callers' requests, refused ones apart.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Microseconds in a millisecond: histograms count whole microseconds. */
const MICROSECONDS = 1_000;

/** Percentiles that are reported. */
export const PERCENTILES = [50, 90, 99, 99.9] as const;

/** Figures of one histogram, in milliseconds. */
export interface LatencySummary {
  count: number;
  mean: number;
  max: number;
  percentiles: { percentile: number; value: number }[];
}

/** A histogram of durations. */
export class Latencies {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60 * 1_000 * MICROSECONDS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

  private constructor() {}

  /** An empty histogram. */
  static create(): Latencies {
    return new Latencies();
  }

  /** Records one duration in milliseconds. */
  record(milliseconds: number): void {
    this.#histogram.recordValue(Math.max(1, milliseconds * MICROSECONDS));
  }

  /** The figures so far. */
  summary(): LatencySummary {
    const histogram = this.#histogram;
    return {
      count: histogram.totalCount,
      mean: histogram.mean / MICROSECONDS,
      max: histogram.maxValue / MICROSECONDS,
      percentiles: PERCENTILES.map((percentile) => ({
        percentile,
        value: histogram.getValueAtPercentile(percentile) / MICROSECONDS,
      })),
    };
  }
}
