/**
 * Limits the retries that reach a service, in proportion to its requests. All
 * VMs share one budget per service, and each VM enforces its own share without
 * coordination.
 *
 * @module
 */
import * as z from "zod";

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
 * Number of buckets into which a window is divided. Requests and retries are
 * counted per bucket, so the sums over the sliding window are accurate to one
 * bucket.
 */
const BUCKETS = 20;
/**
 * Share of the budget that is used. The rest is a margin, because VMs count
 * requests at slightly different times and the number of VMs is an estimate.
 */
const SAFETY_FACTOR = 0.75;
/**
 * Share of its minimum that a VM may use in its first window, in proportion to
 * the time since its start. A restarted VM has lost the count of its earlier
 * retries, which still count against the budget. This share and
 * {@linkcode SAFETY_FACTOR} add up to 1, so that a VM stays within its minimum
 * however often it restarts.
 */
const INITIAL_SHARE = 1 - SAFETY_FACTOR;

const MILLISECONDS_PER_SECOND = 1_000;

/** Counts in the window from which the remaining retries follow. */
export interface RetryBalance {
  requests: number;
  retries: number;
  /** Number of retries that this VM has left. */
  remaining: number;
}

/** Counters of one bucket. */
interface Bucket {
  /** Number of the bucket's time interval, counted from time 0. */
  index: number;
  requests: number;
  retries: number;
}

/**
 * One VM's share of the retry budget of one service. Times are milliseconds.
 *
 * ```ts
 * budget.recordRequest(now);
 * if (budget.withdraw(now, vmCount)) retry();
 * ```
 */
export class RetryBudget {
  readonly #buckets: Bucket[] = [];

  private constructor(
    private readonly limits: RetryLimits,
    private readonly startedAt: number,
  ) {}

  /** Creates an empty budget for a process that started at `startedAt`. */
  static create(limits: RetryLimits, startedAt = -Infinity): RetryBudget {
    return new RetryBudget(limits, startedAt);
  }

  /** Counts a request for the service. */
  recordRequest(now: number): void {
    this.#bucket(now).requests += 1;
  }

  /** Takes a retry from one of `vmCount` VMs' shares; false if none is left. */
  withdraw(now: number, vmCount: number): boolean {
    if (this.remaining(now, vmCount) < 1) return false;
    this.#bucket(now).retries += 1;
    return true;
  }

  /** Number of retries that one of `vmCount` VMs has left. */
  remaining(now: number, vmCount: number): number {
    return this.balance(now, vmCount).remaining;
  }

  /** The counts in the window, and what one of `vmCount` VMs has left. */
  balance(now: number, vmCount: number): RetryBalance {
    const bucket = this.#bucket(now);
    let requests = 0;
    let retries = 0;
    for (const each of this.#buckets) {
      if (each.index <= bucket.index - BUCKETS) continue;
      requests += each.requests;
      retries += each.retries;
    }
    const vmMinimum = this.limits.minimum / Math.max(1, vmCount);
    const remaining = SAFETY_FACTOR * this.limits.ratio * requests +
      this.#minimumFactor(now) * vmMinimum - retries;
    return { requests, retries, remaining };
  }

  /** Share of its minimum that this VM may use now. */
  #minimumFactor(now: number): number {
    const age = (now - this.startedAt) /
      (this.limits.windowSeconds * MILLISECONDS_PER_SECOND);
    return age < 1 ? INITIAL_SHARE * age : SAFETY_FACTOR;
  }

  #bucket(now: number): Bucket {
    const index = Math.floor(
      now * BUCKETS / (this.limits.windowSeconds * MILLISECONDS_PER_SECOND),
    );
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.index >= index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    // Bounds memory. `remaining` counts the current bucket and those of the
    // `BUCKETS - 1` intervals before, not the one in which the window begins.
    while (this.#buckets.length > BUCKETS + 1) this.#buckets.shift();
    return bucket;
  }
}
