/**
 * Token buckets that limit the rate of the requests that all VMs together send
 * to each rate-limited server. The term holder maintains them.
 *
 * Implements the generic cell rate algorithm: a bucket is represented by the
 * time at which it is full again if no token is taken (its theoretical arrival
 * time).
 *
 * @module
 */
import * as z from "zod";

/**
 * Time for which unused tokens accumulate, in milliseconds. The burst absorbs
 * random variation of arrivals, which would otherwise cause both idle time and
 * refusals.
 */
const BURST_TIME = 500;
/** Minimum number of unreserved tokens in a full bucket. */
const MINIMUM_BURST = 2;
/** Number of additional tokens reserved for the most urgent requests. */
const RESERVED_TOKENS = 1;
/** Number of buckets from which on full ones are removed. */
const MAXIMUM_BUCKETS = 1_024;
/** Milliseconds in a second. */
const MILLISECONDS_PER_SECOND = 1_000;

/** Schema of {@linkcode TokenAnswer}. */
export const tokenAnswerSchema = z.object({
  isGranted: z.boolean(),
  /** Milliseconds until a token is available; 0 if one is granted. */
  left: z.number().nonnegative(),
});

/** The term holder's answer to a token request. */
export type TokenAnswer = z.infer<typeof tokenAnswerSchema>;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class TokenBuckets {
  /**
   * Time at which a server's bucket is full again if no token is taken, by the
   * server's id.
   */
  readonly #buckets = new Map<string, number>();
  /** Time at which all buckets were empty; -Infinity if they started full. */
  #termStartedAt = -Infinity;

  private constructor() {}

  /** Starts with full buckets for all servers. */
  static create(): TokenBuckets {
    return new TokenBuckets();
  }

  /**
   * Empties all buckets when this VM becomes the term holder, since the tokens
   * that the previous term holder granted are unknown.
   */
  reset(now: number): void {
    this.#buckets.clear();
    this.#termStartedAt = now;
  }

  /**
   * Takes a token for a server with a limit of `requestsPerSecond`, if one is
   * available. `isUrgent` permits the use of the reserved token.
   */
  take(
    server: string,
    requestsPerSecond: number,
    isUrgent: boolean,
    now: number,
  ): TokenAnswer {
    const interval = MILLISECONDS_PER_SECOND / requestsPerSecond;
    const capacity = Math.max(MINIMUM_BURST, BURST_TIME / interval) +
      RESERVED_TOKENS;
    const reserved = isUrgent ? 0 : RESERVED_TOKENS;
    const fullAt = Math.max(now, this.#fullAt(server, capacity * interval));
    const left = fullAt + interval - (now + (capacity - reserved) * interval);
    if (left > 0) return { isGranted: false, left };
    if (this.#buckets.size >= MAXIMUM_BUCKETS) this.#removeFull(now);
    this.#buckets.set(server, fullAt + interval);
    return { isGranted: true, left: 0 };
  }

  /**
   * Time at which a server's bucket is full; an empty bucket takes `refillTime`
   * to fill.
   */
  #fullAt(server: string, refillTime: number): number {
    return this.#buckets.get(server) ?? this.#termStartedAt + refillTime;
  }

  #removeFull(now: number): void {
    for (const [server, fullAt] of this.#buckets) {
      if (fullAt <= now) this.#buckets.delete(server);
    }
  }
}
