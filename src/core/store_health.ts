/**
 * What this VM knows of whether the store answers.
 *
 * ```ts
 * health.failed("read the registry", now);
 * health.isFailing(now); // true: no paid call is made
 * health.answered(sentAt, now); // a membership call got through
 * ```
 *
 * @module
 */
import { MEMBERSHIP_STEP } from "./entry_event.ts";

/** The store counts as lost after this long without an answer, in
 * milliseconds: some calls of each second are missing by then. */
const LOST_AFTER = 1_500;
/** Longest time without paid calls after one has failed, in milliseconds: refused
 * calls are paid for too, and an outage lasts seconds. */
const CALL_PAUSE = 2_000;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StoreHealth {
  /** When the last call that was answered was sent. */
  #answeredAt = -Infinity;
  /** When a paid call failed, if none was answered since. */
  #failedAt = -Infinity;
  /** Steps that have failed since the store answered. */
  readonly #failingSteps = new Set<string>();
  #isLost = true;

  private constructor() {}

  /** Nothing has been heard of the store. */
  static create(): StoreHealth {
    return new StoreHealth();
  }

  /** Whether the store has not answered for long. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /** Time since the sending of the last call that was answered. */
  silence(now: number): number {
    return now - this.#answeredAt;
  }

  /** A call that was sent at `sentAt` was answered. True when that ends a loss. */
  answered(sentAt: number, now: number): boolean {
    this.#answeredAt = Math.max(this.#answeredAt, sentAt);
    if (now - sentAt > LOST_AFTER) return false;
    this.#failingSteps.clear();
    this.#failedAt = -Infinity;
    const wasLost = this.#isLost;
    this.#isLost = false;
    return wasLost;
  }

  /** Another VM was in touch with the store at `at` and tells what is new there:
   * this one misses nothing, whether its own calls are answered or not. True when
   * that ends a loss. */
  vouched(at: number, now: number): boolean {
    this.#answeredAt = Math.max(this.#answeredAt, at);
    if (!this.#isLost || now - at > LOST_AFTER) return false;
    this.#isLost = false;
    return true;
  }

  /** A call failed. True when it is the first failure of its step. */
  failed(step: string, now: number): boolean {
    if (step !== MEMBERSHIP_STEP) this.#failedAt = now;
    if (this.#failingSteps.has(step)) return false;
    this.#failingSteps.add(step);
    return true;
  }

  /**
   * Whether a paid call has failed just now and none was answered since. No
   * further one is made then: the membership calls, which cost a tenth, find out
   * when the store answers again.
   */
  isFailing(now: number): boolean {
    return now < this.callableAt;
  }

  /** Until when no paid call is made; in the past while the store answers. */
  get callableAt(): number {
    return this.#failedAt + CALL_PAUSE;
  }

  /** Looks at the clock. True when the store has just become lost. */
  advance(now: number): boolean {
    if (this.#isLost || this.silence(now) <= LOST_AFTER) return false;
    this.#isLost = true;
    return true;
  }
}
