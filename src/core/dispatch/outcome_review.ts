/**
 * What follows the outcome of an attempt: what it says of the server, of the key
 * and of the request, and which end the request has unless it is sent again.
 *
 * Once a byte may have reached a server, only that server's own statement makes
 * a request "not run". All else may have run, and non-idempotent work is then
 * never sent again.
 *
 * @module
 */
import type { TrackedServer } from "../fleet/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { DispatchEffect, Note } from "./dispatch_effect.ts";
import type { RefusedRanges } from "./range_backoff.ts";
import type { Attempt, AttemptOutcome, PendingRequest } from "./request.ts";
import type { RequestLog } from "./request_log.ts";

/** Pause before a request is sent to its key's server again that did not run it,
 * in milliseconds; doubles each time. */
const KEY_PAUSE = 30;
/** Pause before a request is sent again whose server broke off, in milliseconds:
 * as long as a look at the server's address takes, which tells whether it has
 * ended, and longer than a server that is full resets whatever comes. */
const BREAK_PAUSE = 30;

/** An answer of a server. */
type Answer = AttemptOutcome & { kind: "answered" };

/** What follows the outcome of an attempt. */
export type Sequel =
  /** The caller gets the answer. */
  | { kind: "deliver"; status: number }
  /** It is sent again, with this in the log, or else that follows. */
  | { kind: "again"; detail: Note["detail"] | null; otherwise: Sequel }
  /** It goes elsewhere as if it had just come: no server got it. */
  | { kind: "dispatch" }
  /** It has not run and will not. */
  | { kind: "refuse"; reason: string }
  /** It may have run and has no answer; with this in the log, if anything. */
  | { kind: "fail"; reason: string; detail: Note["detail"] | null };

/** See the module's comment. */
export class OutcomeReview {
  private constructor(
    private readonly context: DispatchContext,
    private readonly refusedRanges: RefusedRanges,
    private readonly log: RequestLog,
    private readonly emit: (effect: DispatchEffect) => void,
  ) {}

  /** A review that notes in `log`, and in `refusedRanges` which were refused. */
  static create(
    context: DispatchContext,
    refusedRanges: RefusedRanges,
    log: RequestLog,
    emit: (effect: DispatchEffect) => void,
  ): OutcomeReview {
    return new OutcomeReview(context, refusedRanges, log, emit);
  }

  /** Takes in how an attempt of a request ended; says what follows. */
  follow(
    request: PendingRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
    now: number,
  ): Sequel {
    if (outcome.kind === "failed") {
      return this.#failed(request, attempt, outcome, now);
    }
    this.#takeRateLimit(attempt, outcome, now);
    return outcome.isNotRun
      ? this.#refused(request, attempt, outcome, now)
      : this.#answered(request, attempt, outcome, now);
  }

