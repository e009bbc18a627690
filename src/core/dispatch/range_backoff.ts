/**
 * Ranges of keys whose server has refused them: what is known here of such a
 * range is old, or the server has not taken it yet. Until something newer is
 * known one request at a time asks again, ever less often; the others wait.
 *
 * Without this each request found out for itself, every 30 ms: one keyed service
 * got 234 arrivals of 200 requests in 2 s from a single VM.
 *
 * @module
 */
import type { AssignedRange } from "../keyspace/index.ts";

/** Pause after a range's first refusal, in milliseconds; doubles with each. */
const FIRST_PAUSE = 30;
/** Longest such pause: how late it is noticed that the server has the keys after
 * all, without a word of the term holder. */
const LONGEST_PAUSE = 240;

/** Doubt whether a server holds a range. */
interface Doubt {
  pause: number;
  /** When it was refused last. */
  refusedAt: number;
  /** Before this nobody asks. */
  until: number;
}

/**
 * See the module's comment. A range is known by its object: one that is told
 * anew, with the same server or another, is in no doubt. Times are milliseconds.
 */
export class RefusedRanges {
  readonly #doubts = new WeakMap<AssignedRange, Doubt>();

  private constructor() {}

  /** No range is in doubt. */
  static create(): RefusedRanges {
    return new RefusedRanges();
  }

  /** Until when no request may be sent for `range`; -Infinity without doubt. */
  until(range: AssignedRange): number {
    return this.#doubts.get(range)?.until ?? -Infinity;
  }

  /** A request was sent for `range`; while that is in doubt the others wait. */
  asked(range: AssignedRange, now: number): void {
    const doubt = this.#doubts.get(range);
    if (doubt !== undefined) doubt.until = now + doubt.pause;
  }

  /** Its server refused a request that was sent at `sentAt`. */
  refused(range: AssignedRange, sentAt: number, now: number): void {
    const doubt = this.#doubts.get(range);
    if (doubt === undefined) {
      const until = now + FIRST_PAUSE;
      this.#doubts.set(range, { pause: FIRST_PAUSE, refusedAt: now, until });
    } else if (sentAt >= doubt.refusedAt) {
      // Refusals of requests that were on their way together are one.
      doubt.pause = Math.min(LONGEST_PAUSE, doubt.pause * 2);
      doubt.refusedAt = now;
      doubt.until = now + doubt.pause;
    }
  }

  /** Its server ran a request. */
  served(range: AssignedRange): void {
    this.#doubts.delete(range);
  }
}
