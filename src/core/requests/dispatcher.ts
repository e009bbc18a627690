/**
 * The life of requests: which server gets one and when, what may be sent again,
 * and what a caller is told.
 *
 * Once a byte may have reached a server, only that server's own refusal makes a
 * request "not run". Everything else on non-idempotent work is "unknown", and is
 * never sent again.
 *
 * @module
 */
import type { SiteService } from "../configuration/index.ts";
import type { Effect, RequestOutcome } from "../effect.ts";
import type {
  AttemptAnswer,
  AttemptFailure,
  RequestArrival,
} from "../event.ts";
import { comparePositions, ORIGIN, type Position } from "../position.ts";
import { type Balancer, RetryBudget } from "../routing/index.ts";
import { type ClaimEnd, ClaimRegistry } from "./claim_registry.ts";
import { type Choice, chooseServer, RETRY_AFTER } from "./choice.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import { DrainTracker, type KeyedAttempt } from "./drain_tracker.ts";
import type { Attempt, Exchange } from "./exchange.ts";

/** Requests of one service that wait at one VM. */
const MAXIMUM_QUEUE = 512;
/** Pause before a keyed request that was shed is sent again. */
const SHED_PAUSE = 10;
/** An answer that takes longer than this is reason to probe its server. */
const SLOW_ANSWER = 250;
/** Weight of the newest sample in the mean time of a service. */
const MEAN_WEIGHT = 0.05;

/** See the module's comment. */
export class Dispatcher {
  readonly #exchanges = new Map<number, Exchange>();
  readonly #byAttempt = new Map<number, Exchange>();
  readonly #queues = new Map<string, Exchange[]>();
  readonly #meanTimes = new Map<string, number>();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #drains = DrainTracker.create();
  readonly #claims = ClaimRegistry.create();
  /** Requests whose id could not be claimed yet. */
  readonly #unclaimed = new Set<Exchange>();
  #drained: Position = ORIGIN;
  #attempts = 0;

  private constructor(private readonly balancer: Balancer) {}

  /** A dispatcher that balances un-keyed requests with `balancer`. */
  static create(balancer: Balancer): Dispatcher {
    return new Dispatcher(balancer);
  }

  /** Requests that have no final answer yet. */
  get size(): number {
    return this.#exchanges.size;
  }

  /** Takes in a request. */
  arrive(context: DispatchContext, event: RequestArrival, out: Effect[]): void {
    const service = context.configuration.services.get(event.service);
    const exchange = createExchange(event, service);
    this.#exchanges.set(exchange.id, exchange);
    // Until its homes have spoken, an id that a caller chose may have run.
    const needsClaim = !event.idempotent && event.callerChoseId;
    exchange.mayHaveRun = needsClaim;
    if (service === undefined) {
      this.#refuse(context, exchange, 404, "unknown service", null, out);
      return;
    }
    if (!needsClaim) {
      this.#admit(context, service, exchange, out);
      return;
    }
    exchange.state = "claiming";
    this.#claim(context, exchange, out);
  }