  #answered(
    request: PendingRequest,
    attempt: Attempt,
    { status, isGenuine, load }: Answer,
    now: number,
  ): Sequel {
    const server = this.context.fleet.get(attempt.server);
    if (!isGenuine) {
      this.#broke(request, attempt, now);
      server?.failed(attempt.number, now);
      return mayHaveRun(request, attempt, "spoilt answer", now);
    }
    if (attempt.range !== null) this.refusedRanges.served(attempt.range);
    const deliver: Sequel = { kind: "deliver", status };
    if (status < 500) {
      // A failure clears nothing: a server that fails may not have begun its work.
      this.context.quarantine.clear(request.arrival.fingerprint, now);
      server?.answered(attempt.number, now, load);
      return deliver;
    }
    server?.refused(attempt.number, now, load);
    if (!request.route.isIdempotent) return deliver;
    request.mayHaveRun = true;
    const detail = { server: attempt.server, status };
    return { kind: "again", detail, otherwise: deliver };
  }

  /** Records the rate limit, or its absence, in an answer that comes from the server
   * to which the attempt was sent. */
  #takeRateLimit(
    { number, server: id, startedAt }: Attempt,
    { server: answering, isGenuine, isNotRun, rateLimit }: Answer,
    now: number,
  ): void {
    const server = this.context.fleet.get(id);
    const isOwn = (isGenuine || isNotRun) && (answering ?? id) === id;
    if (!isOwn || rateLimit === undefined || !server?.has(number)) return;
    const change = server.rate.answered(rateLimit, startedAt, now);
    if (change !== null) {
      this.context.rateLimitChanged({ server, change }, now);
    }
  }

  /** The server stated that it did not run the request. */
  #refused(
    request: PendingRequest,
    attempt: Attempt,
    { status, server: answering, load }: Answer,
    now: number,
  ): Sequel {
    const server = this.context.fleet.get(attempt.server);
    const isOther = answering !== null && answering !== attempt.server;
    if (isOther) {
      this.#ended(server, attempt, now);
      server?.failed(attempt.number, now);
      this.#doubtKey(request, attempt, now);
    } else if (status === 421) {
      server?.cancelled(attempt.number);
      this.#doubtKey(request, attempt, now);
    } else {
      server?.refused(attempt.number, now, load);
    }
    const detail = { server: attempt.server, status };
    this.log.note("info", "attempt.not_run", request, now, detail);
    if (request.key !== null) forgetTry(request, attempt, now);
    const otherwise: Sequel = request.mayHaveRun
      ? { kind: "fail", reason: "not run again", detail: null }
      : { kind: "refuse", reason: "the server did not run it" };
    return { kind: "again", detail: null, otherwise };
  }

  /** An attempt ended without its answer: the server may have ended under it. */
  #broke({ arrival }: PendingRequest, attempt: Attempt, now: number): void {
    const { fleet, crashes } = this.context;
    const server = fleet.get(attempt.server);
    if (!server?.has(attempt.number)) return;
    const { id, host, fingerprint } = arrival;
    const request = {
      id,
      target: `${host}${arrival.target}`,
      fingerprint: fingerprint.whole,
    };
    const check = crashes.broke(server, request, now);
    if (check !== null) this.emit(check);
  }

  /** Another run is at the server's address, or none. */
  #ended(
    server: TrackedServer | undefined,
    attempt: Attempt,
    now: number,
  ): void {
    if (server?.has(attempt.number)) this.context.crashes.ended(server, now);
  }

  /** The server does not hold the key, or has ended: what is known here may be
   * old. */
  #doubtKey(request: PendingRequest, attempt: Attempt, now: number): void {
    const { directory } = this.context;
    const { range, startedAt } = attempt;
    if (request.key === null || range === null) return;
    this.refusedRanges.refused(range, startedAt, now);
    const known = directory.find(request.service, request.key);
    if (known?.server === attempt.server) this.context.keyRefused();
  }

  #failed(
    request: PendingRequest,
    attempt: Attempt,
    { wasSent, isRefused, cause }: AttemptOutcome & { kind: "failed" },
    now: number,
  ): Sequel {
    const server = this.context.fleet.get(attempt.server);
    if (wasSent) this.#broke(request, attempt, now);
    else if (isRefused) {
      this.#ended(server, attempt, now);
      if (server?.has(attempt.number)) server.gone();
    }
    server?.failed(attempt.number, now);
    if (wasSent) return mayHaveRun(request, attempt, cause, now);
    const detail = { server: attempt.server, cause };
    this.log.note("info", "attempt.not_sent", request, now, detail);
    // Nothing reached a server, so this was no arrival.
    request.arrivals -= 1;
    if (request.mayHaveRun) {
      return { kind: "fail", reason: "not sent again", detail: null };
    }
    if (request.key !== null) forgetTry(request, attempt, now);
    return request.tried.length >= request.route.maximumAttempts
      ? { kind: "refuse", reason: cause }
      : { kind: "dispatch" };
  }
}

/** The request may have run, and its answer is lost. */
function mayHaveRun(
  request: PendingRequest,
  { server }: Attempt,
  cause: string,
  now: number,
): Sequel {
  request.mayHaveRun = true;
  request.restUntil = now + BREAK_PAUSE;
  const fingerprint = request.arrival.fingerprint.whole;
  const detail = { server, cause, fingerprint };
  const fail: Sequel = { kind: "fail", reason: cause, detail };
  return request.route.isIdempotent
    ? { kind: "again", detail, otherwise: fail }
    : fail;
}

/** The key's server did not run a request: it may have it again, but later,
 * since a key has no other server. */
function forgetTry(
  request: PendingRequest,
  { server }: Attempt,
  now: number,
): void {
  const index = request.tried.indexOf(server);
  if (index >= 0) request.tried.splice(index, 1);
  const { refusal } = request;
  const count = refusal?.server === server ? refusal.count + 1 : 1;
  const until = now + KEY_PAUSE * 2 ** (count - 1);
  request.refusal = { server, count, until };
}
