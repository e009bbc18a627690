/**
 * The life of requests: which server gets one and when, how long one waits, and
 * what a caller is told. What follows an outcome is said by `outcome_review.ts`.
 *
 * @module
 */
import type { Route } from "../catalog/index.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { AssignedRange } from "../keyspace/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import {
  type Attempt,
  type AttemptOutcome,
  type PendingRequest,
  pendingRequest,
  type RequestArrival,
} from "./request.ts";
import { DEADLINE_SLACK, dueAt, waitEndOf } from "./request_times.ts";
import { OutcomeReview, type Sequel } from "./outcome_review.ts";
import { OwnAnswers } from "./local_responses.ts";
import { RequestLog } from "./request_log.ts";
import { type Placing, RequestPlacing, type Wait } from "./dispatch_planner.ts";
import { RefusedRanges } from "./range_backoff.ts";
import { RetryAdvice } from "./retry_after_policy.ts";
import { RetryPolicy } from "./retry_policy.ts";
import { WaitQueues } from "./wait_queues.ts";

/** Requests that may wait for one service at this VM; bounds memory. */
const MAXIMUM_WAITING = 256;
/** Why a request is given up that could be sent once more. */
const OVER_BUDGET = "the retry budget is used up";

/** Why a request is refused under which servers have ended. */
const HELD_BACK = "backend servers have ended under this request";

/** See the module's comment. */
export class Dispatcher {
  readonly #requests = new Map<number, PendingRequest>();
  readonly #byAttempt = new Map<number, PendingRequest>();
  readonly #waiting = WaitQueues.create();
  readonly #refusedRanges = RefusedRanges.create();
  readonly #placing: RequestPlacing;
  readonly #retries: RetryPolicy;
  readonly #log: RequestLog;
  readonly #outcomes: OutcomeReview;
  readonly #answers: OwnAnswers;
  readonly #advice: RetryAdvice;
  #attemptCount = 0;
  #effects: DispatchEffect[] = [];

