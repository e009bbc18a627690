/**
 * Estimates the number of VMs that share the capacity of the servers. A new
 * term holder has received reports from few VMs at first, and with too low a
 * count every VM would use too large a share. The estimate is therefore the
 * largest recent count.
 *
 * @module
 */

/**
 * Time for which a larger count is kept, in milliseconds. VMs that have not
 * reported to the term holder for some seconds may be partitioned from it, and
 * still use their shares. A count that is too high makes shares smaller.
 */
const RETENTION_TIME = 300_000;

/** See the module's comment. Times are milliseconds. */
export class VmCount {
  #largest: number | null = null;
  #largestAt = -Infinity;
  /**
   * Largest count since the estimate was last observed; the estimate falls to
   * it.
   */
  #replacement: { count: number; at: number } | null = null;

  private constructor() {}

  /** Creates an estimate without observations. */
  static create(): VmCount {
    return new VmCount();
  }

  /** The estimated count, or null before the first observation. */
  get value(): number | null {
    return this.#largest;
  }

  /**
   * Records a count of the running VMs that this VM or the term holder has
   * made.
   */
  observe(count: number, now: number): void {
    if (this.#largest === null || count >= this.#largest) {
      this.#largest = count;
      this.#largestAt = now;
      this.#replacement = null;
      return;
    }
    if (this.#replacement === null || count > this.#replacement.count) {
      this.#replacement = { count, at: now };
    }
    if (now - this.#largestAt < RETENTION_TIME) return;
    this.#largest = this.#replacement.count;
    this.#largestAt = this.#replacement.at;
    this.#replacement = null;
  }
}