  #claim(context: DispatchContext, exchange: Exchange, out: Effect[]): void {
    const id = `${exchange.service}/${exchange.requestId}`;
    const end = this.#claims.claim(context.claims(), exchange.id, id);
    if (end !== null) this.#endClaim(context, end, out);
  }

  /** A VM asks whether a request id is new here. */
  claimAsked(id: string, owner: string, now: number): boolean {
    return this.#claims.asked(id, owner, now);
  }

  /** A VM has answered a claim. */
  claimAnswered(
    context: DispatchContext,
    exchange: number,
    vm: string,
    isNew: boolean,
    out: Effect[],
  ): void {
    const end = this.#claims.answered(exchange, vm, isNew);
    if (end !== null) this.#endClaim(context, end, out);
  }

  /** A VM gives a claim back. */
  claimReleased(id: string, owner: string): void {
    this.#claims.released(id, owner);
  }

  #endClaim(context: DispatchContext, end: ClaimEnd, out: Effect[]): void {
    const exchange = this.#exchanges.get(end.exchange);
    if (exchange === undefined || exchange.state !== "claiming") return;
    const service = context.configuration.services.get(exchange.service);
    if (end.result === "known") {
      this.#refuse(context, exchange, 409, "request id was used", null, out);
      return;
    }
    if (end.result === "unclear" || service === undefined) {
      // Claimed again with the next tick, until the deadline.
      this.#unclaimed.add(exchange);
      return;
    }
    this.#admit(context, service, exchange, out);
  }

  #admit(
    context: DispatchContext,
    service: SiteService,
    exchange: Exchange,
    out: Effect[],
  ): void {
    exchange.state = "queued";
    exchange.mayHaveRun = false;
    this.#budget(service.name).deposit();
    this.#route(context, service, exchange, out);
  }

  /** The caller is gone: its work is cancelled. */
  cancel(context: DispatchContext, id: number, out: Effect[]): void {
    const exchange = this.#exchanges.get(id);
    if (exchange === undefined) return;
    if (exchange.attempt !== null) {
      this.#abort(context, exchange, "caller left", out);
    }
    this.#forget(exchange);
    this.#pump(context, exchange.service, out);
  }

  /** The head of an answer arrived. */
  answer(context: DispatchContext, event: AttemptAnswer, out: Effect[]): void {
    const exchange = this.#byAttempt.get(event.attempt);
    if (exchange === undefined) return;
    const attempt = exchange.attempt!;
    if (event.verdict === "mismatched") {
      this.#abort(context, exchange, "answer of another exchange", out);
      this.#afterLoss(context, exchange, attempt, "mismatched answer", out);
      return;
    }
    context.servers.onSuccess(attempt.server, context.now);
    if (event.verdict === "ran") {
      this.#deliver(context, exchange, attempt, out);
      return;
    }
    out.push({ kind: "attempt.discard", attempt: attempt.id });
    this.#release(exchange, attempt);
    if (event.verdict === "shed") attempt.server.limit.onShed(context.now);
    else context.suspect(attempt.server, "fenced");
    exchange.tried.push(attempt.server.id);
    this.#retryNotRun(context, exchange, event.verdict, out);
    this.#pump(context, exchange.service, out);
  }

  /** An answer was passed on whole. */
  complete(context: DispatchContext, attemptId: number, out: Effect[]): void {
    const exchange = this.#byAttempt.get(attemptId);
    if (exchange === undefined) return;
    const attempt = exchange.attempt!;
    attempt.server.limit.onSuccess();
    this.#observeTime(exchange.service, context.now - attempt.sentAt);
    this.#release(exchange, attempt);
    this.#forget(exchange);
    this.#pump(context, exchange.service, out);
  }

  /** An attempt ended without a whole answer. */
  fail(context: DispatchContext, event: AttemptFailure, out: Effect[]): void {
    const exchange = this.#byAttempt.get(event.attempt);
    if (exchange === undefined) return;
    const attempt = exchange.attempt!;
    context.servers.onFailure(attempt.server);
    context.suspect(attempt.server, event.cause);
    if (event.sent) this.#giveUp(context, exchange, attempt);
    this.#release(exchange, attempt);
    if (exchange.state === "delivering") {
      this.#forget(exchange);
    } else if (event.sent) {
      this.#afterLoss(context, exchange, attempt, event.cause, out);
    } else {
      exchange.tried.push(attempt.server.id);
      this.#retryNotRun(context, exchange, event.cause, out);
    }
    this.#pump(context, exchange.service, out);
  }

  /** A new view was adopted. */
  adopt(
    context: DispatchContext,
    lost: readonly string[],
    out: Effect[],
  ): void {
    const obsolete = this.#drains.adopt(context.view, this.#keyedAttempts());
    const superseded = new Set(
      obsolete.filter((attempt) => {
        const slot = context.view.services[attempt.service]?.[attempt.slot];
        return slot !== undefined && slot.server !== null;
      }).map((attempt) => attempt.id),
    );
    for (const exchange of [...this.#byAttempt.values()]) {
      const attempt = exchange.attempt!;
      const isLost = lost.includes(attempt.server.id);
      if (!isLost && !superseded.has(attempt.id)) continue;
      const cause = isLost ? "backend server lost" : "token superseded";
      if (exchange.state === "delivering") {
        // Its answer has begun, so the server has run it.
        if (isLost) this.#drains.end(attempt.id);
        continue;
      }
      this.#abort(context, exchange, cause, out);
      this.#afterLoss(context, exchange, attempt, cause, out);
    }
    this.pumpAll(context, out);
  }

  /** Ends what has passed its deadline and sends what can be sent. */
  tick(context: DispatchContext, out: Effect[]): void {
    const unclaimed = [...this.#unclaimed];
    this.#unclaimed.clear();
    for (const exchange of unclaimed) this.#claim(context, exchange, out);
    for (const end of this.#claims.expire(context.now)) {
      this.#endClaim(context, end, out);
    }
    for (const exchange of [...this.#exchanges.values()]) {
      if (exchange.state === "delivering") continue;
      this.#suspectSlow(context, exchange);
      if (context.now < exchange.deadline) continue;
      const wasSent = exchange.attempt !== null;
      if (wasSent) {
        this.#abort(context, exchange, "deadline passed", out);
        exchange.mayHaveRun = true;
      }
      const status = wasSent ? 504 : 503;
      this.#refuse(
        context,
        exchange,
        status,
        "deadline passed",
        RETRY_AFTER,
        out,
      );
    }
    this.pumpAll(context, out);
  }

  /** Sends whatever waits and can be sent. */
  pumpAll(context: DispatchContext, out: Effect[]): void {
    for (const service of this.#queues.keys()) {
      this.#pump(context, service, out);
    }
  }

  /** Up to which view nothing sent to former owners can still start. */
  drained(now: number, adopted: Position): Position {
    const drained = this.#drains.drained(now, adopted, this.#drained);
    if (comparePositions(drained, this.#drained) > 0) this.#drained = drained;
    return this.#drained;
  }

  /** A server that owes an answer for long is probed. */
  #suspectSlow(context: DispatchContext, { attempt }: Exchange): void {
    if (attempt === null || context.now < attempt.sentAt + SLOW_ANSWER) return;
    context.suspect(attempt.server, "answer is slow");
  }

  #route(
    context: DispatchContext,
    service: SiteService,
    exchange: Exchange,
    out: Effect[],
  ): void {
    const choice = chooseServer(
      context,
      service,
      exchange,
      this.balancer,
    );
    switch (choice.kind) {
      case "send":
        this.#dispatch(context, exchange, choice, out);
        return;
      case "refuse":
        this.#refuse(
          context,
          exchange,
          503,
          choice.reason,
          choice.retryAfter,
          out,
        );
        return;
      case "wait":
        this.#wait(context, service, exchange, choice, out);
    }
  }

  #wait(
    context: DispatchContext,
    service: SiteService,
    exchange: Exchange,
    choice: Extract<Choice, { kind: "wait" }>,
    out: Effect[],
  ): void {
    const queue = this.#queue(service.name);
    const isQueued = queue.includes(exchange);
    const waited = context.now - exchange.arrivedAt;
    const isHopeless = !isQueued && queue.length >= MAXIMUM_QUEUE ||
      waited > choice.patience ||
      !isQueued && this.#expectedWait(context, service, queue.length) >
          exchange.deadline - context.now;
    if (isHopeless) {
      this.#refuse(context, exchange, 503, choice.reason, RETRY_AFTER, out);
      return;
    }
    exchange.state = "queued";
    if (!isQueued) queue.push(exchange);
  }

  /** How long the last of `length` waiting requests will have to wait. */
  #expectedWait(
    { servers }: DispatchContext,
    service: SiteService,
    length: number,
  ): number {
    const mean = this.#meanTimes.get(service.name) ?? 0;
    const width = servers.usable(service.name)
      .reduce((sum, server) => sum + server.limit.current, 0);
    return width === 0 ? 0 : mean * (length + 1) / width;
  }

  #dispatch(
    context: DispatchContext,
    exchange: Exchange,
    choice: Extract<Choice, { kind: "send" }>,
    out: Effect[],
  ): void {
    const { now } = context;
    const { server, token } = choice;
    this.#attempts += 1;
    exchange.attempt = { id: this.#attempts, server, token, sentAt: now };
    exchange.attempts += 1;
    exchange.state = "dispatched";
    server.inFlight += 1;
    this.#byAttempt.set(this.#attempts, exchange);
    const timeout = exchange.deadline - now;
    const lease = context.leaseUntil - now;
    out.push({
      kind: "request.dispatch",
      now,
      exchange: exchange.id,
      attempt: this.#attempts,
      requestId: exchange.requestId,
      service: exchange.service,
      server: server.id,
      address: server.address,
      slot: exchange.slot,
      token,
      sendBefore: token === null ? exchange.deadline : context.leaseUntil,
      startWithin: token === null
        ? timeout
        : Math.min(timeout, lease, context.timing.startWindow),
      timeout,
      ordinal: exchange.attempts,
      reason: choice.reason,
    });
  }

  /** Passes an answer on, unless its token has been superseded meanwhile. */
  #deliver(
    context: DispatchContext,
    exchange: Exchange,
    attempt: Attempt,
    out: Effect[],
  ): void {
    if (!this.#isCurrent(context, exchange, attempt)) {
      this.#abort(context, exchange, "token superseded", out);
      this.#afterLoss(context, exchange, attempt, "token superseded", out);
      return;
    }
    exchange.state = "delivering";
    out.push({
      kind: "request.deliver",
      exchange: exchange.id,
      attempt: attempt.id,
    });
  }

  #isCurrent(
    { now, leaseUntil, view }: DispatchContext,
    { service, slot }: Exchange,
    { token }: Attempt,
  ): boolean {
    if (slot === null) return true;
    if (now >= leaseUntil) return false;
    return view.services[service]?.[slot]?.token === token;
  }

  /** The server did not run it: it may be sent again, whatever it is. */
  #retryNotRun(
    context: DispatchContext,
    exchange: Exchange,
    cause: string,
    out: Effect[],
  ): void {
    const isKeyed = exchange.slot !== null;
    if (isKeyed) exchange.notBefore = context.now + SHED_PAUSE;
    if (!exchange.replayable || !this.#budget(exchange.service).withdraw()) {
      this.#refuse(context, exchange, 503, cause, RETRY_AFTER, out);
      return;
    }
    this.#retry(context, exchange, out);
  }

  /** A server may have run it: it is sent again only if that does no harm. */
  #afterLoss(
    context: DispatchContext,
    exchange: Exchange,
    attempt: Attempt,
    cause: string,
    out: Effect[],
  ): void {
    exchange.mayHaveRun = true;
    exchange.tried.push(attempt.server.id);
    if (exchange.state === "delivering") {
      this.#forget(exchange);
      return;
    }
    const mayRetry = exchange.idempotent && exchange.replayable &&
      this.#budget(exchange.service).withdraw();
    if (mayRetry) this.#retry(context, exchange, out);
    else this.#refuse(context, exchange, 502, cause, null, out);
  }

  #retry(context: DispatchContext, exchange: Exchange, out: Effect[]): void {
    const service = context.configuration.services.get(exchange.service);
    exchange.state = "queued";
    if (service === undefined) {
      this.#refuse(context, exchange, 503, "service was removed", null, out);
      return;
    }
    this.#route(context, service, exchange, out);
  }

  #refuse(
    context: DispatchContext,
    exchange: Exchange,
    status: number,
    reason: string,
    retryAfter: number | null,
    out: Effect[],
  ): void {
    const outcome: RequestOutcome = exchange.mayHaveRun ? "unknown" : "not-run";
    out.push({
      kind: "request.refuse",
      now: context.now,
      exchange: exchange.id,
      requestId: exchange.requestId,
      service: exchange.service,
      status,
      outcome,
      retryAfter,
      slot: exchange.slot,
      server: exchange.tried.at(-1) ?? null,
      reason,
    });
    if (!exchange.mayHaveRun) {
      this.#claims.release(context.claims(), exchange.id);
    }
    this.#forget(exchange);
  }

  #abort(
    context: DispatchContext,
    exchange: Exchange,
    cause: string,
    out: Effect[],
  ): void {
    const attempt = exchange.attempt!;
    out.push({ kind: "attempt.abort", attempt: attempt.id, cause });
    this.#giveUp(context, exchange, attempt);
    this.#release(exchange, attempt);
  }

  /** Notes until when the server may still start an attempt without answer. */
  #giveUp(
    { configuration, timing }: DispatchContext,
    exchange: Exchange,
    attempt: Attempt,
  ): void {
    if (exchange.slot === null) return;
    const checks = configuration.services.get(exchange.service)?.checks;
    const started = attempt.sentAt + timing.startWindow + timing.clockError;
    const until = checks?.lease === true
      ? Math.min(started, exchange.deadline)
      : exchange.deadline + timing.clockError;
    this.#drains.giveUp(keyedAttempt(exchange, attempt), until);
  }

  #release(exchange: Exchange, attempt: Attempt): void {
    exchange.attempt = null;
    attempt.server.inFlight -= 1;
    this.#byAttempt.delete(attempt.id);
    this.#drains.end(attempt.id);
  }

  #forget(exchange: Exchange): void {
    this.#exchanges.delete(exchange.id);
    this.#claims.forget(exchange.id);
    this.#unclaimed.delete(exchange);
    const queue = this.#queues.get(exchange.service);
    const index = queue?.indexOf(exchange) ?? -1;
    if (index >= 0) queue!.splice(index, 1);
  }

  #pump(context: DispatchContext, name: string, out: Effect[]): void {
    const queue = this.#queues.get(name);
    if (queue === undefined || queue.length === 0) return;
    const service = context.configuration.services.get(name);
    for (const exchange of [...queue]) {
      if (service === undefined) {
        this.#refuse(context, exchange, 503, "service was removed", null, out);
        continue;
      }
      const choice = chooseServer(
        context,
        service,
        exchange,
        this.balancer,
      );
      if (choice.kind === "wait") {
        if (context.now - exchange.arrivedAt <= choice.patience) continue;
        this.#refuse(context, exchange, 503, choice.reason, RETRY_AFTER, out);
        continue;
      }
      queue.splice(queue.indexOf(exchange), 1);
      this.#route(context, service, exchange, out);
    }
  }

  #queue(service: string): Exchange[] {
    const queue = this.#queues.get(service) ?? [];
    this.#queues.set(service, queue);
    return queue;
  }

  #budget(service: string): RetryBudget {
    const budget = this.#budgets.get(service) ?? RetryBudget.create();
    this.#budgets.set(service, budget);
    return budget;
  }

  #observeTime(service: string, time: number): void {
    const mean = this.#meanTimes.get(service) ?? time;
    this.#meanTimes.set(service, mean + (time - mean) * MEAN_WEIGHT);
  }

  *#keyedAttempts(): Iterable<KeyedAttempt> {
    for (const exchange of this.#byAttempt.values()) {
      if (exchange.slot === null) continue;
      yield keyedAttempt(exchange, exchange.attempt!);
    }
  }
}

function createExchange(
  event: RequestArrival,
  service: SiteService | undefined,
): Exchange {
  const timeout = Math.min(
    event.timeout ?? service?.timeout ?? 0,
    service?.maximumTimeout ?? 0,
  );
  const isKeyed = service !== undefined && event.keyHash !== null;
  return {
    id: event.exchange,
    requestId: event.requestId,
    service: event.service,
    slot: isKeyed ? event.keyHash! % service.keySlots : null,
    idempotent: event.idempotent,
    replayable: event.replayable,
    arrivedAt: event.now,
    deadline: event.now + timeout,
    state: "queued",
    mayHaveRun: false,
    attempts: 0,
    notBefore: -Infinity,
    tried: [],
    attempt: null,
  };
}

function keyedAttempt(exchange: Exchange, attempt: Attempt): KeyedAttempt {
  return {
    id: attempt.id,
    service: exchange.service,
    slot: exchange.slot!,
    server: attempt.server.id,
  };
}
