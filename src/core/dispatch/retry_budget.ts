/**
 * Limits the retries that reach a service, in proportion to its requests. All
 * VMs share one budget per service, and each VM keeps to its part of it without
 * coordination.
 *
 * Operators permit, in any window, `ratio` retries per request in that window
 * or in the one before it, and `minimum` in addition. Each request therefore
 * permits `ratio / 2` retries, once, at the VM that has received it and within
 * one window after it was sent. Retries that reach servers in a window belong
 * to requests of that window and of the one before it, which are at most twice
 * as many as those of the larger of the two. This holds whichever VMs callers
 * use, however many there are, and whichever of them restart or are cut off.
 *
 * @module
 */
import * as z from "zod";
import { MAXIMUM_TRANSIT, RETENTION } from "../rates/index.ts";

/** Schema of {@linkcode RetryLimits}: the limits that all VMs share. */
export const retryLimitsSchema = z.object({
  /** Permitted retries per request in the window. */
  ratio: z.number().nonnegative().default(0.1),
  /** Length of the window in seconds. */
  windowSeconds: z.number().positive().default(10),
  /**
   * Retries that are permitted in a window in addition, whatever the number of
   * requests.
   */
  minimum: z.number().nonnegative().default(10),
});

/** See {@linkcode retryLimitsSchema}. */
export type RetryLimits = z.infer<typeof retryLimitsSchema>;

/**
 * Number of buckets into which a window is divided. A request counts as sent at
 * the start of its bucket.
 */
const BUCKETS = 40;
/** Windows whose requests may permit the retries of one window. */
const COUNTED_WINDOWS = 2;

const MILLISECONDS_PER_SECOND = 1_000;

/** Counts in the window from which the remaining retries follow. */
export interface RetryBalance {
  requests: number;
  retries: number;
  /** Number of retries that this VM has left. */
  remaining: number;
}

/** Result of {@linkcode RetryBudget.withdraw}, with the counts before it. */
export interface RetryWithdrawal extends RetryBalance {
  isPermitted: boolean;
}

/** What a retry needs that is sent now. */
export interface RetryTerms {
  /**
   * Time by which the retry reaches its server if it ever does. It counts only
   * until {@linkcode RetryBudget.countedUntil}.
   */
  arrivesBy: number;
  /**
   * Part of the minimum that the term holder grants to this VM, from 0 to 1.
   */
  minimumShare: number;
  /**
   * Part of the permitted retries that the request may use, from 0 to 1; all
   * of them if absent.
   */
  part?: number;
}

/** Counters of one bucket. */
interface Bucket {
  /** Number of the bucket's time interval, counted from time 0. */
  index: number;
  requests: number;
  retries: number;
  /** Requests whose permission for retries is unused. */
  unused: number;
}

/** A part of the minimum that was used. */
interface MinimumUse {
  /** Time until which it counts. */
  until: number;
  retries: number;
}

/**
 * One VM's part of the retry budget of one service. Times are milliseconds.
 *
 * ```ts
 * budget.recordRequest(sentAt, now);
 * if (budget.withdraw(now, { arrivesBy, minimumShare }).isPermitted) retry();
 * ```
 */
export class RetryBudget {
  readonly #buckets: Bucket[] = [];
  #minimumUses: MinimumUse[] = [];
  /** Length of the window. */
  readonly #window: number;
  /** Number of requests that permit one retry. */
  readonly #requestsPerRetry: number;

  private constructor(
    private readonly limits: RetryLimits,
    private readonly startedAt: number,
  ) {
    this.#window = limits.windowSeconds * MILLISECONDS_PER_SECOND;
    this.#requestsPerRetry = COUNTED_WINDOWS / limits.ratio;
  }

  /** Creates an empty budget for a process that started at `startedAt`. */
  static create(limits: RetryLimits, startedAt = -Infinity): RetryBudget {
    return new RetryBudget(limits, startedAt);
  }

  /** Counts a request for the service that was sent at `sentAt` or later. */
  recordRequest(sentAt: number, now: number): void {
    const index = this.#indexOf(sentAt);
    const bucket = this.#bucket(index, now);
    if (bucket === null) return;
    bucket.requests += 1;
    bucket.unused += 1;
  }

