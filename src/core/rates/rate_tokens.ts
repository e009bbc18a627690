/**
 * Keeps the requests of all VMs to a rate-limited server within its limit.
 *
 * Each request to such a server uses a token that the term holder has granted
 * ({@linkcode TokenBuckets}). Fixed shares per VM would leave most of a low
 * limit unused when there are many VMs or their loads differ. A VM therefore
 * uses a fixed share ({@linkcode RateShare}) only while the term holder does
 * not answer.
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
import type { TokenAnswer } from "./token_bucket.ts";

/** Timeout of a token request, in milliseconds. */
const ANSWER_TIMEOUT = 250;
/**
 * Time for which a VM uses its share after a token request timed out or could
 * not be sent, in milliseconds.
 */
const SHARE_DURATION = 1_000;
/**
 * Time for which a granted token is valid, in milliseconds. Another request may
 * use it if the one that needed it has ended.
 */
const TOKEN_LIFETIME = 1_000;
/**
 * Maximum time for which a denial applies, in milliseconds, since the limit may
 * change in the meantime.
 */
const MAXIMUM_DENIAL = 500;
/**
 * Number of VMs that are assumed to share a server while the actual number is
 * unknown.
 */
const ASSUMED_VM_COUNT = 64;
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
  | { kind: "asked"; until: number; isUrgent: boolean }
  | { kind: "granted"; until: number }
  | { kind: "denied"; until: number; isUrgent: boolean }
  /**
   * The term holder did not answer or is unreachable; this VM uses its share.
   */
  | { kind: "shared"; until: number };

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class RateTokens {
  /** Token states by the server's id. */
  readonly #states = new Map<string, TokenState>();
  readonly #share: RateShare;

  private constructor(
    private readonly channel: TokenChannel,
    private readonly vmCount: () => number | null,
    draw: () => number,
  ) {
    this.#share = RateShare.create(draw);
  }

  /**
   * Starts without tokens. They are requested over `channel`; while the term
   * holder does not answer, the rate is divided among `vmCount` VMs (null when
   * unknown). `draw` returns random numbers in [0, 1).
   */
  static create(
    channel: TokenChannel,
    vmCount: () => number | null,
    draw: () => number,
  ): RateTokens {
    return new RateTokens(channel, vmCount, draw);
  }

  /** Whether a server currently has a rate limit. */
  isLimited(server: TrackedServer, now: number): boolean {
    return server.rateLimit.current(now) !== null;
  }

  /**
   * Whether a request may be sent to a server now, without requesting a token
   * first.
   */
  isReady(server: TrackedServer, now: number): boolean {
    const limit = server.rateLimit.current(now);
    if (limit === null) return true;
    const { kind } = this.#current(server.id, now);
    if (kind === "granted") return true;
    return kind === "shared" &&
      this.#share.maySend(server.id, this.#interval(limit), now);
  }

  /**
   * Whether a token for a server should be requested: the server has a rate
   * limit, and no token is granted, requested or denied. For an urgent request,
   * the denial of a token for a less urgent one does not count.
   */
  mayRequest(server: TrackedServer, isUrgent: boolean, now: number): boolean {
    if (!this.isLimited(server, now)) return false;
    const state = this.#current(server.id, now);
    if (state.kind === "denied") return isUrgent && !state.isUrgent;
    return state.kind === "none";
  }

  /**
   * Time until which tokens for a server are denied; -Infinity if they are not.
   */
  deniedUntil(server: TrackedServer, now: number): number {
    if (!this.isLimited(server, now)) return -Infinity;
    const state = this.#current(server.id, now);
    return state.kind === "denied" ? state.until : -Infinity;
  }

  /**
   * Whether a request may be sent to a server now; requests a token if
   * necessary. `isUrgent` permits the use of the reserved token.
   */
  check(server: TrackedServer, isUrgent: boolean, now: number): Admission {
    const limit = server.rateLimit.current(now);
    if (limit === null) {
      this.#states.delete(server.id);
      return { kind: "ready" };
    }
    const state = this.#current(server.id, now);
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
      case "shared": {
        const interval = this.#interval(limit);
        const maySend = this.#share.maySend(server.id, interval, now);
        return maySend
          ? { kind: "ready" }
          : { kind: "denied", until: state.until };
      }
    }
  }

  /**
   * Records that a request was sent to a server, which uses the token or the
   * share.
   */
  requestSent(server: TrackedServer, now: number): void {
    const limit = server.rateLimit.current(now);
    if (limit === null) return;
    const state = this.#states.get(server.id);
    if (state?.kind === "granted") this.#states.delete(server.id);
    if (state?.kind !== "shared") return;
    this.#share.requestSent(server.id, this.#interval(limit), now);
  }

  /** Applies the term holder's answer to a token request. */
  applyAnswer(
    server: string,
    { isGranted, left }: TokenAnswer,
    now: number,
  ): void {
    const state = this.#states.get(server);
    if (state?.kind !== "asked") return;
    const { isUrgent } = state;
    const until = now +
      (isGranted ? TOKEN_LIFETIME : Math.min(left, MAXIMUM_DENIAL));
    this.#states.set(
      server,
      isGranted
        ? { kind: "granted", until }
        : { kind: "denied", until, isUrgent },
    );
  }

  /**
   * Returns the state of a server, in which expired tokens and denials no
   * longer count and a token request that timed out has led to the use of the
   * share.
   */
  #current(server: string, now: number): TokenState {
    const state = this.#states.get(server);
    if (state === undefined) return { kind: "none" };
    if (state.kind === "none" || now < state.until) return state;
    if (state.kind !== "asked") return { kind: "none" };
    const shared: TokenState = { kind: "shared", until: now + SHARE_DURATION };
    this.#states.set(server, shared);
    return shared;
  }

  #request(server: TrackedServer, isUrgent: boolean, now: number): Admission {
    if (this.#states.size >= MAXIMUM_SERVERS) this.#removeExpired(now);
    const until = now + ANSWER_TIMEOUT;
    this.#states.set(server.id, { kind: "asked", until, isUrgent });
    const answer = this.channel.requestToken(server, isUrgent, now);
    if (answer === null) return { kind: "asked", until };
    if (answer === "unreachable") {
      const shared = { kind: "shared", until: now + SHARE_DURATION } as const;
      this.#states.set(server.id, shared);
    } else {
      this.applyAnswer(server.id, answer, now);
    }
    return this.check(server, isUrgent, now);
  }

  /**
   * Time between two requests of this VM at its share of a limit, in
   * milliseconds.
   */
  #interval(requestsPerSecond: number): number {
    return MILLISECONDS_PER_SECOND * (this.vmCount() ?? ASSUMED_VM_COUNT) /
      requestsPerSecond;
  }

  #removeExpired(now: number): void {
    for (const [server, state] of this.#states) {
      if (state.kind !== "none" && now < state.until) continue;
      this.#states.delete(server);
    }
  }
}
