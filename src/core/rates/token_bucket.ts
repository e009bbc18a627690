/**
 * Token buckets that limit the rate of the requests that all VMs together send
 * to each server with a limit. The term holder maintains them.
 *
 * Implements the generic cell rate algorithm: a bucket is represented by the
 * time at which it is full again if no token is taken (its theoretical arrival
 * time).
 *
 * Operators permit {@linkcode PERMITTED_FACTOR} times the limit and
 * {@linkcode PERMITTED_EXCESS} requests in a second. The requests of a second
 * use tokens that were granted in it or at most one lifetime before, and a
 * bucket grants at most its capacity in addition to the rate. The capacity and
 * the lifetime keep the sum within what is permitted, whichever VMs use the
 * tokens.
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
/** Bounds of the number of unreserved tokens in a full bucket. */
const MINIMUM_BURST = 2;
const MAXIMUM_BURST = 6;
/** Number of additional tokens reserved for the most urgent requests. */
const RESERVED_TOKENS = 1;
/** Multiple of a limit that operators permit in a second. */
const PERMITTED_FACTOR = 1.5;
/** Number of requests that they permit in a second in addition. */
const PERMITTED_EXCESS = 8;
/**
 * Bounds of the lifetime of a token, in milliseconds. A request may use a token
 * for which another one asked, if that one has ended.
 */
const MINIMUM_LIFETIME = 500;
const MAXIMUM_LIFETIME = 1_000;
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

  /** Empties all buckets. */
  reset(now: number): void {
    this.#buckets.clear();
    this.#termStartedAt = now;
  }

  /**
   * Takes a token for a server with a limit of `requestsPerSecond`, if one is
   * available. `isUrgent` permits the use of the reserved token. The bucket
   * counts as empty at `emptyAt`.
   */
  take(
    server: string,
    requestsPerSecond: number,
    isUrgent: boolean,
    now: number,
    emptyAt = -Infinity,
  ): TokenAnswer {
    const interval = MILLISECONDS_PER_SECOND / requestsPerSecond;
    const capacity = capacityOf(requestsPerSecond);
    const reserved = isUrgent ? 0 : RESERVED_TOKENS;
    const refillTime = capacity * interval;
    const fullAt = Math.max(
      now,
      Math.max(emptyAt, this.#termStartedAt) + refillTime,
      this.#buckets.get(server) ?? -Infinity,
    );
    const left = fullAt + interval - (now + (capacity - reserved) * interval);
    if (left > 0) return { isGranted: false, left };
    if (this.#buckets.size >= MAXIMUM_BUCKETS) this.#removeFull(now);
    this.#buckets.set(server, fullAt + interval);
    return { isGranted: true, left: 0 };
  }

  #removeFull(now: number): void {
    for (const [server, fullAt] of this.#buckets) {
      if (fullAt <= now) this.#buckets.delete(server);
    }
  }
}

/** Number of tokens in a full bucket, including the reserved one. */
function capacityOf(requestsPerSecond: number): number {
  const burst = requestsPerSecond * BURST_TIME / MILLISECONDS_PER_SECOND;
  return Math.min(MAXIMUM_BURST, Math.max(MINIMUM_BURST, burst)) +
    RESERVED_TOKENS;
}

/**
 * Time after its request for which a token for a server with a limit of
 * `requestsPerSecond` may be used, in milliseconds.
 */
export function tokenLifetime(requestsPerSecond: number): number {
  const capacity = capacityOf(requestsPerSecond);
  const excess = (PERMITTED_FACTOR - 1) * requestsPerSecond +
    PERMITTED_EXCESS - capacity;
  const lifetime = MILLISECONDS_PER_SECOND * excess / requestsPerSecond;
  return Math.min(MAXIMUM_LIFETIME, Math.max(MINIMUM_LIFETIME, lifetime));
}
