/**
 * Tracks whether the store answers this VM, and suppresses calls that can wait
 * during an outage. Each call is billed, even a rejected one; a membership call
 * costs a tenth of a read. Membership calls are therefore not suppressed: they
 * detect when the store answers again.
 *
 * ```ts
 * health.failed("read the registry", now);
 * health.isFailing(now); // true: calls that can wait are not made
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
 * Maximum time for which calls are suppressed after one has failed, in
 * milliseconds. Rejected calls are billed too, and an outage lasts seconds.
 */
const RETRY_DELAY = 2_000;

/**
 * See the module's comment. Times are milliseconds of this VM's monotonic
 * clock.
 */
export class StoreHealth {
  /**
   * When the last answered call was sent, by this VM or by the VM that sends it
   * the store's updates.
   */
  #answeredAt = -Infinity;
  /**
   * When a call other than a membership call last failed; -Infinity if a call
   * was answered since.
   */
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

  /**
   * Time since the last answered call was sent, by this VM or by the VM that
   * sends it the store's updates.
   */
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
   * Whether a call other than a membership call has failed within the retry
   * delay and no call was answered since. Calls that can wait are not made
   * meanwhile.
   */
  isFailing(now: number): boolean {
    return now < this.retryAt;
  }

  /**
   * Time until which calls that can wait are suppressed; in the past while the
   * store answers.
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
