/**
 * Histogram of durations, such as the latencies of callers' requests.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Microseconds per millisecond; the histogram counts whole microseconds. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Percentiles that are reported. */
export const PERCENTILES = [50, 90, 99, 99.9] as const;

/** Statistics of one histogram; durations are in milliseconds. */
export interface LatencySummary {
  count: number;
  mean: number;
  max: number;
  percentiles: { percentile: number; value: number }[];
}

/** A histogram of durations with three significant digits. */
export class LatencyHistogram {
  /** Counts microseconds; initially up to one minute, it grows as needed. */
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60 * 1_000 * MICROSECONDS_PER_MILLISECOND,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

  private constructor() {}

  /** Creates an empty histogram. */
  static create(): LatencyHistogram {
    return new LatencyHistogram();
  }

  /** Records one duration in milliseconds. */
  record(milliseconds: number): void {
    this.#histogram.recordValue(
      Math.max(1, milliseconds * MICROSECONDS_PER_MILLISECOND),
    );
  }

  /** Returns the statistics of all recorded durations. */
  summary(): LatencySummary {
    const histogram = this.#histogram;
    return {
      count: histogram.totalCount,
      mean: histogram.mean / MICROSECONDS_PER_MILLISECOND,
      max: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
      percentiles: PERCENTILES.map((percentile) => ({
        percentile,
        value: histogram.getValueAtPercentile(percentile) /
          MICROSECONDS_PER_MILLISECOND,
      })),
    };
  }
}
