/**
 * Counts which keys are asked for. Every VM sees a hash of the callers, so the
 * term holder's own requests are a fair sample of all.
 *
 * @module
 */
import type { KeyRange } from "./assignment.ts";

/** Age up to which a request counts, in milliseconds: short enough to follow
 * keys that become busy within seconds. */
const WINDOW = 3_000;
/** Requests kept for each service; bounds memory and the time of a look. */
const MAXIMUM_SAMPLES = 4_000;
/** Age up to which requests are compared with those before, in milliseconds: a
 * busy key was moved 0.5 s after it became busy, 1 to 2 s by the whole window. */
const RECENT = 700;
/** Samples in that time below which nothing is called a surge. */
const FEWEST_RECENT = 100;
/** Numbers of keys that lie in one bin of the comparison, as a power of two:
 * busy keys are often close together. */
const BIN_BITS = 8;
/** Standard deviations by which a bin must exceed what the time before lets
 * expect: with 256 bins and three looks a second, chance does so once in hours. */
const SURGE_SIGNIFICANCE = 6;

/** Recent keys of one service. */
export class KeyLoad {
  readonly #keys: number[] = [];
  readonly #times: number[] = [];

  private constructor() {}

  /** A load without samples. */
  static create(): KeyLoad {
    return new KeyLoad();
  }

  /** Whether nothing was asked for lately. */
  get isEmpty(): boolean {
    return this.#keys.length === 0;
  }

  /** A request for `key` arrived. */
  record(key: number, now: number): void {
    this.#keys.push(key);
    this.#times.push(now);
    if (this.#keys.length > MAXIMUM_SAMPLES) this.#drop(MAXIMUM_SAMPLES / 2);
  }

  /**
   * The keys of the window in ascending order, each as often as asked for. While
   * some keys are asked for much more than before, only the newest requests
   * count: a server that is flooded now should not wait for the mean of seconds.
   */
  sorted(now: number): number[] {
    const old = this.#times.findIndex((time) => time > now - WINDOW);
    this.#drop(old < 0 ? this.#times.length : old);
    const recent = this.#times.findIndex((time) => time > now - RECENT);
    const isSurging = recent >= 0 && this.#isSurging(recent);
    const keys = isSurging ? this.#keys.slice(recent) : [...this.#keys];
    return keys.sort((a, b) => a - b);
  }

  /** The keys of the last `window` milliseconds in ascending order, each as often
   * as asked for. */
  newest(window: number, now: number): number[] {
    const first = this.#times.findIndex((time) => time > now - window);
    if (first < 0) return [];
    return this.#keys.slice(first).sort((a, b) => a - b);
  }

  /** Whether some bin has far more requests from index `recent` on than the
   * requests before let expect. */
  #isSurging(recent: number): boolean {
    const count = this.#keys.length - recent;
    if (count < FEWEST_RECENT || recent < count) return false;
    const before = countByBin(this.#keys.slice(0, recent));
    const scale = count / recent;
    for (const [bin, found] of countByBin(this.#keys.slice(recent))) {
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

/** The loads of all services. */
export class KeyLoads {
  readonly #loads = new Map<string, KeyLoad>();

  private constructor() {}

  /** Loads without samples. */
  static create(): KeyLoads {
    return new KeyLoads();
  }

  /** The load of a service. */
  of(service: string): KeyLoad {
    let load = this.#loads.get(service);
    if (load === undefined) {
      load = KeyLoad.create();
      this.#loads.set(service, load);
    }
    return load;
  }
}

/** Samples within a range; `sorted` is ascending. */
export function samplesIn(sorted: readonly number[], range: KeyRange): number {
  return lowerBound(sorted, range.last + 1) - lowerBound(sorted, range.first);
}

/** Index of the first sample that is not below `key`. */
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