  private constructor(private readonly context: DispatchContext) {
    this.#placing = RequestPlacing.create(context, this.#refusedRanges);
    this.#retries = RetryPolicy.create(context);
    this.#advice = RetryAdvice.create(context);
    this.#log = RequestLog.create(
      () => context.catalog.version,
      (...notes) => this.#effects.push(...notes),
    );
    this.#answers = OwnAnswers.create(context, this.#log, this.#advice);
    this.#outcomes = OutcomeReview.create(
      context,
      this.#refusedRanges,
      this.#log,
      (effect) => this.#effects.push(effect),
    );
  }

  /** A dispatcher without requests. */
  static create(context: DispatchContext): Dispatcher {
    return new Dispatcher(context);
  }

  /** Requests without a final answer. */
  get pending(): number {
    return this.#requests.size;
  }

  /** A request arrived. */
  arrive(arrival: RequestArrival, now: number): DispatchEffect[] {
    const { catalog } = this.context;
    const route = catalog.route(arrival.host, arrival.target);
    if (route === undefined) {
      this.#effects.push(...this.#answers.unrouted(arrival));
    } else {
      const request = this.#admit(arrival, route, now);
      this.#dispatch(request, now);
    }
    return this.#take();
  }

  /** A request arrived that this VM does not take any more. */
  turnAway(arrival: RequestArrival): DispatchEffect[] {
    return this.#answers.turnedAway(arrival);
  }

  /** Gives up all requests that wait for a server. */
  stopWaiting(reason: string, now: number): DispatchEffect[] {
    for (const request of [...this.#requests.values()]) {
      if (request.attempts.length > 0) continue;
      this.#waiting.remove(request);
      this.#giveUpWaiting(request, reason, now);
    }
    return this.#take();
  }

  /** Answers all requests that servers still work on. An answer of this VM's own
   * lets those go that stand behind it on its connection. */
  breakOff(reason: string, now: number): DispatchEffect[] {
    for (const request of [...this.#requests.values()]) {
      if (request.attempts.length === 0) continue;
      this.#fail(request, 504, reason, now);
    }
    return this.#take();
  }

  /** The clock may be ahead by `gap` milliseconds. A server that works on a request
   * stops at the deadline that it was given, and a caller leaves at its own, so
   * their word is waited for; nobody else is asked, since no time may be left. */
  doubtTime(gap: number): void {
    for (const request of this.#requests.values()) {
      if (request.attempts.length === 0) continue;
      request.deadline += gap;
      request.isAgeDoubted = true;
      for (const each of request.attempts) each.hedgeAt = Infinity;
    }
  }

  /** A caller left without waiting for its answer. */
  leave(exchange: number, now: number): DispatchEffect[] {
    const request = this.#requests.get(exchange);
    if (request === undefined) return [];
    this.#log.note("info", "request.left", request, now, {});
    this.#finish(request, null);
    this.#pump(request.service, now);
    return this.#take();
  }

  /** An attempt ended. */
  ended(
    number: number,
    outcome: AttemptOutcome,
    now: number,
  ): DispatchEffect[] {
    const request = this.#byAttempt.get(number);
    if (request === undefined) return [];
    this.#byAttempt.delete(number);
    const attempt = request.attempts.find((each) => each.number === number)!;
    request.attempts = request.attempts.filter((each) => each !== attempt);
    const sequel = this.#outcomes.follow(request, attempt, outcome, now);
    this.#continue(request, attempt, sequel, now);
    this.#pump(request.service, now);
    return this.#take();
  }

  /** Looks at all requests whose time has come, and at those that wait. */
  advance(now: number): DispatchEffect[] {
    for (const request of [...this.#requests.values()]) {
      this.#advanceRequest(request, now);
    }
    for (const service of this.#waiting.services()) this.#pump(service, now);
    return this.#take();
  }

  /** When {@linkcode advance} is next needed; Infinity without requests. */
  nextAt(): number {
    let next = Infinity;
    for (const request of this.#requests.values()) {
      next = Math.min(next, dueAt(request));
    }
    return next;
  }

  #admit(arrival: RequestArrival, route: Route, now: number): PendingRequest {
    const { catalog, draw } = this.context;
    const service = catalog.destination(route);
    const isKeyed = catalog.service(service)?.isKeyed ?? false;
    const key = isKeyed ? arrival.key : null;
    const request = pendingRequest(arrival, route, service, key, draw(), now);
    this.#requests.set(arrival.exchange, request);
    this.#retries.count(service, now);
    this.#advice.arrived(route, arrival.timeout);
    this.#log.trace("request.routed", request, now, {
      target: arrival.target,
      timeout: arrival.timeout,
      deadline: Math.round(request.deadline - now),
      targetLatency: route.targetLatency,
      idempotent: route.isIdempotent,
    });
    return request;
  }

  /** Sends a request, or lets it wait, or refuses it. */
  #dispatch(request: PendingRequest, now: number): void {
    const queue = this.#waiting.of(request.service);
    const placing = this.#placing.place(request, now);
    if (placing.kind === "server") {
      if (!this.#send(request, placing.server, now)) {
        this.#giveUpWaiting(request, OVER_BUDGET, now);
      }
    } else if (placing.kind !== "wait") {
      this.#refuseUnplaced(request, placing, now);
    } else if (
      now >= waitEndOf(request, placing) || queue.length >= MAXIMUM_WAITING
    ) {
      this.#giveUpWaiting(request, placing.reason, now);
    } else {
      const { reason } = placing;
      this.#log.trace("request.waits", request, now, {
        reason,
        ahead: queue.length,
        until: Math.round(waitEndOf(request, placing) - request.arrivedAt),
      });
      this.#await(request, placing);
    }
  }

  /** Lets a request wait for what `placing` says. */
  #await(request: PendingRequest, { until }: Wait): void {
    request.lookAt = until;
    this.#waiting.add(request);
  }

  /** Sends a request; false when it has arrived somewhere before and the budget
   * for that is used up. Nothing reaches a server but by this way. */
  #send(request: PendingRequest, server: TrackedServer, now: number): boolean {
    if (request.arrivals > 0 && !this.#retries.withdraw(request, now)) {
      return false;
    }
    this.#start(request, server, now);
    return true;
  }

  #start(request: PendingRequest, server: TrackedServer, now: number): void {
    this.#attemptCount += 1;
    const number = this.#attemptCount;
    const range = this.#rangeOf(request);
    if (range !== null) this.#refusedRanges.asked(range, now);
    const attempt: Attempt = {
      number,
      server: server.id,
      startedAt: now,
      range,
      hedgeAt: this.#retries.hedgeAt(request, now),
    };
    request.attempts.push(attempt);
    request.tried.push(server.id);
    request.arrivals += 1;
    this.#byAttempt.set(number, request);
    const { term, version } = this.context.directory.position;
    this.#log.trace("attempt.started", request, now, {
      attempt: number,
      server: server.id,
      address: server.entry.address,
      load: Number(server.load(now).toFixed(1)),
      latency: server.latency === null ? null : Math.round(server.latency),
      vms: this.context.vms(),
      assignments: `${term}.${version}`,
    });
    server.started(number, now);
    this.context.cold.started(server, now);
    this.context.tokens.started(server, now);
    this.#effects.push({
      kind: "attempt.start",
      attempt: number,
      exchange: request.arrival.exchange,
      server: server.id,
      address: server.entry.address,
      remaining: Math.max(1, Math.floor(request.deadline - now)),
    });
  }

  /** What is known of the range of a request's key, or null. */
  #rangeOf({ service, key }: PendingRequest): AssignedRange | null {
    if (key === null) return null;
    return this.context.directory.find(service, key) ?? null;
  }

  /** Does what follows an outcome; while another attempt of the request runs,
   * that one decides about any end but an answer. */
  #continue(
    request: PendingRequest,
    attempt: Attempt,
    sequel: Sequel,
    now: number,
  ): void {
    if (sequel.kind === "deliver") {
      return this.#deliver(request, attempt, sequel.status, now);
    }
    if (sequel.kind === "again") {
      const { detail, otherwise } = sequel;
      if (!this.#again(request, now)) {
        return this.#continue(request, attempt, otherwise, now);
      }
      if (detail === null) return;
      return this.#log.note("info", "request.again", request, now, detail);
    }
    if (request.attempts.length > 0) return;
    switch (sequel.kind) {
      case "dispatch":
        request.waitEnd = Math.max(request.waitEnd, now + 1);
        return this.#dispatch(request, now);
      case "refuse":
        return this.#refuse(request, sequel.reason, now);
      case "fail": {
        const { reason, detail } = sequel;
        if (detail !== null) {
          this.#log.note("warn", "request.unknown", request, now, detail);
        }
        return this.#fail(request, 502, reason, now);
      }
    }
  }

  #deliver(
    request: PendingRequest,
    attempt: Attempt,
    status: number,
    now: number,
  ): void {
    const { server, number } = attempt;
    if (status >= 500) {
      const detail = { server, status };
      this.#log.note("warn", "request.failed_at_server", request, now, detail);
    }
    const isLate = now - request.arrivedAt > request.route.targetLatency;
    if (isLate || request.isNoteworthy) {
      const detail = { server, status, isLate };
      this.#log.note("info", "request.delivered", request, now, detail);
    }
    this.#finish(request, number);
    const { exchange } = request.arrival;
    this.#effects.push({ kind: "request.deliver", exchange, attempt: number });
  }

  /** Sends a request once more if that is allowed; it may have to wait. */
  #again(request: PendingRequest, now: number): boolean {
    if (request.attempts.length > 0) return true;
    if (!this.#retries.mayRepeat(request, now)) return false;
    const placing = this.#placing.place(request, now);
    if (placing.kind === "server") {
      return this.#send(request, placing.server, now);
    }
    if (placing.kind !== "wait") return false;
    const mayWait = now < waitEndOf(request, placing);
    const isForRoom = request.key === null && !placing.isOwn;
    if (isForRoom || !mayWait) return false;
    if (!this.#retries.mayWithdraw(request, now)) return false;
    this.#await(request, placing);
    return true;
  }

  #advanceRequest(request: PendingRequest, now: number): void {
    if (now < dueAt(request)) return;
    request.lookedAt = now;
    if (request.attempts.length === 0) {
      const placing = this.#placing.place(request, now);
      if (placing.kind === "server") return;
      if (placing.kind !== "wait") {
        this.#waiting.remove(request);
        return this.#refuseUnplaced(request, placing, now);
      }
      if (now >= waitEndOf(request, placing)) {
        this.#waiting.remove(request);
        this.#giveUpWaiting(request, placing.reason, now);
      }
      return;
    }
    if (now >= request.deadline + DEADLINE_SLACK) {
      this.#log.note("warn", "request.timed_out", request, now, {
        server: request.attempts[0].server,
      });
      this.#fail(request, 504, "no answer in time", now);
      return;
    }
    this.#hedge(request, now);
  }

  /** Refuses a request that cannot be placed and would gain nothing by waiting. */
  #refuseUnplaced(
    request: PendingRequest,
    placing: Exclude<Placing, { kind: "server" | "wait" }>,
    now: number,
  ): void {
    switch (placing.kind) {
      case "refuse":
        return this.#crowdOut(request, placing, now);
      case "hold":
        return this.#holdBack(request, placing, now);
      case "deny":
        request.isCrowdedOut ||= placing.isCrowded;
        return this.#giveUpWaiting(request, placing.reason, now);
    }
  }

  /** Refuses a request at once for which its key's server has no room. */
  #crowdOut(
    request: PendingRequest,
    { reason, share, age }: Placing & { kind: "refuse" },
    now: number,
  ): void {
    request.isCrowdedOut = true;
    const detail = {
      share: Number(share.toFixed(3)),
      chance: Number(request.chance.toFixed(3)),
      limitAge: Math.round(age),
    };
    this.#log.note("info", "request.crowded_out", request, now, detail);
    this.#giveUpWaiting(request, reason, now);
  }

  /** Refuses a request under which servers have ended, so that no other ends. */
  #holdBack(
    request: PendingRequest,
    { hold }: Placing & { kind: "hold" },
    now: number,
  ): void {
    const detail = {
      fingerprint: hold.request,
      ends: hold.runs.length,
      left: Math.round(hold.left),
    };
    this.#log.note("warn", "request.held_back", request, now, detail);
    if (request.mayHaveRun) {
      return this.#fail(request, 502, HELD_BACK, now);
    }
    const refusal = this.#answers.heldBack(request, HELD_BACK, hold.left, now);
    this.#finish(request, null);
    this.#effects.push(refusal);
  }

  #giveUpWaiting(request: PendingRequest, reason: string, now: number): void {
    if (request.mayHaveRun) this.#fail(request, 502, reason, now);
    else this.#refuse(request, reason, now);
  }

  /** Tries another server beside one that takes too long. */
  #hedge(request: PendingRequest, now: number): void {
    const attempt = request.attempts[0];
    if (now < attempt.hedgeAt) return;
    attempt.hedgeAt = Infinity;
    if (!this.#retries.mayHedge(request, now)) return;
    const placing = this.#placing.place(request, now);
    if (placing.kind !== "server") return;
    if (!this.#send(request, placing.server, now)) return;
    this.#log.note("info", "request.hedged", request, now, {
      server: attempt.server,
      second: placing.server.id,
    });
    for (const each of request.attempts) each.hedgeAt = Infinity;
  }

  /** Sends waiting requests of a service, the most urgent first. */
  #pump(service: string, now: number): void {
    const queue = this.#waiting.of(service);
    if (queue.length === 0) return;
    let isFull = false;
    const rest: PendingRequest[] = [];
    for (const request of [...queue]) {
      const { fingerprint } = request.arrival;
      const isHeld = this.context.quarantine.hold(fingerprint, now) !== null;
      const isForRoom = request.key === null && request.lookAt === Infinity;
      if (isFull && isForRoom && !isHeld) {
        rest.push(request);
        continue;
      }
      const placing = this.#placing.place(request, now);
      if (placing.kind === "server") {
        if (this.#send(request, placing.server, now)) continue;
        this.#giveUpWaiting(request, OVER_BUDGET, now);
      } else if (placing.kind !== "wait") {
        this.#refuseUnplaced(request, placing, now);
      } else {
        isFull = isFull || (request.tried.length === 0 && !placing.isOwn);
        request.lookAt = placing.until;
        rest.push(request);
      }
    }
    this.#waiting.replace(service, rest);
  }

  #refuse(request: PendingRequest, reason: string, now: number): void {
    const refusal = this.#answers.refusal(request, reason, now);
    this.#finish(request, null);
    this.#effects.push(refusal);
  }

  /** Ends a request that may have run without an answer of a server. */
  #fail(
    request: PendingRequest,
    status: 502 | 504,
    reason: string,
    now: number,
  ): void {
    const failure = this.#answers.failure(request, status, reason, now);
    this.#finish(request, null);
    this.#effects.push(failure);
  }

  /** Forgets a request; all attempts but `winner` are given up. */
  #finish(request: PendingRequest, winner: number | null): void {
    this.#requests.delete(request.arrival.exchange);
    this.#waiting.remove(request);
    this.#returnPermit(request, winner);
    for (const { number, server } of request.attempts) {
      this.#byAttempt.delete(number);
      if (number === winner) continue;
      this.context.fleet.get(server)?.cancelled(number);
      this.#effects.push({ kind: "attempt.cancel", attempt: number });
    }
  }

  /** Without an answer a copy that was sent may still run. */
  #returnPermit(
    { arrival, arrivals }: PendingRequest,
    winner: number | null,
  ): void {
    const { quarantine, permits } = this.context;
    if (!quarantine.isKnown(arrival.fingerprint)) return;
    const { whole } = arrival.fingerprint;
    const mayStillRun = winner === null && arrivals > 0;
    permits.ended(whole, arrival.id, mayStillRun);
  }

  #take(): DispatchEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
