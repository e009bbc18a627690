/**
 * Bounds retries to a share of the requests, so that they cannot multiply the
 * load of servers that are already short of capacity.
 *
 * @module
 */

/** Retries allowed for each request. */
const RATIO = 0.1;
/** Retries that may be saved up. */
const MAXIMUM = 20;

/** A token bucket filled by requests and emptied by retries. */
export class RetryBudget {
  #tokens = MAXIMUM;

  private constructor() {}

  /** A full budget. */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** A first attempt was made. */
  deposit(): void {
    this.#tokens = Math.min(MAXIMUM, this.#tokens + RATIO);
  }

  /** Takes one retry from the budget if it holds one. */
  withdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
