/**
 * The pace of a server as one VM knows it from the term holder's answers.
 *
 * @module
 */

/**
 * Time in which a pace rises to 1 if no answer confirms it, in milliseconds.
 * Without a term holder nobody judges the server, and it must not be left idle.
 */
const RELEASE_TIME = 3_000;
/** Time for which an answer is current, in milliseconds: two answers and more. */
const CURRENT_TIME = 1_200;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class KnownPace {
  #value = 1;
  #receivedAt = -Infinity;

  private constructor() {}

  /** Creates the pace of a usual server. */
  static create(): KnownPace {
    return new KnownPace();
  }

  /** Applies a pace that the term holder has sent. */
  apply(value: number, now: number): void {
    this.#value = value;
    this.#receivedAt = now;
  }

  /** The pace now, from 0 to 1. */
  at(now: number): number {
    if (this.#value >= 1) return 1;
    const overdue = Math.max(0, now - this.#receivedAt - CURRENT_TIME);
    return Math.min(1, this.#value + overdue / RELEASE_TIME);
  }
}
