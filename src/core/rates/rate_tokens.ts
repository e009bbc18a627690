/**
 * Keeps the requests of all VMs to a server with a limit
 * ({@linkcode ServerLimits}) within it.
 *
 * Each request to such a server uses a token that the term holder has granted
 * ({@linkcode TokenBuckets}), so that the bound holds for any number of VMs,
 * whichever of them restart, were suspended or return. Fixed shares per VM would
 * leave most of a low limit unused when there are many VMs or their loads
 * differ.
 *
 * While the term holder does not answer, a VM uses a fixed share
 * ({@linkcode RateShare}) of a limit that a server reports, if it knows the
 * number of VMs. It sends nothing to a cold server then, which is soon warm.
 *
 * ```ts
 * switch (tokens.check(server, isUrgent, now).kind) {
 *   case "ready":
 *     tokens.requestSent(server, now); // after the request was sent
 * }
 * ```
 *
 * @module
 */
import type { TrackedServer } from "../fleet/index.ts";
import { RateShare } from "./rate_share.ts";
import type { ServerLimit, ServerLimits } from "./server_limits.ts";
import { type TokenAnswer, tokenLifetime } from "./token_bucket.ts";

/** Timeout of a token request, in milliseconds. */
const ANSWER_TIMEOUT = 250;
/**
 * Time for which a VM uses its share after a token request timed out or could
 * not be sent, in milliseconds.
 */
const SHARE_DURATION = 1_000;
/**
 * Maximum time for which a denial applies, in milliseconds, since the limit may
 * change in the meantime.
 */
const MAXIMUM_DENIAL = 500;
/**
 * Minimum time between two requests of a VM for tokens for cold servers of
 * services without keys, in milliseconds per VM. It limits what the term holder
 * receives from all VMs together while many servers are cold.
 */
const COLD_INTERVAL_PER_VM = 1;
/** Number of servers from which on expired states are removed. */
const MAXIMUM_SERVERS = 1_024;
/** Milliseconds in a second. */
const MILLISECONDS_PER_SECOND = 1_000;

/** Sends token requests of this VM to the term holder. */
export interface TokenChannel {
  /**
   * Requests a token for a server. Returns the answer if it is available at
   * once, null if it will be passed to {@linkcode RateTokens.applyAnswer}, or
   * "unreachable" if no token can be requested, for example without a known
   * term holder. `isUrgent` permits the use of the reserved token.
   */
  requestToken(
    server: TrackedServer,
    isUrgent: boolean,
    now: number,
  ): TokenAnswer | "unreachable" | null;
}

/** Whether a request may be sent to a server now. */
export type Admission =
  | { kind: "ready" }
  /** A token request is pending; it times out at `until`. */
  | { kind: "asked"; until: number }
  /**
   * The request may not be sent now. Before `until`, no token is requested
   * unless a more urgent request needs one.
   */
  | { kind: "denied"; until: number };

type TokenState =
  | { kind: "none" }
  | { kind: "asked"; askedAt: number; until: number; isUrgent: boolean }
  | { kind: "granted"; askedAt: number; until: number }
  | { kind: "denied"; until: number; isUrgent: boolean }
  /**
   * The term holder did not answer or is unreachable; this VM uses its share.
   */
  | { kind: "shared"; until: number };

