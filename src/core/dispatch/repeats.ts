/**
 * Takes the retries that repeats need from the retry budget, and logs what they
 * have taken and how they have ended.
 *
 * @module
 */
import type { Attempt, AttemptOutcome, PendingRequest } from "./request.ts";
import type { RequestLog } from "./request_log.ts";
import type { RetryPolicy } from "./retry_policy.ts";

/** See the module's comment. Times are milliseconds. */
export class Repeats {
  private constructor(
    private readonly policy: RetryPolicy,
    private readonly log: RequestLog,
    private readonly minimumShare: (now: number) => number,
  ) {}

  /**
   * Creates an object that takes retries by `policy` and writes to `log`.
   * `minimumShare` returns this VM's share of the minimum of the budget.
   */
  static create(
    policy: RetryPolicy,
    log: RequestLog,
    minimumShare: (now: number) => number,
  ): Repeats {
    return new Repeats(policy, log, minimumShare);
  }

  /**
   * Takes a retry for a request that is sent to the server with the id `server`
   * again, or that is on its way there for longer than the budget has counted
   * it. Returns false if the budget is used up.
   */
  withdraw(request: PendingRequest, server: string, now: number): boolean {
    const { isPermitted, requests, retries, remaining } = this.policy.withdraw(
      request,
      now,
    );
    this.log.write("info", "retry.withdrawn", request, now, {
      server,
      isPermitted,
      sent: request.sentCount,
      left: Math.round(request.deadline - now),
      requests,
      retries,
      remaining: Number(remaining.toFixed(2)),
      minimumShare: Number(this.minimumShare(now).toFixed(4)),
    });
    return isPermitted;
  }

  /**
   * Records the end of an attempt. A repeat has reached its server by then, or
   * never does.
   */
  attemptEnded(
    request: PendingRequest,
    { number, server, startedAt, isRepeat }: Attempt,
    outcome: AttemptOutcome["kind"] | "cancelled",
    now: number,
  ): void {
    if (!isRepeat) return;
    this.log.write("info", "retry.ended", request, now, {
      attempt: number,
      server,
      outcome,
      duration: Math.round(now - startedAt),
    });
  }
}
