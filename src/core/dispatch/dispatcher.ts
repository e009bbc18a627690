/**
 * Tracks each request from its arrival to its final response: sends it to a
 * server, queues it, retries it, hedges it or refuses it. `dispatch_planner.ts`
 * selects the server, and `outcome_review.ts` evaluates how each attempt ended.
 *
 * @module
 */
import { requestRank } from "../admission/index.ts";
import type { Route } from "../catalog/index.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { AssignedRange } from "../keyspace/index.ts";
import { CopiesInFlight } from "./copies_in_flight.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import { isRefusedForMemory, REFUSED_FOR_MEMORY } from "./memory_pressure.ts";
import {
  type Attempt,
  attemptName,
  type AttemptOutcome,
  createPendingRequest,
  type PendingRequest,
  type RequestArrival,
} from "./request.ts";
import { DEADLINE_GRACE, nextCheckAt, waitLimit } from "./request_times.ts";
import { type NextStep, OutcomeReview } from "./outcome_review.ts";
import { LocalResponses, STOPPING } from "./local_responses.ts";
import { RequestLog } from "./request_log.ts";
import {
  type DispatchPlan,
  DispatchPlanner,
  type WaitPlan,
} from "./dispatch_planner.ts";
import { RangeBackoff } from "./range_backoff.ts";
import { Repeats } from "./repeats.ts";
import { RetryAfterPolicy } from "./retry_after_policy.ts";
import { RetryPolicy } from "./retry_policy.ts";
import { WaitQueues } from "./wait_queues.ts";

/** Maximum number of requests queued for one service; bounds memory. */
const MAXIMUM_QUEUE_LENGTH = 256;

/** Reason given when a retry exceeds the retry budget. */
const RETRY_BUDGET_EXHAUSTED = "the retry budget is used up";

/**
 * Reason given when a request is quarantined because servers crashed while they
 * ran it.
 */
const QUARANTINED = "backend servers have ended under this request";

/** See the module's comment. */
export class Dispatcher {
  /** Requests without a final response, by exchange. */
  readonly #requests = new Map<number, PendingRequest>();
  /** Requests with attempts in flight, by attempt number. */
  readonly #byAttempt = new Map<number, PendingRequest>();
  readonly #queues = WaitQueues.create();
  readonly #rangeBackoff = RangeBackoff.create();
  readonly #copies = CopiesInFlight.create();
  readonly #planner: DispatchPlanner;
  readonly #retryPolicy: RetryPolicy;
  readonly #repeats: Repeats;
  readonly #log: RequestLog;
  readonly #outcomeReview: OutcomeReview;
  readonly #responses: LocalResponses;
  readonly #retryAfterPolicy: RetryAfterPolicy;
  #attemptCount = 0;
  #effects: DispatchEffect[] = [];