/** What a request to a server with a limit has used. */
export interface LimitUse {
  /**
   * Time since its token was requested, in milliseconds; null if it has used a
   * share.
   */
  tokenAge: number | null;
  limit: ServerLimit;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class RateTokens {
  /** Token states by the server's id. */
  readonly #states = new Map<string, TokenState>();
  readonly #share: RateShare;
  /** Time from which {@linkcode mayRequest} applies to cold servers. */
  #mayRequestAt = -Infinity;

  private constructor(
    private readonly limits: ServerLimits,
    private readonly channel: TokenChannel,
    private readonly vmCount: () => number | null,
    draw: () => number,
  ) {
    this.#share = RateShare.create(draw);
  }

  /**
   * Starts without tokens for the servers with `limits`. They are requested
   * over `channel`; while the term holder does not answer, a reported limit is
   * divided among `vmCount` VMs (null when unknown). `draw` returns random
   * numbers in [0, 1).
   */
  static create(
    limits: ServerLimits,
    channel: TokenChannel,
    vmCount: () => number | null,
    draw: () => number,
  ): RateTokens {
    return new RateTokens(limits, channel, vmCount, draw);
  }

  /** Whether the requests to a server are limited now. */
  isLimited(server: TrackedServer, now: number): boolean {
    return this.limits.of(server, now) !== null;
  }

  /** Whether they are limited because the server is cold or may be. */
  isCold(server: TrackedServer, now: number): boolean {
    return this.limits.of(server, now)?.isWarmUp ?? false;
  }

  /**
   * Whether a request may be sent to a server now, without requesting a token
   * first.
   */
  isReady(server: TrackedServer, now: number): boolean {
    const limit = this.limits.of(server, now);
    if (limit === null) return true;
    const { kind } = this.#current(server.id, limit, now);
    if (kind === "granted") return true;
    return kind === "shared" && this.#mayUseShare(server.id, limit, now);
  }

  /**
   * Whether a token for a server should be requested: the server has a limit,
   * and no token is granted, requested or denied. For an urgent request, the
   * denial of a token for a less urgent one does not count.
   */
  mayRequest(server: TrackedServer, isUrgent: boolean, now: number): boolean {
    const limit = this.limits.of(server, now);
    if (limit === null) return false;
    if (limit.isWarmUp && now < this.#mayRequestAt) return false;
    const state = this.#current(server.id, limit, now);
    if (state.kind === "denied") return isUrgent && !state.isUrgent;
    return state.kind === "none";
  }

  /**
   * Time until which tokens for a server are denied; -Infinity if they are not.
   */
  deniedUntil(server: TrackedServer, now: number): number {
    const limit = this.limits.of(server, now);
    if (limit === null) return -Infinity;
    const state = this.#current(server.id, limit, now);
    return state.kind === "denied" ? state.until : -Infinity;
  }

  /**
   * Whether a request may be sent to a server now; requests a token if
   * necessary. `isUrgent` permits the use of the reserved token.
   */
  check(server: TrackedServer, isUrgent: boolean, now: number): Admission {
    const limit = this.limits.of(server, now);
    if (limit === null) {
      this.#states.delete(server.id);
      return { kind: "ready" };
    }
    const state = this.#current(server.id, limit, now);
    switch (state.kind) {
      case "none":
        return this.#request(server, isUrgent, now);
      case "granted":
        return { kind: "ready" };
      case "denied":
        return isUrgent && !state.isUrgent
          ? this.#request(server, isUrgent, now)
          : state;
      case "asked":
        return state;
      case "shared":
        return this.#mayUseShare(server.id, limit, now)
          ? { kind: "ready" }
          : { kind: "denied", until: state.until };
    }
  }

  /**
   * Records that a request was sent to a server, which uses the token or the
   * share. Returns what it has used; null if the server has no limit.
   */
  requestSent(server: TrackedServer, now: number): LimitUse | null {
    const limit = this.limits.of(server, now);
    if (limit === null) return null;
    const state = this.#states.get(server.id);
    if (state?.kind === "granted") {
      this.#states.delete(server.id);
      return { tokenAge: now - state.askedAt, limit };
    }
    const interval = this.#interval(limit);
    if (interval !== null) this.#share.requestSent(server.id, interval, now);
    return { tokenAge: null, limit };
  }

  /** Applies the term holder's answer to a token request. */
  applyAnswer(
    server: TrackedServer,
    { isGranted, left }: TokenAnswer,
    now: number,
  ): void {
    const state = this.#states.get(server.id);
    if (state?.kind !== "asked") return;
    const { isUrgent, askedAt } = state;
    if (!isGranted) {
      const until = now + Math.min(left, MAXIMUM_DENIAL);
      this.#states.set(server.id, { kind: "denied", until, isUrgent });
      return;
    }
    const limit = this.limits.of(server, now);
    // The holder has granted the token after the request for it was sent.
    const until = askedAt + tokenLifetime(limit?.requestsPerSecond ?? 1);
    this.#states.set(server.id, { kind: "granted", askedAt, until });
  }

  /**
   * Returns the state of a server, in which expired tokens and denials no
   * longer count and a token request that timed out has led to the use of the
   * share.
   */
  #current(server: string, limit: ServerLimit, now: number): TokenState {
    const state = this.#states.get(server);
    if (state === undefined) return { kind: "none" };
    if (state.kind === "none" || now < state.until) return state;
    if (state.kind !== "asked") return { kind: "none" };
    const next = withoutHolder(limit, now);
    this.#states.set(server, next);
    return next;
  }

  #request(server: TrackedServer, isUrgent: boolean, now: number): Admission {
    if (this.#states.size >= MAXIMUM_SERVERS) this.#removeExpired(now);
    const until = now + ANSWER_TIMEOUT;
    this.#states.set(server.id, {
      kind: "asked",
      askedAt: now,
      until,
      isUrgent,
    });
    this.#mayRequestAt = now + COLD_INTERVAL_PER_VM * (this.vmCount() ?? 0);
    const answer = this.channel.requestToken(server, isUrgent, now);
    if (answer === null) return { kind: "asked", until };
    if (answer === "unreachable") {
      const limit = this.limits.of(server, now)!;
      this.#states.set(server.id, withoutHolder(limit, now));
    } else {
      this.applyAnswer(server, answer, now);
    }
    return this.check(server, isUrgent, now);
  }

  /** Whether this VM may send a request to a server by its share of a limit. */
  #mayUseShare(server: string, limit: ServerLimit, now: number): boolean {
    const interval = this.#interval(limit);
    return interval !== null && this.#share.maySend(server, interval, now);
  }

  /**
   * Time between two requests of this VM at its share of a limit, in
   * milliseconds; null if it may not use a share.
   */
  #interval({ requestsPerSecond, isWarmUp }: ServerLimit): number | null {
    const vmCount = this.vmCount();
    if (isWarmUp || vmCount === null) return null;
    return MILLISECONDS_PER_SECOND * vmCount / requestsPerSecond;
  }

  #removeExpired(now: number): void {
    for (const [server, state] of this.#states) {
      if (state.kind !== "none" && now < state.until) continue;
      this.#states.delete(server);
    }
  }
}

/** State of a server whose token request the term holder has not answered. */
function withoutHolder({ isWarmUp }: ServerLimit, now: number): TokenState {
  return isWarmUp
    ? { kind: "denied", until: now + MAXIMUM_DENIAL, isUrgent: true }
    : { kind: "shared", until: now + SHARE_DURATION };
}
