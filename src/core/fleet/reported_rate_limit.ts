/**
 * The rate limit that a server reports with its responses: the maximum number
 * of requests per second from all VMs combined. It applies until the server
 * stops reporting it.
 *
 * @module
 */
import * as z from "zod";

/**
 * Bounds of the time after which a limit expires that is not reported again, in
 * milliseconds.
 */
const MINIMUM_LIFETIME = 10_000;
const MAXIMUM_LIFETIME = 60_000;
/**
 * Lifetime in multiples of the interval between requests at the limit, so that
 * a low limit does not expire between two responses.
 */
const INTERVALS_PER_LIFETIME = 4;
/** Milliseconds in a second. */
const MILLISECONDS_PER_SECOND = 1_000;

/** Schema of {@linkcode RateLimitReport}. */
export const rateLimitReportSchema = z.object({
  /** The limit, or null if the server no longer reports one. */
  requestsPerSecond: z.number().positive().nullable(),
  /** Milliseconds since the response that reported it. */
  age: z.number().nonnegative(),
});

/** The rate limit, or its absence, that a server has reported to some VM. */
export type RateLimitReport = z.infer<typeof rateLimitReportSchema>;

/** Whether a limit came into force or ended. */
export type RateLimitChange = "limited" | "unlimited";

/**
 * The rate limit of one server; see the module's comment. Times are
 * milliseconds of this VM's clock.
 */
export class ReportedRateLimit {
  #requestsPerSecond: number | null = null;
  /**
   * When the response with the latest known report arrived, at whichever VM.
   */
  #respondedAt = -Infinity;
  /** When a limit was last reported. */
  #limitedAt = -Infinity;
  /** When the limit that was last reported expires. */
  #expiresAt = -Infinity;
  /**
   * Whether this VM received the latest report and has not yet sent it to other
   * VMs.
   */
  #isUnsent = false;

  private constructor() {}

  /** Creates the state of a server that has reported no limit. */
  static create(): ReportedRateLimit {
    return new ReportedRateLimit();
  }

  /**
   * Records the limit in the response to a request that was sent at `sentAt`,
   * or null if the response reports none. Such a response is ignored if its
   * request was sent before a limit was last reported, since the server may
   * have created it before the limit applied. Returns whether a limit came into
   * force or ended, or null.
   */
  applyResponse(
    requestsPerSecond: number | null,
    sentAt: number,
    now: number,
  ): RateLimitChange | null {
    if (requestsPerSecond === null && sentAt < this.#limitedAt) return null;
    const change = this.#apply(requestsPerSecond, now, now);
    this.#isUnsent = this.#isRecent(now);
    return change;
  }

  /**
   * Applies a report that another VM received, unless it is older than the
   * latest. Returns whether a limit came into force or ended, or null.
   */
  applyPeerReport(
    { requestsPerSecond, age }: RateLimitReport,
    now: number,
  ): RateLimitChange | null {
    if (now - age <= this.#respondedAt) return null;
    this.#isUnsent = false;
    return this.#apply(requestsPerSecond, now - age, now);
  }

  /** Returns the limit in force, in requests per second, or null. */
  current(now: number): number | null {
    return this.#isRecent(now) ? this.#requestsPerSecond : null;
  }

  /**
   * Returns the latest report, or null if the last reported limit has expired.
   */
  latestReport(now: number): RateLimitReport | null {
    if (!this.#isRecent(now)) return null;
    const age = Math.max(0, now - this.#respondedAt);
    return { requestsPerSecond: this.#requestsPerSecond, age };
  }

  /**
   * Returns the latest report if the server sent it to this VM since the last
   * call, or null.
   */
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

  /** Whether the last reported limit has not expired. */
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
