/**
 * Samples the keys of requests. Each VM records the keys of its own requests,
 * and the term holder also those that the other VMs report. Callers are
 * distributed over the VMs by a hash, so the requests of each VM are a fair
 * sample of all.
 *
 * @module
 */
import type { KeyRange } from "./assignment.ts";

/**
 * Age up to which a request counts, in milliseconds. It is short enough to
 * follow keys that become busy within seconds.
 */
const SAMPLE_WINDOW = 3_000;
/**
 * Maximum number of samples of each service. It bounds the memory and the time
 * of a check of the load balance.
 */
const MAX_SAMPLES = 4_000;
/**
 * Age up to which requests count as recent and are compared with the earlier
 * ones, in milliseconds. With this window, a key that became busy was moved
 * after 0.5 s; with the whole window, after 1 to 2 s.
 */
const RECENT_WINDOW = 700;
/** Number of samples in that window below which no surge is detected. */
const MIN_RECENT_SAMPLES = 100;
/**
 * Binary logarithm of the number of adjacent keys in one bin of the comparison.
 * Bins contain several keys because busy keys are often close together.
 */
const BIN_BITS = 8;
/**
 * Standard deviations by which the requests of a bin must exceed the number
 * expected from the earlier requests. With 256 bins and three checks a second,
 * random variation exceeds this only once in hours.
 */
const SURGE_SIGNIFICANCE = 6;

/** Keys of the recent requests of one service. */
export class KeyLoad {
  readonly #keys: number[] = [];
  readonly #times: number[] = [];

  private constructor() {}

  /** Creates a load without samples. */
  static create(): KeyLoad {
    return new KeyLoad();
  }

  /** Whether there are no samples. */
  get isEmpty(): boolean {
    return this.#keys.length === 0;
  }

  /** Records a request for `key`. */
  record(key: number, now: number): void {
    this.#keys.push(key);
    this.#times.push(now);
    if (this.#keys.length > MAX_SAMPLES) this.#drop(MAX_SAMPLES / 2);
  }

  /**
   * Returns the keys in the sample window in ascending order, one for each
   * request. During a surge of requests for some keys, only the newest requests
   * count, so that an overloaded server need not wait until the mean over
   * seconds follows.
   */
  windowKeys(now: number): number[] {
    const old = this.#times.findIndex((time) => time > now - SAMPLE_WINDOW);
    this.#drop(old < 0 ? this.#times.length : old);
    const recentIndex = this.#times.findIndex((time) =>
      time > now - RECENT_WINDOW
    );
    const isSurging = recentIndex >= 0 && this.#isSurging(recentIndex);
    const keys = isSurging ? this.#keys.slice(recentIndex) : [...this.#keys];
    return keys.sort((a, b) => a - b);
  }

  /**
   * Returns the keys of the last `window` milliseconds in ascending order, one
   * for each request.
   */
  recentKeys(window: number, now: number): number[] {
    const first = this.#times.findIndex((time) => time > now - window);
    if (first < 0) return [];
    return this.#keys.slice(first).sort((a, b) => a - b);
  }

  /**
   * Whether some bin has far more requests from index `recentIndex` on than the
   * earlier requests predict.
   */
  #isSurging(recentIndex: number): boolean {
    const count = this.#keys.length - recentIndex;
    if (count < MIN_RECENT_SAMPLES || recentIndex < count) return false;
    const before = countByBin(this.#keys.slice(0, recentIndex));
    const scale = count / recentIndex;
    for (const [bin, found] of countByBin(this.#keys.slice(recentIndex))) {
      const expected = Math.max(1, (before.get(bin) ?? 0) * scale);
      const deviation = Math.sqrt(expected);
      if (found > expected + SURGE_SIGNIFICANCE * deviation) return true;
    }
    return false;
  }

  #drop(count: number): void {
    this.#keys.splice(0, count);
    this.#times.splice(0, count);
  }
}

function countByBin(keys: readonly number[]): Map<number, number> {
  const counts = new Map<number, number>();
  for (const key of keys) {
    const bin = key >> BIN_BITS;
    counts.set(bin, (counts.get(bin) ?? 0) + 1);
  }
  return counts;
}

/** Loads of all services. */
export class KeyLoads {
  readonly #loads = new Map<string, KeyLoad>();

  private constructor() {}

  /** Creates loads without samples. */
  static create(): KeyLoads {
    return new KeyLoads();
  }

  /** Returns the load of a service. */
  of(service: string): KeyLoad {
    let load = this.#loads.get(service);
    if (load === undefined) {
      load = KeyLoad.create();
      this.#loads.set(service, load);
    }
    return load;
  }
}

/** Returns the number of samples within a range; `sorted` is ascending. */
export function countInRange(
  sorted: readonly number[],
  range: KeyRange,
): number {
  return lowerBound(sorted, range.last + 1) - lowerBound(sorted, range.first);
}

/** Returns the index of the first sample that is not below `key`. */
export function lowerBound(sorted: readonly number[], key: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle] < key) low = middle + 1;
    else high = middle;
  }
  return low;
}