  private constructor(private readonly context: DispatchContext) {
    this.#planner = DispatchPlanner.create(
      context,
      this.#rangeBackoff,
      this.#copies,
    );
    this.#retryPolicy = RetryPolicy.create(context);
    this.#retryAfterPolicy = RetryAfterPolicy.create(context);
    this.#log = RequestLog.create(
      () => context.catalog.version,
      (...lines) => this.#effects.push(...lines),
    );
    this.#repeats = Repeats.create(
      this.#retryPolicy,
      this.#log,
      (now) => context.minimumShare(now),
    );
    this.#responses = LocalResponses.create(
      context,
      this.#log,
      this.#retryAfterPolicy,
    );
    this.#outcomeReview = OutcomeReview.create(
      context,
      this.#rangeBackoff,
      this.#log,
      (effect) => this.#effects.push(effect),
    );
  }

  /** Creates a dispatcher without requests. */
  static create(context: DispatchContext): Dispatcher {
    return new Dispatcher(context);
  }

  /** Number of requests without a final response. */
  get pending(): number {
    return this.#requests.size;
  }

  /** Accepts a request from a caller. */
  requestArrived(arrival: RequestArrival, now: number): DispatchEffect[] {
    const { catalog } = this.context;
    const route = catalog.route(arrival.host, arrival.target);
    if (route === undefined) {
      this.#effects.push(...this.#responses.unroutedRefusal(arrival));
    } else {
      const request = this.#register(arrival, route, now);
      if (isRefusedForMemory(arrival, route, catalog)) {
        this.#refuse(request, REFUSED_FOR_MEMORY, now);
      } else this.#admit(request, now);
    }
    return this.#takeEffects();
  }

  /** Sends or queues a request that has arrived, unless it is not admitted. */
  #admit(request: PendingRequest, now: number): void {
    const denied = this.#planner.planArrival(request, now);
    if (denied !== null) return this.#refuseUnsent(request, denied, now);
    this.#planner.extendWait(request, now);
    this.#dispatch(request, now);
  }

  /** Refuses a request that arrived while this VM is stopping. */
  refuseWhileStopping(arrival: RequestArrival): DispatchEffect[] {
    return this.#responses.shutdownRefusal(arrival);
  }

  /** Refuses all queued requests, or fails those that may have run. */
  endQueuedRequests(reason: string, now: number): DispatchEffect[] {
    for (const request of [...this.#requests.values()]) {
      if (request.attempts.length > 0) continue;
      this.#queues.remove(request);
      request.lacksCapacity = false;
      this.#refuseOrFail(request, reason, now);
    }
    return this.#takeEffects();
  }

  /**
   * Responds with 504 to all requests with an attempt in flight. The response
   * unblocks the requests that are pipelined behind it on the caller's
   * connection.
   */
  failInFlightRequests(reason: string, now: number): DispatchEffect[] {
    for (const request of [...this.#requests.values()]) {
      if (request.attempts.length === 0) continue;
      this.#fail(request, 504, reason, now);
    }
    return this.#takeEffects();
  }

  /**
   * Extends the deadlines of requests in flight, because the clock may be ahead
   * by `gap` milliseconds. The server stops at the deadline that it was sent,
   * and the caller disconnects at its own, so waiting for either of them is
   * safe. The requests are neither hedged nor retried, since their deadline may
   * already have passed.
   */
  extendDeadlines(gap: number): void {
    for (const request of this.#requests.values()) {
      if (request.attempts.length === 0) continue;
      request.deadline += gap;
      request.isDeadlineUncertain = true;
      for (const each of request.attempts) each.hedgeAt = Infinity;
    }
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now. Responses and the results of probes may be waiting to be read, so
   * hedges and retries are delayed by as much.
   */
  processStalled(duration: number, now: number): void {
    this.#retryPolicy.processStalled(duration, now);
    for (const request of this.#requests.values()) {
      request.retryNotBefore += duration;
      for (const each of request.attempts) each.hedgeAt += duration;
    }
  }

  /**
   * Handles that nothing arrives over this VM's direct connections any more.
   * Idempotent requests in flight there are sent again on another path. Others
   * may have run and keep waiting for their response, but do not count as load
   * of their servers.
   */
  directConnectionsLost(now: number): DispatchEffect[] {
    for (const request of [...this.#requests.values()]) {
      for (const attempt of [...request.attempts]) {
        if (attempt.relay !== null) continue;
        this.context.fleet.get(attempt.server)?.cancelled(attempt.number);
        if (request.route.isIdempotent) this.#abandon(request, attempt, now);
      }
    }
    return this.#takeEffects();
  }

  /** Cancels an attempt and sends its idempotent request again. */
  #abandon(request: PendingRequest, attempt: Attempt, now: number): void {
    this.#cancel(request, attempt, now);
    const step = this.#outcomeReview.reviewAbandoned(request, attempt);
    this.#applyStep(request, attempt, step, now);
  }

  /** Cancels an attempt: its connection is reset. */
  #cancel(request: PendingRequest, attempt: Attempt, now: number): void {
    const { number } = attempt;
    this.#byAttempt.delete(number);
    this.context.paths.ended(attemptName(number));
    this.#repeats.attemptEnded(request, attempt, "cancelled", now);
    request.attempts = request.attempts.filter((each) => each !== attempt);
    this.#effects.push({ kind: "attempt.cancel", attempt: number });
  }

  /** Cancels a request whose caller disconnected without a response. */
  callerDisconnected(exchange: number, now: number): DispatchEffect[] {
    const request = this.#requests.get(exchange);
    if (request === undefined) return [];
    this.#log.write("info", "request.left", request, now, {});
    this.#finish(request, null);
    this.#drain(request.service, now);
    return this.#takeEffects();
  }

  /** Handles the outcome of an attempt. */
  attemptEnded(
    number: number,
    outcome: AttemptOutcome,
    now: number,
  ): DispatchEffect[] {
    const request = this.#byAttempt.get(number);
    if (request === undefined) return [];
    this.#byAttempt.delete(number);
    const attempt = request.attempts.find((each) => each.number === number)!;
    request.attempts = request.attempts.filter((each) => each !== attempt);
    this.#repeats.attemptEnded(request, attempt, outcome.kind, now);
    const step = this.#outcomeReview.review(request, attempt, outcome, now);
    this.#applyStep(request, attempt, step, now);
    this.#drain(request.service, now);
    return this.#takeEffects();
  }

  /** Applies expired timers, then sends queued requests where possible. */
  advance(now: number): DispatchEffect[] {
    for (const request of [...this.#requests.values()]) {
      this.#checkTimers(request, now);
    }
    for (const service of this.#queues.services()) this.#drain(service, now);
    return this.#takeEffects();
  }

  /** When {@linkcode advance} must be called; Infinity without requests. */
  nextAt(): number {
    let next = Infinity;
    for (const request of this.#requests.values()) {
      next = Math.min(next, nextCheckAt(request));
    }
    return next;
  }

  /** Creates the state of a request that has a route. */
  #register(
    arrival: RequestArrival,
    route: Route,
    now: number,
  ): PendingRequest {
    const { catalog, draw } = this.context;
    const service = catalog.chooseDestination(route);
    const isKeyed = catalog.service(service)?.isKeyed ?? false;
    const key = isKeyed ? arrival.key : null;
    const request = createPendingRequest(
      arrival,
      route,
      service,
      key,
      draw(),
      now,
    );
    this.#requests.set(arrival.exchange, request);
    this.#retryPolicy.recordRequest(service, now);
    this.#retryAfterPolicy.recordTimeout(route, arrival.timeout, now);
    const isReturn = this.#retryAfterPolicy.isReturn(request);
    request.rank = requestRank(route.priority, request.chance, isReturn);
    request.mayReturn = this.#retryAfterPolicy.leavesTimeToReturn(route);
    if (request.mayReturn) {
      this.context.demand.arrived(service, route.priority, isReturn);
    }
    if (isReturn && this.context.features.schedulesReturns) {
      this.context.returns.returned(service);
    }
    this.#log.defer("request.routed", request, now, {
      target: arrival.target,
      timeout: arrival.timeout,
      deadline: Math.round(request.deadline - now),
      targetLatency: route.targetLatency,
      idempotent: route.isIdempotent,
    });
    return request;
  }

  /** Sends, queues or refuses a request. */
  #dispatch(request: PendingRequest, now: number): void {
    const queue = this.#queues.of(request.service);
    const plan = this.#planner.plan(request, now);
    if (plan.kind === "server") {
      if (!this.#send(request, plan.server, now)) {
        this.#refuseOrFail(request, RETRY_BUDGET_EXHAUSTED, now);
      }
    } else if (plan.kind !== "wait") {
      this.#refuseUnsent(request, plan, now);
    } else if (
      now >= waitLimit(request, plan) || queue.length >= MAXIMUM_QUEUE_LENGTH
    ) {
      request.lacksCapacity = plan.lacksCapacity;
      this.#refuseOrFail(request, plan.reason, now);
    } else {
      const { reason, lacksCapacity } = plan;
      if (lacksCapacity && request.mayReturn) {
        this.context.admission.overloadSeen(now);
      }
      this.#log.defer("request.waits", request, now, {
        reason,
        ahead: queue.length,
        until: Math.round(waitLimit(request, plan) - request.arrivedAt),
      });
      this.#enqueue(request, plan);
    }
  }

  /** Queues a request; it is checked again when the plan's condition ends. */
  #enqueue(request: PendingRequest, { until }: WaitPlan): void {
    request.checkAt = until;
    this.#queues.add(request);
  }

  /**
   * Sends a request to a server; returns false if this is a retry and the retry
   * budget is used up. All attempts are sent by this method, so none can bypass
   * the budget.
   */
  #send(request: PendingRequest, server: TrackedServer, now: number): boolean {
    const isRepeat = request.sentCount > 0;
    if (isRepeat && !this.#repeats.withdraw(request, server.id, now)) {
      return false;
    }
    this.#start(request, server, now);
    return true;
  }

  /** Starts an attempt at a server. */
  #start(request: PendingRequest, server: TrackedServer, now: number): void {
    this.#attemptCount += 1;
    const number = this.#attemptCount;
    const range = this.#assignedRange(request);
    if (range !== null) this.#rangeBackoff.requestSent(range, now);
    const { relay, mayReuseDirect } = this.context.paths.to(server.id, now);
    const isRepeat = request.sentCount > 0;
    const attempt: Attempt = {
      number,
      server: server.id,
      relay,
      startedAt: now,
      isRepeat,
      coveredUntil: isRepeat
        ? this.#retryPolicy.coveredUntil(request, now)
        : Infinity,
      range,
      hedgeAt: this.#retryPolicy.hedgeAt(request, now),
    };
    request.attempts.push(attempt);
    request.tried.push(server.id);
    request.sentCount += 1;
    request.startedServers.push(server.id);
    this.#byAttempt.set(number, request);
    this.#copies.started(request, server.id);
    const { term, version } = this.context.directory.position;
    this.#log.defer("attempt.started", request, now, {
      attempt: number,
      server: server.id,
      address: server.entry.address,
      ...(relay === null ? {} : { relay }),
      load: Number(server.load(now).toFixed(1)),
      latency: server.latency === null ? null : Math.round(server.latency),
      vms: this.context.vms(),
      assignments: `${term}.${version}`,
    });
    server.started(number, now, request.arrival.bodyBytes);
    this.#recordPath(request, attempt, server, mayReuseDirect, now);
    this.#recordLimitedSend(request, server, now);
    this.#effects.push({
      kind: "attempt.start",
      attempt: number,
      ordinal: request.startedServers.filter((id) => id === server.id).length,
      exchange: request.arrival.exchange,
      server: server.id,
      address: server.entry.address,
      relay,
      mayReuseDirect,
      remaining: Math.max(1, Math.floor(request.deadline - now)),
    });
  }

  /**
   * Records an attempt at a server whose requests are limited. Logs the token
   * that an attempt at a cold server has used.
   */
  #recordLimitedSend(
    request: PendingRequest,
    server: TrackedServer,
    now: number,
  ): void {
    const use = this.context.tokens.requestSent(server, now);
    if (use === null || !use.limit.isWarmUp) return;
    this.#log.write("info", "server.cold_request", request, now, {
      server: server.id,
      tokenAge: use.tokenAge === null ? null : Math.round(use.tokenAge),
      limit: use.limit.requestsPerSecond,
      term: this.context.directory.position.term,
      vms: this.context.vms(),
    });
  }

  /** Records on which path an attempt is sent. */
  #recordPath(
    { service }: PendingRequest,
    { number, relay }: Attempt,
    server: TrackedServer,
    mayReuseDirect: boolean,
    now: number,
  ): void {
    const { fleet, paths } = this.context;
    const latency = server.latency ?? fleet.meanLatency(service, now);
    const name = attemptName(number);
    if (relay === null || mayReuseDirect) {
      paths.reach.started(name, server.id, latency, now);
    }
    if (relay !== null) paths.relays.started(name, relay, latency, now);
  }

  /** The assigned range that contains the request's key, or null. */
  #assignedRange({ service, key }: PendingRequest): AssignedRange | null {
    if (key === null) return null;
    return this.context.directory.find(service, key) ?? null;
  }

  /**
   * Carries out the step that follows an attempt. While another attempt of the
   * request is in flight, only a response ends the request.
   */
  #applyStep(
    request: PendingRequest,
    attempt: Attempt,
    step: NextStep,
    now: number,
  ): void {
    if (step.kind === "deliver") {
      return this.#deliver(request, attempt, step.status, now);
    }
    if (step.kind === "retry") {
      const { detail, fallback } = step;
      if (!this.#retry(request, now)) {
        return this.#applyStep(request, attempt, fallback, now);
      }
      if (detail === null) return;
      return this.#log.write("info", "request.again", request, now, detail);
    }
    if (request.attempts.length > 0) return;
    switch (step.kind) {
      case "dispatch":
        // Permits the request to be queued even if its wait limit has passed.
        request.waitEnd = Math.max(request.waitEnd, now + 1);
        return this.#dispatch(request, now);
      case "refuse":
        return this.#refuse(request, step.reason, now);
      case "fail": {
        const { reason, detail } = step;
        if (detail !== null) {
          this.#log.write("warn", "request.unknown", request, now, detail);
        }
        return this.#fail(request, 502, reason, now);
      }
    }
  }

  /** Passes the response of an attempt to the caller and ends the request. */
  #deliver(
    request: PendingRequest,
    attempt: Attempt,
    status: number,
    now: number,
  ): void {
    const { server, number } = attempt;
    if (status >= 500) {
      const detail = { server, status };
      this.#log.write("warn", "request.failed_at_server", request, now, detail);
    }
    const isLate = now - request.arrivedAt > request.route.targetLatency;
    if (isLate || request.isLogged) {
      const detail = { server, status, isLate };
      this.#log.write("info", "request.delivered", request, now, detail);
    }
    if (status < 500) this.#copies.answered(request);
    this.#finish(request, number);
    const { exchange } = request.arrival;
    this.#effects.push({ kind: "request.deliver", exchange, attempt: number });
  }

  /**
   * Retries or queues a request if the retry policy permits; false otherwise.
   * While another attempt is in flight, it does neither and returns true.
   */
  #retry(request: PendingRequest, now: number): boolean {
    if (request.attempts.length > 0) return true;
    if (!this.#retryPolicy.mayRetry(request, now)) return false;
    const plan = this.#planner.plan(request, now);
    if (plan.kind === "server") {
      return this.#send(request, plan.server, now);
    }
    if (plan.kind !== "wait") return false;
    const canWait = now < waitLimit(request, plan);
    const needsCapacity = request.key === null && !plan.isRequestSpecific;
    if (needsCapacity || !canWait) return false;
    if (!this.#retryPolicy.mayWithdraw(request, now)) return false;
    this.#enqueue(request, plan);
    return true;
  }

  /** Ends a request whose wait limit or deadline has passed, or hedges it. */
  #checkTimers(request: PendingRequest, now: number): void {
    if (now < nextCheckAt(request)) return;
    request.checkedAt = now;
    if (request.attempts.length === 0) {
      const plan = this.#planner.plan(request, now);
      if (plan.kind === "server") return;
      if (plan.kind !== "wait") {
        this.#queues.remove(request);
        return this.#refuseUnsent(request, plan, now);
      }
      if (now >= waitLimit(request, plan)) {
        this.#planner.extendWait(request, now);
      }
      if (now >= waitLimit(request, plan)) {
        this.#queues.remove(request);
        request.lacksCapacity = plan.lacksCapacity;
        this.#refuseOrFail(request, plan.reason, now);
      }
      return;
    }
    if (now >= request.deadline + DEADLINE_GRACE) {
      this.#log.write("warn", "request.timed_out", request, now, {
        server: request.attempts[0].server,
      });
      this.#fail(request, 504, "no answer in time", now);
      return;
    }
    if (this.#coverRepeats(request, now)) this.#hedge(request, now);
  }

  /**
   * Takes another retry for each repeat that the retry budget no longer covers:
   * a silent link may still hold it back. Cancels repeats for which none is
   * left; returns false if that ends the request.
   */
  #coverRepeats(request: PendingRequest, now: number): boolean {
    for (const attempt of [...request.attempts]) {
      if (now < attempt.coveredUntil) continue;
      if (this.#repeats.withdraw(request, attempt.server, now)) {
        attempt.coveredUntil = this.#retryPolicy.coveredUntil(request, now);
      } else if (request.attempts.length > 1) {
        this.context.fleet.get(attempt.server)?.cancelled(attempt.number);
        this.#cancel(request, attempt, now);
      } else {
        this.#fail(request, 504, RETRY_BUDGET_EXHAUSTED, now);
        return false;
      }
    }
    return true;
  }

  /** Ends a request that can be neither sent nor queued. */
  #refuseUnsent(
    request: PendingRequest,
    plan: Exclude<DispatchPlan, { kind: "server" | "wait" }>,
    now: number,
  ): void {
    switch (plan.kind) {
      case "shed":
        return this.#shed(request, plan, now);
      case "unadmitted":
        return this.#refuseUnadmitted(request, plan, now);
      case "quarantined":
        return this.#refuseQuarantined(request, plan, now);
      case "stopping":
        return this.#refuseStopping(request, now);
      case "refuse":
        request.isShed ||= plan.isRateLimited;
        request.lacksCapacity = false;
        return this.#refuseOrFail(request, plan.reason, now);
    }
  }

  /** Ends a request that cannot have a response before this VM stops. */
  #refuseStopping(request: PendingRequest, now: number): void {
    if (request.mayHaveRun) return this.#fail(request, 502, STOPPING, now);
    const refusal = this.#responses.shutdownRefusal(request.arrival);
    this.#finish(request, null);
    this.#effects.push(...refusal);
  }

  /** Sheds a request whose key is overloaded, without queueing it. */
  #shed(
    request: PendingRequest,
    { reason, share, age }: DispatchPlan & { kind: "shed" },
    now: number,
  ): void {
    request.isShed = true;
    request.lacksCapacity = true;
    const detail = {
      share: Number(share.toFixed(3)),
      chance: Number(request.chance.toFixed(3)),
      limitAge: Math.round(age),
    };
    this.#log.write("info", "request.crowded_out", request, now, detail);
    this.#refuseOrFail(request, reason, now);
  }

  /** Refuses a request that is not admitted, before it is queued or sent. */
  #refuseUnadmitted(
    request: PendingRequest,
    { denial: { reason, threshold, age } }: DispatchPlan & {
      kind: "unadmitted";
    },
    now: number,
  ): void {
    const { service, route, rank } = request;
    request.isShed = true;
    request.lacksCapacity = true;
    this.context.admission.denied(service, route.priority);
    this.#log.write("info", "request.not_admitted", request, now, {
      rank: Number(rank.toFixed(3)),
      threshold: threshold === null ? null : Number(threshold.toFixed(3)),
      thresholdAge: Math.round(age),
    });
    this.#refuse(request, reason, now);
  }

  /** Ends a quarantined request, so that it cannot crash another server. */
  #refuseQuarantined(
    request: PendingRequest,
    { quarantined }: DispatchPlan & { kind: "quarantined" },
    now: number,
  ): void {
    const detail = {
      fingerprint: quarantined.request,
      ends: quarantined.runs.length,
      left: Math.round(quarantined.left),
    };
    this.#log.write("warn", "request.held_back", request, now, detail);
    if (request.mayHaveRun) {
      return this.#fail(request, 502, QUARANTINED, now);
    }
    const refusal = this.#responses.quarantineRefusal(
      request,
      QUARANTINED,
      quarantined.left,
      now,
    );
    this.#finish(request, null);
    this.#effects.push(refusal);
  }

  /**
   * Ends a request that is not sent again: with a 502 response if it may have
   * run, otherwise with a refusal.
   */
  #refuseOrFail(request: PendingRequest, reason: string, now: number): void {
    if (request.mayHaveRun) this.#fail(request, 502, reason, now);
    else this.#refuse(request, reason, now);
  }

  /** Hedges a slow attempt: sends the request to a second server as well. */
  #hedge(request: PendingRequest, now: number): void {
    const attempt = request.attempts[0];
    if (now < attempt.hedgeAt) return;
    attempt.hedgeAt = Infinity;
    if (!this.#retryPolicy.mayHedge(request, now)) return;
    const plan = this.#planner.plan(request, now);
    if (plan.kind !== "server") return;
    if (!this.#send(request, plan.server, now)) return;
    this.#log.write("info", "request.hedged", request, now, {
      server: attempt.server,
      second: plan.server.id,
    });
    for (const each of request.attempts) each.hedgeAt = Infinity;
  }

  /** Sends queued requests of a service, in order of priority. */
  #drain(service: string, now: number): void {
    const queue = this.#queues.of(service);
    if (queue.length === 0) return;
    let isAtCapacity = false;
    const stillQueued: PendingRequest[] = [];
    for (const request of [...queue]) {
      const denied = this.#planner.planQueued(request, now);
      if (denied !== null) {
        this.#refuseUnsent(request, denied, now);
        continue;
      }
      const { fingerprint } = request.arrival;
      const isQuarantined =
        this.context.quarantine.quarantinedRequest(fingerprint, now) !== null;
      const needsCapacity = request.key === null &&
        request.checkAt === Infinity;
      if (isAtCapacity && needsCapacity && !isQuarantined) {
        stillQueued.push(request);
        continue;
      }
      const plan = this.#planner.plan(request, now);
      if (plan.kind === "server") {
        if (this.#send(request, plan.server, now)) continue;
        this.#refuseOrFail(request, RETRY_BUDGET_EXHAUSTED, now);
      } else if (plan.kind !== "wait") {
        this.#refuseUnsent(request, plan, now);
      } else {
        // Servers that a request has tried, or that cannot take its body, may
        // have capacity for others.
        isAtCapacity = isAtCapacity ||
          (request.tried.length === 0 && !plan.isRequestSpecific &&
            !plan.lacksBodyRoom);
        request.checkAt = plan.until;
        stillQueued.push(request);
      }
    }
    this.#queues.replace(service, stillQueued);
  }

  /** Refuses a request that has not run. */
  #refuse(request: PendingRequest, reason: string, now: number): void {
    const refusal = this.#responses.refusal(request, reason, now);
    this.#finish(request, null);
    this.#effects.push(refusal);
  }

  /** Ends a request that may have run but has no response from a server. */
  #fail(
    request: PendingRequest,
    status: 502 | 504,
    reason: string,
    now: number,
  ): void {
    const failure = this.#responses.failure(request, status, reason, now);
    this.#finish(request, null);
    this.#effects.push(failure);
  }

  /** Removes a request and cancels its attempts except `deliveredAttempt`. */
  #finish(request: PendingRequest, deliveredAttempt: number | null): void {
    this.#requests.delete(request.arrival.exchange);
    this.#queues.remove(request);
    this.#copies.ended(request);
    this.#releasePermit(request, deliveredAttempt);
    for (const { number, server } of request.attempts) {
      this.#byAttempt.delete(number);
      if (number === deliveredAttempt) continue;
      this.context.paths.ended(attemptName(number));
      this.context.fleet.get(server)?.cancelled(number);
      this.#effects.push({ kind: "attempt.cancel", attempt: number });
    }
  }

  /**
   * Releases the permit of a request that has crashed a server, unless the
   * request was sent and has no response: it may then still be running.
   */
  #releasePermit(
    { arrival, sentCount }: PendingRequest,
    deliveredAttempt: number | null,
  ): void {
    const { quarantine, permits } = this.context;
    if (!quarantine.hasRecord(arrival.fingerprint)) return;
    const { complete } = arrival.fingerprint;
    const mayStillRun = deliveredAttempt === null && sentCount > 0;
    permits.copyEnded(complete, arrival.id, mayStillRun);
  }

  /** Returns the collected effects and clears them. */
  #takeEffects(): DispatchEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
