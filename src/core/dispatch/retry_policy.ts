/**
 * Decides whether a request may be retried or hedged, from its number of
 * attempts, its remaining time and the retry budget that all VMs share.
 *
 * @module
 */
import type { DispatchContext } from "./dispatch_context.ts";
import type { PendingRequest } from "./request.ts";
import { DEADLINE_GRACE } from "./request_times.ts";
import {
  RetryBudget,
  type RetryTerms,
  type RetryWithdrawal,
} from "./retry_budget.ts";

/**
 * A request is hedged after this multiple of the mean latency of its service,
 * or after {@linkcode HEDGE_TARGET_SHARE} of its target latency if that is
 * longer.
 */
const HEDGE_LATENCY_FACTOR = 3;
/** Share of the route's target latency during which a request is not hedged. */
const HEDGE_TARGET_SHARE = 0.5;
/**
 * Number of servers that crashed while they ran a request, from which on the
 * request is no longer retried.
 */
const CRASHES_TO_STOP_RETRIES = 2;

/**
 * Part of the retry budget that requests may use which go again to the server
 * that has refused them. They are less likely to succeed than those that go to
 * another server, to which the rest is left.
 */
const REFUSED_PART = 0.5;

/** A stall of this process. Times are milliseconds. */
interface Stall {
  from: number;
  /** Time until which requests may be read that were sent during the stall. */
  readUntil: number;
}

/** See the module's comment. */
export class RetryPolicy {
  readonly #budgets = new Map<string, RetryBudget>();
  /** The last stall, or null. */
  #stall: Stall | null = null;

  private constructor(private readonly context: DispatchContext) {}

  /** Creates a policy that has counted no requests. */
  static create(context: DispatchContext): RetryPolicy {
    return new RetryPolicy(context);
  }

  /** Counts a request, which permits a part of a retry for its service. */
  recordRequest(service: string, now: number): void {
    this.#budget(service).recordRequest(this.#sentAt(now), now);
  }

  /** Records that this process has stalled for `duration` until `now`. */
  processStalled(duration: number, now: number): void {
    const from = now - duration;
    const readUntil = now + duration;
    const previous = this.#stall;
    this.#stall = previous === null || previous.readUntil < from
      ? { from, readUntil }
      : {
        from: previous.from,
        readUntil: Math.max(previous.readUntil, readUntil),
      };
  }

  /**
   * Earliest time at which a request can have been sent that is read now. After
   * a stall, requests that were sent during it may be waiting to be read.
   */
  #sentAt(now: number): number {
    if (this.#stall === null || now >= this.#stall.readUntil) return now;
    return this.#stall.from;
  }

  /** Whether a request has attempts and time left for a retry. */
  mayRetry(request: PendingRequest, now: number): boolean {
    const { maximumAttempts } = request.route;
    const { fingerprint } = request.arrival;
    if (request.isDeadlineUncertain) return false;
    // Only the caller may send a request again that has crashed two servers.
    if (
      this.context.quarantine.crashCount(fingerprint) >= CRASHES_TO_STOP_RETRIES
    ) {
      return false;
    }
    // A request with a key may have one more attempt, since all of its attempts
    // go to the same server.
    const hasAttemptsLeft = request.key !== null
      ? request.tried.length <= maximumAttempts
      : request.tried.length < maximumAttempts;
    return hasAttemptsLeft && this.#isWorthwhile(request, now);
  }

  /** Whether a request may be sent to a second server in parallel. */
  mayHedge(request: PendingRequest, now: number): boolean {
    if (request.tried.length >= request.route.maximumAttempts) return false;
    const { fingerprint } = request.arrival;
    if (this.context.quarantine.needsPermit(fingerprint)) return false;
    return this.#isWorthwhile(request, now);
  }

  /**
   * Time at which a request that is sent now may be hedged; Infinity for never.
   */
  hedgeAt(request: PendingRequest, now: number): number {
    const { isIdempotent, targetLatency } = request.route;
    if (!isIdempotent || request.key !== null) return Infinity;
    const meanLatency = this.context.fleet.meanLatency(request.service, now);
    return now +
      Math.max(
        HEDGE_LATENCY_FACTOR * meanLatency,
        HEDGE_TARGET_SHARE * targetLatency,
      );
  }

  /** Whether a retry is left in this VM's part of the budget. */
  mayWithdraw(request: PendingRequest, now: number): boolean {
    const terms = this.#terms(request, now);
    return this.#budget(request.service).balance(now, terms).remaining >= 1;
  }

  /** Takes a retry from this VM's part of the budget unless none is left. */
  withdraw(request: PendingRequest, now: number): RetryWithdrawal {
    const terms = this.#terms(request, now);
    return this.#budget(request.service).withdraw(now, terms);
  }

  /**
   * Time until which the budget covers a retry that was withdrawn now; Infinity
   * if it covers it until its deadline.
   */
  coveredUntil(request: PendingRequest, now: number): number {
    const terms = this.#terms(request, now);
    const until = this.#budget(request.service).countedUntil(now, terms);
    return until < terms.arrivesBy ? until : Infinity;
  }

  #terms(request: PendingRequest, now: number): RetryTerms {
    return {
      // The connection of an attempt is closed then.
      arrivesBy: request.deadline + DEADLINE_GRACE,
      minimumShare: this.context.minimumShare(now),
      part: this.#usablePart(request),
    };
  }

  /** Part of the retry budget that a request may use. */
  #usablePart({ service, key, refusal }: PendingRequest): number {
    if (key === null || refusal === null) return 1;
    const range = this.context.directory.find(service, key);
    return range?.server === refusal.server ? REFUSED_PART : 1;
  }

  /**
   * Whether enough time is left that a response before the deadline is likely.
   */
  #isWorthwhile(request: PendingRequest, now: number): boolean {
    const meanLatency = this.context.fleet.meanLatency(request.service, now);
    return request.deadline - now > meanLatency / 2;
  }

  #budget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = RetryBudget.create(
        this.context.retryLimits,
        this.context.startedAt(),
      );
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
