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
const MAXIMUM_SAMPLES = 2_000;

/** Recent keys of one service. */
export class KeyLoad {
  readonly #keys: number[] = [];
  readonly #times: number[] = [];

  private constructor() {}

  /** A load without samples. */
  static create(): KeyLoad {
    return new KeyLoad();
  }

  /** A request for `key` arrived. */
  record(key: number, now: number): void {
    this.#keys.push(key);
    this.#times.push(now);
    if (this.#keys.length > MAXIMUM_SAMPLES) this.#drop(MAXIMUM_SAMPLES / 2);
  }

  /** The keys of the window in ascending order, each as often as asked for. */
  sorted(now: number): number[] {
    const old = this.#times.findIndex((time) => time > now - WINDOW);
    this.#drop(old < 0 ? this.#times.length : old);
    return [...this.#keys].sort((a, b) => a - b);
  }

  #drop(count: number): void {
    this.#keys.splice(0, count);
    this.#times.splice(0, count);
  }
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
