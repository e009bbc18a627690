/**
 * The rate limit that a server reports with its responses: the maximum number of
 * requests per second from all VMs combined. It applies until the server stops reporting
 * it.
 *
 * @module
 */
import * as z from "zod";

/** Shortest and longest time after which a limit that is not reported again expires, in
 * milliseconds. */
const MINIMUM_LIFETIME = 10_000;
const MAXIMUM_LIFETIME = 60_000;
/** Lifetime in multiples of the interval between requests at the limit, so that a low
 * limit does not expire between two responses. */
const INTERVALS_PER_LIFETIME = 4;
/** Milliseconds in a second. */
const MILLISECONDS_PER_SECOND = 1_000;

/** Schema of {@linkcode RateLimitReport}. */
export const rateLimitReportSchema = z.object({
  /** Null if the server no longer reports a limit. */
  requestsPerSecond: z.number().positive().nullable(),
  /** Milliseconds since the response that reported it. */
  age: z.number().nonnegative(),
});

/** The limit, or its absence, that a server has reported to any VM. */
export type RateLimitReport = z.infer<typeof rateLimitReportSchema>;

/** Whether a limit came into force or ended. */
export type RateLimitChange = "limited" | "unlimited";

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ReportedRateLimit {
  #requestsPerSecond: number | null = null;
  /** When the latest known response arrived, at any VM. */
  #respondedAt = -Infinity;
  /** When a limit was last reported. */
  #limitedAt = -Infinity;
  /** When the limit that was last reported expires. */
  #expiresAt = -Infinity;
  /** Whether the latest report arrived at this VM and was not yet sent to others. */
  #isUnsent = false;

  private constructor() {}

  /** The state of a server that has reported no limit. */
  static create(): ReportedRateLimit {
    return new ReportedRateLimit();
  }

  /**
   * Records the limit, or null for none, in the response to a request that was sent at
   * `sentAt`. A response without a limit is ignored if its request was sent before the
   * limit was last reported, since the response may predate the limit.
   */
  answered(
    requestsPerSecond: number | null,
    sentAt: number,
    now: number,
  ): RateLimitChange | null {
    if (requestsPerSecond === null && sentAt < this.#limitedAt) return null;
    const change = this.#apply(requestsPerSecond, now, now);
    this.#isUnsent = this.#isRecent(now);
    return change;
  }

  /** Applies a report that another VM received, unless it is older than the latest. */
  applyPeerReport(
    { requestsPerSecond, age }: RateLimitReport,
    now: number,
  ): RateLimitChange | null {
    if (now - age <= this.#respondedAt) return null;
    this.#isUnsent = false;
    return this.#apply(requestsPerSecond, now - age, now);
  }

  /** The limit in force, in requests per second, or null. */
  current(now: number): number | null {
    return this.#isRecent(now) ? this.#requestsPerSecond : null;
  }

  /** The latest report, or null if no limit was reported recently. */
  latestReport(now: number): RateLimitReport | null {
    if (!this.#isRecent(now)) return null;
    const age = Math.max(0, now - this.#respondedAt);
    return { requestsPerSecond: this.#requestsPerSecond, age };
  }

  /** Returns the latest report if it arrived at this VM since the last call. */
  takeUnsent(now: number): RateLimitReport | null {
    if (!this.#isUnsent) return null;
    this.#isUnsent = false;
    return this.latestReport(now);
  }

  #apply(
    requestsPerSecond: number | null,
    at: number,
    now: number,
  ): RateLimitChange | null {
    const wasLimited = this.current(now) !== null;
    this.#requestsPerSecond = requestsPerSecond;
    this.#respondedAt = at;
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
  const interval = MILLISECONDS_PER_SECOND / requestsPerSecond;
  const lifetime = Math.max(
    MINIMUM_LIFETIME,
    INTERVALS_PER_LIFETIME * interval,
  );
  return Math.min(MAXIMUM_LIFETIME, lifetime);
}
