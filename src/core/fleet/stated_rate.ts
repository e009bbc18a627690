/**
 * The rate limit that a server states with its answers: the maximum number of requests
 * per second from all VMs combined. It applies until the server stops stating it.
 *
 * @module
 */
import * as z from "zod";

/** Shortest and longest time after which a limit that is not restated expires, in
 * milliseconds. */
const SHORTEST_LIFETIME = 10_000;
const LONGEST_LIFETIME = 60_000;
/** Lifetime in multiples of the interval between requests at the limit, so that a low
 * limit does not expire between two answers. */
const LIFETIME_INTERVALS = 4;
/** Milliseconds in a second. */
const SECOND = 1_000;

/** Schema of {@linkcode RateStatement}. */
export const rateStatementSchema = z.object({
  /** Null if the server no longer states a limit. */
  requestsPerSecond: z.number().positive().nullable(),
  /** Milliseconds since the answer that stated it. */
  age: z.number().nonnegative(),
});

/** The limit, or its absence, that a server has stated to any VM. */
export type RateStatement = z.infer<typeof rateStatementSchema>;

/** Whether a limit has begun or ended. */
export type RateChange = "limited" | "unlimited";

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StatedRate {
  #requestsPerSecond: number | null = null;
  /** When the latest known answer arrived, at any VM. */
  #heardAt = -Infinity;
  /** When a limit was last stated. */
  #limitedAt = -Infinity;
  /** When the limit that was last stated expires. */
  #expiresAt = -Infinity;
  /** Whether the latest statement came to this VM and has not been reported. */
  #isUnreported = false;

  private constructor() {}

  /** The state of a server that has stated no limit. */
  static create(): StatedRate {
    return new StatedRate();
  }

  /**
   * The server has answered a request that was sent at `sentAt`, and states a limit or
   * none (null). An answer without a limit is ignored if its request was sent before
   * the limit was last stated, since the answer may predate the limit.
   */
  answered(
    requestsPerSecond: number | null,
    sentAt: number,
    now: number,
  ): RateChange | null {
    if (requestsPerSecond === null && sentAt < this.#limitedAt) return null;
    const change = this.#take(requestsPerSecond, now, now);
    this.#isUnreported = this.#isRecent(now);
    return change;
  }

  /** Applies a statement to another VM, unless it is older than the latest known. */
  heard(
    { requestsPerSecond, age }: RateStatement,
    now: number,
  ): RateChange | null {
    if (now - age <= this.#heardAt) return null;
    this.#isUnreported = false;
    return this.#take(requestsPerSecond, now - age, now);
  }

  /** The limit in force, in requests per second, or null. */
  current(now: number): number | null {
    return this.#isRecent(now) ? this.#requestsPerSecond : null;
  }

  /** The latest statement, or null if no limit was stated recently. */
  statement(now: number): RateStatement | null {
    if (!this.#isRecent(now)) return null;
    const age = Math.max(0, now - this.#heardAt);
    return { requestsPerSecond: this.#requestsPerSecond, age };
  }

  /** Takes the latest statement if it came to this VM since the last call. */
  takeUnreported(now: number): RateStatement | null {
    if (!this.#isUnreported) return null;
    this.#isUnreported = false;
    return this.statement(now);
  }

  #take(
    requestsPerSecond: number | null,
    at: number,
    now: number,
  ): RateChange | null {
    const wasLimited = this.current(now) !== null;
    this.#requestsPerSecond = requestsPerSecond;
    this.#heardAt = at;
    if (requestsPerSecond !== null) {
      this.#limitedAt = at;
      this.#expiresAt = at + lifetimeOf(requestsPerSecond);
    }
    const isLimited = this.current(now) !== null;
    if (wasLimited === isLimited) return null;
    return isLimited ? "limited" : "unlimited";
  }

  #isRecent(now: number): boolean {
    return now < this.#expiresAt;
  }
}

function lifetimeOf(requestsPerSecond: number): number {
  const interval = SECOND / requestsPerSecond;
  const lifetime = Math.max(SHORTEST_LIFETIME, LIFETIME_INTERVALS * interval);
  return Math.min(LONGEST_LIFETIME, lifetime);
}
