/**
 * Estimates the number of VMs among which servers and the retry budget are shared. A
 * new term holder has received reports from few VMs at first, and with too low a count
 * every VM would use too large a share. The estimate is therefore the largest recent
 * count.
 *
 * @module
 */

/** Time for which a larger count is kept, in milliseconds: the window of the retry
 * budget, in which VMs that have stopped still count. */
const RETENTION_TIME = 10_000;

/** See the module's comment. Times are milliseconds. */
export class VmCount {
  #largest: number | null = null;
  #largestAt = -Infinity;
  /** Largest count observed since the estimate was last confirmed. */
  #candidate: { count: number; at: number } | null = null;

  private constructor() {}

  /** Creates an estimate that is not known yet. */
  static create(): VmCount {
    return new VmCount();
  }

  /** The estimated count, or null before the first observation. */
  get value(): number | null {
    return this.#largest;
  }

  /** Records a VM's count of the live VMs. */
  observe(count: number, now: number): void {
    if (this.#largest === null || count >= this.#largest) {
      this.#largest = count;
      this.#largestAt = now;
      this.#candidate = null;
      return;
    }
    if (this.#candidate === null || count > this.#candidate.count) {
      this.#candidate = { count, at: now };
    }
    if (now - this.#largestAt < RETENTION_TIME) return;
    this.#largest = this.#candidate.count;
    this.#largestAt = this.#candidate.at;
    this.#candidate = null;
  }
}
