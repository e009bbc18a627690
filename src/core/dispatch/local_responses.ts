/**
 * Answers that plumloft gives itself: refusals, which say that a request has not
 * run and when to come back, and failures of requests that may have run.
 *
 * @module
 */
import type { DispatchContext } from "./dispatch_context.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import type { PendingRequest, RequestArrival } from "./request.ts";
import type { RequestLog } from "./request_log.ts";
import type { RetryAdvice } from "./retry_after_policy.ts";

/** What callers of a VM that stops are asked to wait for, in ms. */
const STOPPING_RETRY_AFTER = 20;
/** What callers are asked to wait for while nothing is configured, in ms. */
const UNCONFIGURED_RETRY_AFTER = 250;

/** See the module's comment. Each method gives the effects of one answer. */
export class OwnAnswers {
  private constructor(
    private readonly context: DispatchContext,
    private readonly log: RequestLog,
    private readonly advice: RetryAdvice,
  ) {}

  /** Answers with lines in `log`; `advice` says when to come back. */
  static create(
    context: DispatchContext,
    log: RequestLog,
    advice: RetryAdvice,
  ): OwnAnswers {
    return new OwnAnswers(context, log, advice);
  }

  /** A request that has not run and will not. */
  refusal(
    request: PendingRequest,
    reason: string,
    now: number,
  ): DispatchEffect {
    const retryAfter = this.advice.pause(request, now);
    const detail = { reason, retryAfter: Math.round(retryAfter) };
    this.log.note("warn", "request.refused", request, now, detail);
    return {
      kind: "request.refuse",
      exchange: request.arrival.exchange,
      status: 503,
      retryAfter,
      reason,
    };
  }

  /** A request that has not run and is held back for `left` milliseconds more. Not
   * 503: it says of the service that it will soon be there, and of this request
   * nothing; many callers would bring it straight back. */
  heldBack(
    request: PendingRequest,
    reason: string,
    left: number,
    now: number,
  ): DispatchEffect {
    const detail = { reason, retryAfter: Math.round(left) };
    this.log.note("warn", "request.refused", request, now, detail);
    return {
      kind: "request.refuse",
      exchange: request.arrival.exchange,
      status: 429,
      retryAfter: left,
      reason,
    };
  }

  /** A request that may have run and has no answer of a server. */
  failure(
    request: PendingRequest,
    status: 502 | 504,
    reason: string,
    now: number,
  ): DispatchEffect {
    this.log.note("warn", "request.failed", request, now, { status, reason });
    return {
      kind: "request.refuse",
      exchange: request.arrival.exchange,
      status,
      retryAfter: null,
      reason,
    };
  }

  /** A request that came while this VM stops; another one can take it at once. */
  turnedAway({ exchange, id, host, target }: RequestArrival): DispatchEffect[] {
    const reason = "this VM is stopping";
    return [
      {
        kind: "note",
        level: "warn",
        decision: "request.turned_away",
        detail: { request: id, host, target, reason },
      },
      {
        kind: "request.refuse",
        exchange,
        status: 503,
        retryAfter: STOPPING_RETRY_AFTER,
        reason,
      },
    ];
  }

  /** A request for which the configuration has no route, or there is none. */
  unrouted({ exchange, id, host, target }: RequestArrival): DispatchEffect[] {
    const { isKnown, version } = this.context.catalog;
    const status = isKnown ? 404 : 503;
    const reason = isKnown ? "no route" : "no configuration yet";
    const retryAfter = isKnown ? null : UNCONFIGURED_RETRY_AFTER;
    return [
      {
        kind: "note",
        level: "warn",
        decision: "request.unrouted",
        detail: { request: id, host, target, status, version, reason },
      },
      { kind: "request.refuse", exchange, status, retryAfter, reason },
    ];
  }
}
