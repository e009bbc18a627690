/**
 * Evaluates the outcome of an attempt: updates the state of the server, the key
 * range and the request, and decides whether the request is retried or ends.
 *
 * Once a byte of a request may have reached a server, the request counts as not
 * run only if that server reports so. Otherwise it may have run, and a
 * non-idempotent request that may have run is never retried.
 *
 * @module
 */
import { isFull } from "../admission/index.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { DispatchEffect, LogLine } from "./dispatch_effect.ts";
import type { RangeBackoff } from "./range_backoff.ts";
import type { ConnectionFailure } from "../reach/index.ts";
import {
  type Attempt,
  attemptName,
  type AttemptOutcome,
  type PendingRequest,
} from "./request.ts";
import { promisesNotRun } from "./not_run_status.ts";
import type { RequestLog } from "./request_log.ts";

/**
 * Delay before a request is sent again to the server of its key after that
 * server did not run it, in milliseconds; doubles with each consecutive time.
 */
const KEY_REFUSAL_DELAY = 30;
/**
 * Delay before a request whose connection broke is sent again, in milliseconds.
 * It covers the probe of the server's address, which shows whether the server
 * crashed, and is longer than the time for which an overloaded server resets
 * connections.
 */
const BROKEN_ATTEMPT_DELAY = 30;

/**
 * Number of times that a request is sent again on another path to a server
 * because no connection could be opened.
 */
const MAXIMUM_PATH_FAILURES = 4;

/**
 * Status of a server that is not the expected one or does not own the key.
 */
const MISDIRECTED = 421;

/**
 * Reason given when a server responds to a request with a status that promises
 * that it has not run, but does not state this.
 */
const UNSTATED_REFUSAL = "the server failed and may have run it";

/** Outcome of an attempt to which a server responded. */
type ServerResponse = AttemptOutcome & { kind: "answered" };

/** Outcome of an attempt to which no server responded. */
type FailedOutcome = AttemptOutcome & { kind: "failed" };

/** The step that follows an attempt. */
export type NextStep =
  /** Pass the response to the caller; its status is no promise. */
  | { kind: "deliver"; status: number }
  /**
   * Retry the request and log `detail` unless it is null; if the request cannot
   * be retried, continue with `fallback`.
   */
  | { kind: "retry"; detail: LogLine["detail"] | null; fallback: NextStep }
  /** Dispatch the request like a new one, because no server received it. */
  | { kind: "dispatch" }
  /** Refuse the request, which has not run. */
  | { kind: "refuse"; reason: string }
  /**
   * Fail the request, which may have run and has no response that can be passed
   * on; log `detail` unless it is null.
   */
  | { kind: "fail"; reason: string; detail: LogLine["detail"] | null };

/** See the module's comment. */
export class OutcomeReview {
  private constructor(
    private readonly context: DispatchContext,
    private readonly rangeBackoff: RangeBackoff,
    private readonly log: RequestLog,
    private readonly emit: (effect: DispatchEffect) => void,
  ) {}

  /**
   * Creates a review that records refused key ranges in `rangeBackoff`, writes
   * to `log` and passes server probes to `emit`.
   */
  static create(
    context: DispatchContext,
    rangeBackoff: RangeBackoff,
    log: RequestLog,
    emit: (effect: DispatchEffect) => void,
  ): OutcomeReview {
    return new OutcomeReview(context, rangeBackoff, log, emit);
  }

  /** Records the outcome of an attempt and returns the next step. */
  review(
    request: PendingRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
    now: number,
  ): NextStep {
    const { paths } = this.context;
    const name = attemptName(attempt.number);
    if (outcome.kind === "failed") {
      const failure = connectionFailure(outcome);
      paths.failed(name, outcome.isRelayed ?? false, failure, now);
      return this.#handleFailure(request, attempt, outcome, now);
    }
    paths.answered(name, outcome.isRelayed ?? false, now);
    this.#applyStatement(attempt, outcome, now);
    const isOwnStatement = reasonToIgnore(outcome, attempt.server) === null;
    if (isOwnStatement && showsFullServer(outcome)) {
      this.context.admission.overloadSeen(now);
    }
    return outcome.isNotRun
      ? this.#handleRefusal(request, attempt, outcome, now)
      : this.#handleResponse(request, attempt, outcome, now);
  }

  /**
   * Returns the next step of an idempotent request whose attempt was cancelled,
   * because nothing arrives over this VM's direct connections.
   */
  reviewAbandoned(request: PendingRequest, { server }: Attempt): NextStep {
    request.mayHaveRun = true;
    const cause = "no server responds to this VM";
    const detail = { server, cause };
    const fallback: NextStep = { kind: "fail", reason: cause, detail };
    return { kind: "retry", detail, fallback };
  }

