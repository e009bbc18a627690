/**
 * The number of VMs that share servers and the retry budget, estimated from
 * what is heard. A new term holder has heard few at first, and one that
 * undercounts lets every VM take too much: so the largest recent count holds.
 *
 * @module
 */

/** Time for which a larger count holds, in milliseconds: as long as the window
 * of the retry budget, in which VMs that have left still count. */
const MEMORY = 10_000;

/** See the module's comment. */
export class VmCount {
  #largest: number | null = null;
  #largestAt = -Infinity;
  #since: { count: number; at: number } | null = null;

  private constructor() {}

  /** A count that is not known yet. */
  static create(): VmCount {
    return new VmCount();
  }

  /** The estimate, or null before anything was heard. */
  get value(): number | null {
    return this.#largest;
  }

  /** Some source counts so many VMs. */
  heard(count: number, now: number): void {
    if (this.#largest === null || count >= this.#largest) {
      this.#largest = count;
      this.#largestAt = now;
      this.#since = null;
      return;
    }
    if (this.#since === null || count > this.#since.count) {
      this.#since = { count, at: now };
    }
    if (now - this.#largestAt < MEMORY) return;
    this.#largest = this.#since.count;
    this.#largestAt = this.#since.at;
    this.#since = null;
  }
}
