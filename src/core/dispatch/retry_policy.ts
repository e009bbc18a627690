/**
 * Whether a request may be sent once more: by its attempts, by the time that is
 * left, and by the budget that all VMs share.
 *
 * @module
 */
import type { DispatchContext } from "./dispatch_context.ts";
import type { PendingRequest } from "./request.ts";
import { RetryBudget } from "./retry_budget.ts";

/** An attempt is doubled after this many usual latencies ... */
const HEDGE_FACTOR = 3;
/** ... and this share of the target latency. */
const HEDGE_SHARE = 0.5;
/** Ends of servers under a request after which it is not sent again unasked. */
const DOUBTFUL_ENDS = 2;
/** VMs that are assumed to share the retry budget while their number is
 * unknown: rather too few retries than too many from all of them. */
const UNKNOWN_VMS = 64;

/** See the module's comment. */
export class RetryPolicy {
  readonly #budgets = new Map<string, RetryBudget>();

  private constructor(private readonly context: DispatchContext) {}

  /** A policy that has counted no requests yet. */
  static create(context: DispatchContext): RetryPolicy {
    return new RetryPolicy(context);
  }

  /** Counts a request, which lets more retries be made. */
  count(service: string, now: number): void {
    this.#budget(service).request(now);
  }

  /** Whether attempts and time are left for one more sending. */
  mayRepeat(request: PendingRequest, now: number): boolean {
    const { maximumAttempts } = request.route;
    const { fingerprint } = request.arrival;
    if (request.isAgeDoubted) return false;
    // Once two servers have ended under it, its caller decides about another.
    if (this.context.quarantine.ends(fingerprint) >= DOUBTFUL_ENDS) {
      return false;
    }
    // A key's server may be asked once more: it is still one server.
    const isAllowed = request.key !== null
      ? request.tried.length <= maximumAttempts
      : request.tried.length < maximumAttempts;
    return isAllowed && this.#isWorthwhile(request, now);
  }

  /** Whether a second server may be tried beside the first. */
  mayHedge(request: PendingRequest, now: number): boolean {
    if (request.tried.length >= request.route.maximumAttempts) return false;
    const { fingerprint } = request.arrival;
    if (this.context.quarantine.ends(fingerprint) > 0) return false;
    return this.#isWorthwhile(request, now);
  }

  /** When a request that is sent now may be sent to a second server as well;
   * Infinity for never. */
  hedgeAt(request: PendingRequest, now: number): number {
    const { isIdempotent, targetLatency } = request.route;
    if (!isIdempotent || request.key !== null) return Infinity;
    const usual = this.context.fleet.usualLatency(request.service, now);
    return now + Math.max(HEDGE_FACTOR * usual, HEDGE_SHARE * targetLatency);
  }

  /** Whether one retry is left of this VM's part of the budget. */
  mayWithdraw(request: PendingRequest, now: number): boolean {
    const vms = this.context.vms() ?? UNKNOWN_VMS;
    return this.#budget(request.service).left(now, vms) >= 1;
  }

  /** Takes one retry from this VM's part of the budget, if it is left. */
  withdraw(request: PendingRequest, now: number): boolean {
    const vms = this.context.vms() ?? UNKNOWN_VMS;
    return this.#budget(request.service).withdraw(now, vms);
  }

  /** Whether an answer can still be expected before the deadline. */
  #isWorthwhile(request: PendingRequest, now: number): boolean {
    const usual = this.context.fleet.usualLatency(request.service, now);
    return request.deadline - now > usual / 2;
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
