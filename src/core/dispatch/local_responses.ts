/**
 * Error responses that plumloft generates itself: refusals, which state that
 * the request has not run and after which delay to retry, and failures of
 * requests that may have run.
 *
 * @module
 */
import type { DispatchContext } from "./dispatch_context.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import type { PendingRequest, RequestArrival } from "./request.ts";
import type { RequestLog } from "./request_log.ts";
import type { RetryAfterPolicy } from "./retry_after_policy.ts";

/** Reason given while this VM is stopping. */
export const STOPPING = "this VM is stopping";
/** Retry delay while this VM is stopping, in milliseconds. */
const STOPPING_RETRY_AFTER = 20;
/** Retry delay while this VM has no configuration, in milliseconds. */
const UNCONFIGURED_RETRY_AFTER = 250;

/**
 * See the module's comment. Each method returns the effects of one response.
 */
export class LocalResponses {
  private constructor(
    private readonly context: DispatchContext,
    private readonly log: RequestLog,
    private readonly retryAfterPolicy: RetryAfterPolicy,
  ) {}

  /**
   * Creates responses that are written to `log` and have retry delays from
   * `retryAfterPolicy`.
   */
  static create(
    context: DispatchContext,
    log: RequestLog,
    retryAfterPolicy: RetryAfterPolicy,
  ): LocalResponses {
    return new LocalResponses(context, log, retryAfterPolicy);
  }

  /** Refuses a request that has not run. */
  refusal(
    request: PendingRequest,
    reason: string,
    now: number,
  ): DispatchEffect {
    const { delay: retryAfter, window } = this.retryAfterPolicy
      .choose(request, now);
    const detail = {
      reason,
      retryAfter: Math.round(retryAfter),
      ...(window === null ? {} : { window }),
    };
    this.log.write("warn", "request.refused", request, now, detail);
    return {
      kind: "request.refuse",
      exchange: request.arrival.exchange,
      status: 503,
      retryAfter,
      reason,
    };
  }

  /**
   * Refuses a request that has not run and is quarantined for `left` more
   * milliseconds. The status is 429. A 503 would describe the service as
   * temporarily unavailable rather than the request as the cause, and many
   * callers would retry immediately.
   */
  quarantineRefusal(
    request: PendingRequest,
    reason: string,
    left: number,
    now: number,
  ): DispatchEffect {
    const detail = { reason, retryAfter: Math.round(left) };
    this.log.write("warn", "request.refused", request, now, detail);
    return {
      kind: "request.refuse",
      exchange: request.arrival.exchange,
      status: 429,
      retryAfter: left,
      reason,
    };
  }

  /** Fails a request that may have run and has no response from a server. */
  failure(
    request: PendingRequest,
    status: 502 | 504,
    reason: string,
    now: number,
  ): DispatchEffect {
    this.log.write("warn", "request.failed", request, now, { status, reason });
    return {
      kind: "request.refuse",
      exchange: request.arrival.exchange,
      status,
      retryAfter: null,
      reason,
    };
  }

  /**
   * Refuses a request while this VM is stopping. The retry delay is short,
   * since another VM can accept the request immediately.
   */
  shutdownRefusal(
    { exchange, id, host, target }: RequestArrival,
  ): DispatchEffect[] {
    const reason = STOPPING;
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

  /** Refuses a request without a route, or while no configuration is known. */
  unroutedRefusal(
    { exchange, id, host, target }: RequestArrival,
  ): DispatchEffect[] {
    const { isLoaded, version } = this.context.catalog;
    const status = isLoaded ? 404 : 503;
    const reason = isLoaded ? "no route" : "no configuration yet";
    const retryAfter = isLoaded ? null : UNCONFIGURED_RETRY_AFTER;
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