  /** Handles a response to a request that the server may have run. */
  #handleResponse(
    request: PendingRequest,
    attempt: Attempt,
    { status, isGenuine, statement }: ServerResponse,
    now: number,
  ): NextStep {
    const server = this.context.fleet.get(attempt.server);
    if (!isGenuine) {
      this.#recordBrokenAttempt(request, attempt, now);
      server?.failed(attempt.number, now);
      return retryOrFail(request, attempt, "spoilt answer", now);
    }
    if (attempt.range !== null) this.rangeBackoff.served(attempt.range);
    const isPromise = promisesNotRun(status);
    const deliver: NextStep = { kind: "deliver", status };
    if (status < 500 && !isPromise) {
      // A failure does not clear the crashes of the request: the server may have
      // failed before it ran the request.
      this.context.quarantine.clear(request.arrival.fingerprint, now);
      server?.answered(attempt.number, now, statement.load);
      return deliver;
    }
    server?.refused(attempt.number, now, statement.load);
    request.mayHaveRun = true;
    const detail = { server: attempt.server, status };
    const end: NextStep = isPromise
      ? { kind: "fail", reason: UNSTATED_REFUSAL, detail }
      : deliver;
    return request.route.isIdempotent
      ? { kind: "retry", detail, fallback: end }
      : end;
  }

  /**
   * Applies what a response states of its server, if the server process to
   * which the attempt was sent has certainly created it.
   */
  #applyStatement(
    { number, server: id, startedAt }: Attempt,
    outcome: ServerResponse,
    now: number,
  ): void {
    const server = this.context.fleet.get(id);
    if (!server?.has(number)) return;
    const { statement } = outcome;
    const reason = reasonToIgnore(outcome, id);
    if (reason === null) {
      this.context.applyStatement(server, statement, startedAt, now);
    } else {
      this.context.ignoreStatement(server, statement, reason, now);
    }
  }

  /** Handles a response that reports that the request was not run. */
  #handleRefusal(
    request: PendingRequest,
    attempt: Attempt,
    { status, server: respondingServer, statement, connection }: ServerResponse,
    now: number,
  ): NextStep {
    const server = this.context.fleet.get(attempt.server);
    const isAnotherServer = respondingServer !== null &&
      respondingServer !== attempt.server;
    if (isAnotherServer) {
      this.#recordExit(server, attempt, now);
      server?.failed(attempt.number, now);
      this.#recordKeyRefusal(request, attempt, now);
    } else if (status === MISDIRECTED) {
      server?.cancelled(attempt.number);
      this.#recordKeyRefusal(request, attempt, now);
    } else {
      const { load, backoff } = statement;
      const hasBackoff = backoff !== null && backoff > 0;
      server?.refused(attempt.number, now, load, hasBackoff);
      request.lacksCapacity = !hasBackoff;
    }
    this.log.write("info", "attempt.not_run", request, now, {
      attempt: attempt.number,
      server: attempt.server,
      status,
      connection: connection?.number ?? null,
      responsesBefore: connection?.responses ?? null,
    });
    if (request.key !== null) delayKeyRetry(request, attempt, now);
    const fallback: NextStep = request.mayHaveRun
      ? { kind: "fail", reason: "not run again", detail: null }
      : { kind: "refuse", reason: "the server did not run it" };
    return { kind: "retry", detail: null, fallback };
  }

  /**
   * Records that an attempt ended without a valid response, and emits a probe
   * of the server's address if necessary: the server may have crashed while it
   * ran the request.
   */
  #recordBrokenAttempt(
    { arrival }: PendingRequest,
    attempt: Attempt,
    now: number,
  ): void {
    const { fleet, detector } = this.context;
    const server = fleet.get(attempt.server);
    if (!server?.has(attempt.number)) return;
    const { id, host, fingerprint } = arrival;
    const request = {
      id,
      target: `${host}${arrival.target}`,
      fingerprint: fingerprint.complete,
    };
    const probe = detector.connectionBroke(server, request, now);
    if (probe !== null) this.emit(this.context.paths.withPath(probe, now));
  }

  /**
   * Records that a server's address refused the connection of an attempt. A
   * direct connection may have been refused because of this VM's own links, so
   * the exit of the server is confirmed through another VM if there is one.
   */
  #recordRefusedConnection(
    attempt: Attempt,
    isRelayed: boolean,
    now: number,
  ): void {
    const server = this.context.fleet.get(attempt.server);
    if (!server?.has(attempt.number)) return;
    const confirmation = isRelayed
      ? null
      : this.context.paths.confirmation(server.id, server.entry.address, now);
    if (confirmation === null) {
      this.#recordExit(server, attempt, now);
      server.connectionRefused();
    } else if (confirmation !== "recent") this.emit(confirmation);
  }

  /**
   * Records that a server process has exited: its address refuses connections,
   * or another process responds there.
   */
  #recordExit(
    server: TrackedServer | undefined,
    attempt: Attempt,
    now: number,
  ): void {
    if (server?.has(attempt.number)) this.context.detector.exited(server, now);
  }

  /**
   * Records that the server does not own the key or has exited: the assignment
   * known to this VM may be outdated.
   */
  #recordKeyRefusal(
    request: PendingRequest,
    attempt: Attempt,
    now: number,
  ): void {
    const { directory } = this.context;
    const { range, startedAt } = attempt;
    if (request.key === null || range === null) return;
    this.rangeBackoff.refused(range, startedAt, now);
    const known = directory.find(request.service, request.key);
    if (known?.server === attempt.server) this.context.keyRefused();
  }

  /** Handles an attempt without a response. */
  #handleFailure(
    request: PendingRequest,
    attempt: Attempt,
    outcome: FailedOutcome,
    now: number,
  ): NextStep {
    const { mayHaveBeenSent, cause } = outcome;
    if (!mayHaveBeenSent) {
      return this.#handleNotSent(request, attempt, outcome, now);
    }
    this.#recordBrokenAttempt(request, attempt, now);
    this.context.fleet.get(attempt.server)?.failed(attempt.number, now);
    return retryOrFail(request, attempt, cause, now);
  }

  /** Handles an attempt of which nothing has reached a server. */
  #handleNotSent(
    request: PendingRequest,
    attempt: Attempt,
    outcome: FailedOutcome,
    now: number,
  ): NextStep {
    const { paths, fleet } = this.context;
    const { isConnectionRefused, isRelayed = false, cause } = outcome;
    const server = fleet.get(attempt.server);
    if (outcome.isRelayFault) {
      paths.relays.failed(attempt.relay!, now);
      server?.cancelled(attempt.number);
    } else if (isConnectionRefused) {
      this.#recordRefusedConnection(attempt, isRelayed, now);
    } else if (isRelayed) {
      paths.relays.unanswered(attempt.relay!, now);
    }
    server?.failed(attempt.number, now);
    this.log.write("info", "attempt.not_sent", request, now, {
      server: attempt.server,
      ...(isRelayed ? { relay: attempt.relay } : {}),
      cause,
    });
    // Nothing reached a server, so the next attempt is not a retry of this one.
    request.sentCount -= 1;
    const hasOtherPath = request.pathFailures < MAXIMUM_PATH_FAILURES &&
      paths.to(attempt.server, now).relay !== attempt.relay;
    if (hasOtherPath) {
      request.pathFailures += 1;
      // If only this server is not reached, others are preferred.
      if (request.key !== null || paths.reach.state(now) !== "direct") {
        request.tried.splice(request.tried.indexOf(attempt.server), 1);
      }
      if (!request.mayHaveRun) return { kind: "dispatch" };
      const fallback = { kind: "fail", reason: cause, detail: null } as const;
      return { kind: "retry", detail: null, fallback };
    }
    if (request.mayHaveRun) {
      return { kind: "fail", reason: "not sent again", detail: null };
    }
    if (request.key !== null) delayKeyRetry(request, attempt, now);
    return request.tried.length >= request.route.maximumAttempts
      ? { kind: "refuse", reason: cause }
      : { kind: "dispatch" };
  }
}