  /** Takes a retry from this VM's part unless none is left. */
  withdraw(now: number, terms: RetryTerms): RetryWithdrawal {
    const balance = this.balance(now, terms);
    const isPermitted = balance.remaining >= 1;
    if (isPermitted) this.#take(now, terms);
    return { ...balance, isPermitted };
  }

  #take(now: number, terms: RetryTerms): void {
    this.#bucket(this.#indexOf(now), now)!.retries += 1;
    const arrivesBy = this.countedUntil(now, terms);
    let needed = this.#requestsPerRetry;
    for (const bucket of this.#buckets) {
      if (!this.#isUsable(bucket, arrivesBy)) continue;
      const used = Math.min(needed, bucket.unused);
      bucket.unused -= used;
      needed -= used;
    }
    if (needed > 0) {
      this.#minimumUses.push({
        until: arrivesBy + this.#window,
        retries: this.#minimumNeeded(needed),
      });
    }
  }

  /** Time until which a retry that is sent now counts as on its way. */
  countedUntil(now: number, { arrivesBy }: RetryTerms): number {
    return Math.min(arrivesBy, now + MAXIMUM_TRANSIT * this.#window);
  }

  /** The counts in the window, and what is left of them. */
  balance(now: number, terms: RetryTerms): RetryBalance {
    this.#removeExpired(now);
    const arrivesBy = this.countedUntil(now, terms);
    const { part = 1 } = terms;
    let requests = 0;
    let retries = 0;
    let unused = 0;
    for (const bucket of this.#buckets) {
      requests += bucket.requests;
      retries += bucket.retries;
      if (this.#isUsable(bucket, arrivesBy)) unused += bucket.unused;
    }
    const minimum = this.#minimumShare(terms.minimumShare, now);
    const used = this.#minimumUses.reduce((sum, each) => sum + each.retries, 0);
    const left = unused / this.#requestsPerRetry + Math.max(0, minimum - used);
    const ofPart = part * (requests / this.#requestsPerRetry + minimum) -
      retries;
    return {
      requests,
      retries,
      remaining: part < 1 ? Math.min(left, ofPart) : left,
    };
  }

  /**
   * Whether the requests of a bucket permit a retry that arrives until a time:
   * they are in each window in which it may arrive, or in the one before it.
   */
  #isUsable({ index }: Bucket, arrivesBy: number): boolean {
    return arrivesBy < this.#startOf(index) + this.#window;
  }

  /**
   * Retries of the minimum that replace `requests` that are missing for one.
   * Without a ratio, a whole one.
   */
  #minimumNeeded(requests: number): number {
    return Number.isFinite(this.#requestsPerRetry)
      ? requests / this.#requestsPerRetry
      : 1;
  }

  /**
   * Retries of the minimum that this VM may use in a window. A process that has
   * just started uses none: those of an earlier process at its address, which
   * had the same share, may still count.
   */
  #minimumShare(share: number, now: number): number {
    const delay = RETENTION * this.#window;
    return now - this.startedAt < delay ? 0 : share * this.limits.minimum;
  }

  #indexOf(time: number): number {
    return Math.floor(time * BUCKETS / this.#window);
  }

  #startOf(index: number): number {
    return index * this.#window / BUCKETS;
  }

  /** Returns the bucket with an index; null if its window has passed. */
  #bucket(index: number, now: number): Bucket | null {
    this.#removeExpired(now);
    if (index < this.#indexOf(now) - BUCKETS) return null;
    const at = this.#buckets.findLastIndex((each) => each.index <= index);
    if (at >= 0 && this.#buckets[at].index === index) return this.#buckets[at];
    const bucket = { index, requests: 0, retries: 0, unused: 0 };
    this.#buckets.splice(at + 1, 0, bucket);
    return bucket;
  }

  /** Removes what no longer counts. Retries count for a whole window. */
  #removeExpired(now: number): void {
    const first = this.#indexOf(now) - BUCKETS;
    while (this.#buckets.length > 0 && this.#buckets[0].index < first) {
      this.#buckets.shift();
    }
    const hasExpired = this.#minimumUses.some(({ until }) => until <= now);
    if (!hasExpired) return;
    this.#minimumUses = this.#minimumUses.filter(({ until }) => until > now);
  }
}
