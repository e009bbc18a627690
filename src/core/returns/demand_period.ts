/**
 * Detects demand that rises and falls periodically.
 *
 * @module
 */

/** Shortest period that is detected, in samples. */
const MINIMUM_PERIOD = 8;
/**
 * Minimum correlation of the samples with those one period earlier. With noise
 * of 10 %, a wave that swings by half of its mean has 0.9 and more.
 */
const MINIMUM_CORRELATION = 0.75;
/** Minimum standard deviation of the samples, as a share of their mean. */
const MINIMUM_VARIATION = 0.1;

/**
 * Returns the period of `samples` in samples, with a fraction; null if they are
 * not periodic, or cover less than two periods.
 *
 * The correlation must fall below 0 before the period and be high again at it.
 * A single burst does not have a second maximum.
 */
export function findPeriod(samples: readonly number[]): number | null {
  if (variation(samples) < MINIMUM_VARIATION) return null;
  const longest = Math.floor(samples.length / 2);
  let hasFallen = false;
  let best = { lag: 0, correlation: MINIMUM_CORRELATION };
  const correlations: number[] = [];
  for (let lag = 1; lag <= longest; lag++) {
    const correlation = correlate(samples, lag);
    correlations[lag] = correlation;
    hasFallen ||= correlation < 0;
    if (!hasFallen || lag < MINIMUM_PERIOD) continue;
    if (correlation > best.correlation) best = { lag, correlation };
    // Multiples of the period correlate as well; the first maximum counts.
    if (best.lag > 0 && correlation < 0) break;
  }
  // At the longest lag, it is unknown whether the correlation still rises.
  if (best.lag === 0 || best.lag === longest) return null;
  return best.lag +
    vertex(
      correlations[best.lag - 1],
      best.correlation,
      correlations[best.lag + 1],
    );
}

/** Correlation of the samples with those `lag` samples earlier, -1 to 1. */
function correlate(samples: readonly number[], lag: number): number {
  const earlier = samples.slice(0, samples.length - lag);
  const later = samples.slice(lag);
  const earlierMean = mean(earlier);
  const laterMean = mean(later);
  let product = 0;
  let earlierSquares = 0;
  let laterSquares = 0;
  for (let i = 0; i < earlier.length; i++) {
    const a = earlier[i] - earlierMean;
    const b = later[i] - laterMean;
    product += a * b;
    earlierSquares += a * a;
    laterSquares += b * b;
  }
  const scale = Math.sqrt(earlierSquares * laterSquares);
  return scale === 0 ? 0 : product / scale;
}

/** Offset of the vertex of a parabola through three neighbouring values. */
function vertex(left: number, middle: number, right: number): number {
  const curvature = left - 2 * middle + right;
  return curvature < 0 ? (left - right) / (2 * curvature) : 0;
}

/** Standard deviation as a share of the mean; 0 without samples. */
function variation(samples: readonly number[]): number {
  const average = mean(samples);
  if (average === 0) return 0;
  const squares = samples.map((each) => (each - average) ** 2);
  return Math.sqrt(mean(squares)) / average;
}

function mean(samples: readonly number[]): number {
  if (samples.length === 0) return 0;
  return samples.reduce((sum, each) => sum + each, 0) / samples.length;
}
