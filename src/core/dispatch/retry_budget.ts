/**
 * Bounds how much work beyond the first sending of each request reaches a
 * service. All VMs share one budget; each keeps to its part of it.
 *
 * @module
 */
import * as z from "zod";

/** Schema of {@linkcode RetryLimits}: the bound that all VMs share. */
export const retryLimitsSchema = z.object({
  /** Retries for each request in the window. */
  ratio: z.number().nonnegative().default(0.1),
  /** Length of the window in seconds. */
  windowSeconds: z.number().positive().default(10),
  /** Retries in a window that are allowed whatever the number of requests. */
  minimum: z.number().nonnegative().default(10),
});

/** See {@linkcode retryLimitsSchema}. */
export type RetryLimits = z.infer<typeof retryLimitsSchema>;

/** Buckets of a window: the error of the sliding sum is one part in so many. */
const BUCKETS = 20;
/** Share of the budget that is used: VMs count requests at slightly different
 * times, and their number is an estimate. */
const SAFETY = 0.75;
/** Share of its part of the minimum that a VM may use up in its first window,
 * in proportion to its age: what it took before it restarted is forgotten and
 * still counts, and with the rest a part restarted ever so often stays whole. */
const START_SHARE = 1 - SAFETY;

/** Milliseconds in a second. */
const SECOND = 1_000;

/** Counts of one bucket. */
interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/**
 * The part of one VM in the budget of one service.
 *
 * ```ts
 * budget.request(now);
 * if (budget.withdraw(now, vms)) sendAgain();
 * ```
 */
export class RetryBudget {
  readonly #buckets: Bucket[] = [];

  private constructor(
    private readonly limits: RetryLimits,
    private readonly startedAt: number,
  ) {}

  /** A budget without requests, of a process that started at `startedAt`. */
  static create(limits: RetryLimits, startedAt = -Infinity): RetryBudget {
    return new RetryBudget(limits, startedAt);
  }

  /** A request for the service arrived. */
  request(now: number): void {
    this.#bucket(now).requests += 1;
  }

  /** Takes one retry from the part of one VM among `vms`, if it is left. */
  withdraw(now: number, vms: number): boolean {
    if (this.left(now, vms) < 1) return false;
    this.#bucket(now).retries += 1;
    return true;
  }

  /** Retries that are left to this VM now. */
  left(now: number, vms: number): number {
    const bucket = this.#bucket(now);
    let requests = 0;
    let retries = 0;
    for (const each of this.#buckets) {
      if (each.index <= bucket.index - BUCKETS) continue;
      requests += each.requests;
      retries += each.retries;
    }
    const part = this.limits.minimum / Math.max(1, vms);
    return SAFETY * this.limits.ratio * requests +
      this.#minimumShare(now) * part - retries;
  }

  #minimumShare(now: number): number {
    const age = (now - this.startedAt) / (this.limits.windowSeconds * SECOND);
    return age < 1 ? START_SHARE * age : SAFETY;
  }

  #bucket(now: number): Bucket {
    const index = Math.floor(
      now * BUCKETS / (this.limits.windowSeconds * SECOND),
    );
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.index >= index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    // One more than a window, since the oldest is only partly within it.
    while (this.#buckets.length > BUCKETS + 1) this.#buckets.shift();
    return bucket;
  }
}