/** Returns how the connection of an attempt without a response has failed. */
function connectionFailure(
  { mayHaveBeenSent, isConnectionRefused }: FailedOutcome,
): ConnectionFailure {
  if (mayHaveBeenSent) return "broken";
  return isConnectionRefused ? "refused" : "silent";
}

/**
 * Returns why the statement in a response is not taken for that of the server
 * `id`, or null. A response with status 421 may come from another server that
 * has its address now, and need not name that server.
 */
function reasonToIgnore(
  { status, server, isGenuine, isNotRun }: ServerResponse,
  id: string,
): string | null {
  if (server !== null && server !== id) return "another server responded";
  if (server === null && status === MISDIRECTED) return "misdirected";
  return isGenuine || isNotRun ? null : "not signed for this request";
}

/**
 * Whether a response shows that its server is full: by the load that it states,
 * or since it refused a request. A server that refuses although it states free
 * slots is not full.
 */
function showsFullServer({ status, isNotRun, statement }: ServerResponse) {
  const { load, backoff } = statement;
  if (load !== null && isFull(load)) return true;
  const isRefusal = isNotRun && status !== MISDIRECTED && backoff === null;
  if (!isRefusal) return false;
  return load === null || load.running + load.waiting >= load.slots;
}

/**
 * Handles an attempt without a valid response: the request may have run, so it
 * is retried only if it is idempotent.
 */
function retryOrFail(
  request: PendingRequest,
  { server }: Attempt,
  cause: string,
  now: number,
): NextStep {
  request.mayHaveRun = true;
  request.retryNotBefore = now + BROKEN_ATTEMPT_DELAY;
  const fingerprint = request.arrival.fingerprint.complete;
  const detail = { server, cause, fingerprint };
  const fail: NextStep = { kind: "fail", reason: cause, detail };
  return request.route.isIdempotent
    ? { kind: "retry", detail, fallback: fail }
    : fail;
}

/**
 * Permits another attempt at the server of the request's key after a delay,
 * since that server did not run the request and no other one can.
 */
function delayKeyRetry(
  request: PendingRequest,
  { server }: Attempt,
  now: number,
): void {
  const index = request.tried.indexOf(server);
  if (index >= 0) request.tried.splice(index, 1);
  const { refusal } = request;
  const count = refusal?.server === server ? refusal.count + 1 : 1;
  const until = now + KEY_REFUSAL_DELAY * 2 ** (count - 1);
  request.refusal = { server, count, until };
}
