/**
 * Tracks whether the store answers this VM, and suppresses billed calls during
 * an outage.
 *
 * ```ts
 * health.failed("read the registry", now);
 * health.isFailing(now); // true: no billed call is made
 * health.answered(sentAt, now); // a membership call was answered
 * ```
 *
 * @module
 */
import { MEMBERSHIP_STEP } from "./entry_event.ts";

/**
 * Time without an answer after which the store counts as lost, that is, as
 * unreachable, in milliseconds. Several calls are made each second, so several
 * answers are missing by then.
 */
const LOST_AFTER = 1_500;
/**
 * Maximum time for which no billed call is made after one has failed, in
 * milliseconds. Rejected calls are billed too, and an outage lasts seconds.
 */
const RETRY_DELAY = 2_000;

/**
 * See the module's comment. Times are milliseconds of this VM's monotonic
 * clock.
 */
export class StoreHealth {
  /** When the last answered call was sent. */
  #answeredAt = -Infinity;
  /** When a billed call last failed; -Infinity if a call was answered since. */
  #failedAt = -Infinity;
  /** Steps that have failed since the store last answered. */
  readonly #failingSteps = new Set<string>();
  #isLost = true;

  private constructor() {}

  /** Creates the state before the first answer: the store counts as lost. */
  static create(): StoreHealth {
    return new StoreHealth();
  }

  /** Whether the store counts as lost. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Time since the last answered call was sent. */
  silence(now: number): number {
    return now - this.#answeredAt;
  }

  /**
   * Records the answer to a call that was sent at `sentAt`. Returns whether the
   * store was lost until now. An answer that took longer than
   * {@linkcode LOST_AFTER} does not show that the store is reachable now.
   */
  answered(sentAt: number, now: number): boolean {
    this.#answeredAt = Math.max(this.#answeredAt, sentAt);
    if (now - sentAt > LOST_AFTER) return false;
    this.#failingSteps.clear();
    this.#failedAt = -Infinity;
    const wasLost = this.#isLost;
    this.#isLost = false;
    return wasLost;
  }

  /**
   * Records that the VM that sends this VM the store's updates reached the
   * store at `at`: this VM is up to date even if its own calls are not
   * answered. Returns whether the store was lost until now.
   */
  confirmedByPeer(at: number, now: number): boolean {
    this.#answeredAt = Math.max(this.#answeredAt, at);
    if (!this.#isLost || now - at > LOST_AFTER) return false;
    this.#isLost = false;
    return true;
  }

  /**
   * Records a failed call. Returns whether it is the first failure of its step
   * since the store last answered.
   */
  failed(step: string, now: number): boolean {
    if (step !== MEMBERSHIP_STEP) this.#failedAt = now;
    if (this.#failingSteps.has(step)) return false;
    this.#failingSteps.add(step);
    return true;
  }

  /**
   * Whether a billed call has failed within the retry delay and no call was
   * answered since. No further billed call is made meanwhile: the membership
   * calls, which cost a tenth, detect when the store answers again.
   */
  isFailing(now: number): boolean {
    return now < this.retryAt;
  }

  /**
   * Time until which no billed call is made; in the past while the store
   * answers.
   */
  get retryAt(): number {
    return this.#failedAt + RETRY_DELAY;
  }

  /**
   * Marks the store as lost if it has not answered for too long. Returns
   * whether it was not lost before.
   */
  advance(now: number): boolean {
    if (this.#isLost || this.silence(now) <= LOST_AFTER) return false;
    this.#isLost = true;
    return true;
  }
}
