/**
 * Limits the retries that reach a service, in proportion to its requests. All
 * VMs share one budget per service, and each VM enforces its own share without
 * coordination.
 *
 * @module
 */
import * as z from "zod";
import type { VmEstimate } from "../peers/index.ts";

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
 * counted per bucket. Retries in the bucket in which the window begins count,
 * requests in it do not.
 */
const BUCKETS = 20;
/**
 * Share of the retries in proportion to requests that is used. The rest is a
 * margin for restarts ({@linkcode INITIAL_FACTOR}).
 */
const RATIO_FACTOR = 0.75;
/**
 * Share of the minimum that is used. With half of it, all VMs stay within the
 * minimum even if VMs that are cut off from each other know half of their
 * number.
 */
const MINIMUM_FACTOR = 0.5;
/**
 * Share of the retries that a VM may use in its first window, in place of the
 * other two. A restarted VM has lost the count of its earlier retries, which
 * still count against the budget. This share and {@linkcode RATIO_FACTOR} add up
 * to 1, so that a VM stays within its share however often it restarts.
 */
const INITIAL_FACTOR = 1 - RATIO_FACTOR;

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
 * The share in proportion to requests follows from the requests that this VM
 * has counted, so the shares of any number of VMs add up to the budget. The
 * share of the minimum follows from the number of VMs, and there is none while
 * that is unknown.
 *
 * ```ts
 * budget.recordRequest(now);
 * if (budget.withdraw(now, vms)) retry();
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

  /**
   * Takes a retry from this VM's share, which is that of one of `vms` (null
   * while their number is unknown); false if none is left. Only `part` of the
   * share, from 0 to 1, may be used.
   */
  withdraw(now: number, vms: VmEstimate | null, part = 1): boolean {
    if (this.remaining(now, vms, part) < 1) return false;
    this.#bucket(now).retries += 1;
    return true;
  }

  /** Number of retries that this VM has left of a part of its share. */
  remaining(now: number, vms: VmEstimate | null, part = 1): number {
    return this.balance(now, vms, part).remaining;
  }

  /** The counts in the window, and what is left of a part of the share. */
  balance(now: number, vms: VmEstimate | null, part = 1): RetryBalance {
    const { index } = this.#bucket(now);
    let requests = 0;
    let retries = 0;
    for (const each of this.#buckets) {
      if (each.index > index - BUCKETS) requests += each.requests;
      if (each.index >= index - BUCKETS) retries += each.retries;
    }
    const share = this.#ratioFactor(now) * this.limits.ratio * requests +
      this.#minimumShare(vms, now);
    return { requests, retries, remaining: part * share - retries };
  }

  #ratioFactor(now: number): number {
    return this.#windowsSince(this.startedAt, now) < 1
      ? INITIAL_FACTOR
      : RATIO_FACTOR;
  }

  /**
   * This VM's share of the minimum. It grows in the first window in which the
   * number of VMs is known, since the term holder may not have counted all of
   * them at first.
   */
  #minimumShare(vms: VmEstimate | null, now: number): number {
    if (vms === null) return 0;
    const since = Math.max(this.startedAt, vms.since);
    const windows = this.#windowsSince(since, now);
    const factor = windows < 1 ? INITIAL_FACTOR * windows : MINIMUM_FACTOR;
    return factor * this.limits.minimum / Math.max(1, vms.count);
  }

  /** Time from `since` to `now`, in windows. */
  #windowsSince(since: number, now: number): number {
    return (now - since) /
      (this.limits.windowSeconds * MILLISECONDS_PER_SECOND);
  }

  #bucket(now: number): Bucket {
    const index = Math.floor(
      now * BUCKETS / (this.limits.windowSeconds * MILLISECONDS_PER_SECOND),
    );
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.index >= index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    while (this.#buckets.length > BUCKETS + 1) this.#buckets.shift();
    return bucket;
  }
}
