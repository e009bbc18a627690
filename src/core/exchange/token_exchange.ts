/**
 * Exchanges the messages by which VMs request tokens for servers with a limit
 * from the term holder.
 *
 * Tokens for cold servers are granted only by the VM that has the authority of
 * the term, of which there is at most one. For a limit that a server reports,
 * the last term holder grants tokens also while no VM has authority, such as
 * during an outage of the store.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { MessageOf } from "../peers/index.ts";
import {
  RateTokens,
  type ServerLimits,
  type TokenAnswer,
  TokenBuckets,
} from "../rates/index.ts";

/** Messages that request, grant or deny tokens. */
export type TokenMessage =
  | MessageOf<"token.asked">
  | MessageOf<"token.told">;

/**
 * Time after which a VM without authority may be asked for a token again, in
 * milliseconds.
 */
const NO_AUTHORITY_DENIAL = 250;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class TokenExchange {
  readonly tokens: RateTokens;
  readonly #buckets = TokenBuckets.create();
  /**
   * Whether the holder supports token requests. A holder of an older version
   * closes the connection when it receives one.
   */
  #hasTokenSupport = false;
  /** Term for which the buckets grant tokens. */
  #term: number | null = null;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly limits: ServerLimits,
    private readonly authorityTerm: (now: number) => number | null,
    private readonly emit: Emit,
    private readonly ownAddress: string,
    vmCount: () => number | null,
    draw: () => number,
  ) {
    this.tokens = RateTokens.create(
      limits,
      {
        requestToken: (server, isUrgent, now) =>
          this.#requestToken(server, isUrgent, now),
      },
      vmCount,
      draw,
    );
  }

  /**
   * Creates the exchange of the VM at `ownAddress` for servers with `limits`.
   * `authorityTerm` returns the term of which this VM has the authority or null,
   * `vmCount` the estimated number of VMs or null, and `draw` a random number in
   * [0, 1).
   */
  static create(
    clusterState: ClusterState,
    limits: ServerLimits,
    authorityTerm: (now: number) => number | null,
    emit: Emit,
    ownAddress: string,
    vmCount: () => number | null,
    draw: () => number,
  ): TokenExchange {
    return new TokenExchange(
      clusterState,
      limits,
      authorityTerm,
      emit,
      ownAddress,
      vmCount,
      draw,
    );
  }

  /** Performs what is due at the start of a term of this VM. */
  advance(now: number): void {
    this.#updateAuthority(now);
  }

  /** Handles that another VM is the term holder from now on, or this one. */
  holderChanged(): void {
    this.#hasTokenSupport = false;
  }

  /**
   * Handles the holder's answer to a report, which shows whether it supports
   * token requests.
   */
  holderAnswered(hasTokenSupport: boolean): void {
    this.#hasTokenSupport = hasTokenSupport;
  }

  /** Handles a message from the VM at `address`. */
  receive(address: string, message: TokenMessage, now: number): void {
    const { server: id } = message;
    const server = this.clusterState.fleet.get(id);
    if (message.kind === "token.told") {
      if (address !== this.clusterState.holder?.address) return;
      if (server !== undefined) this.tokens.applyAnswer(server, message, now);
      return;
    }
    const { requestsPerSecond, isUrgent } = message;
    const answer = this.#take(id, server, requestsPerSecond, isUrgent, now);
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "token.told",
        ...this.clusterState.senderState(),
        server: id,
        ...answer,
      },
    });
  }

  /**
   * Takes a token for a server that is limited to `requestsPerSecond` according
   * to the VM that asks for it. The lower limit applies if this VM knows another
   * one. `server` is undefined if this VM does not list it.
   */
  #take(
    id: string,
    server: TrackedServer | undefined,
    requestsPerSecond: number,
    isUrgent: boolean,
    now: number,
  ): TokenAnswer {
    const known = server === undefined ? null : this.limits.of(server, now);
    const isReported = known !== null && !known.isWarmUp;
    const hasAuthority = this.#updateAuthority(now);
    if (!hasAuthority && !isReported) {
      return { isGranted: false, left: NO_AUTHORITY_DENIAL };
    }
    const limit = Math.min(
      known?.requestsPerSecond ?? Infinity,
      requestsPerSecond,
    );
    return this.#buckets.take(id, limit, isUrgent, now, known?.since);
  }

  /**
   * Returns whether this VM has the authority of the term. Empties the buckets
   * at the start of each of its terms, since the tokens that the previous term
   * holder granted are unknown.
   */
  #updateAuthority(now: number): boolean {
    const term = this.authorityTerm(now);
    if (term === null) return false;
    if (term !== this.#term) this.#buckets.reset(now);
    this.#term = term;
    return true;
  }

  #requestToken(
    server: TrackedServer,
    isUrgent: boolean,
    now: number,
  ): TokenAnswer | "unreachable" | null {
    const address = this.clusterState.holder?.address;
    const limit = this.limits.of(server, now);
    if (address === undefined || limit === null) return "unreachable";
    const { id } = server;
    const { requestsPerSecond } = limit;
    if (address === this.ownAddress) {
      return this.#take(id, server, requestsPerSecond, isUrgent, now);
    }
    if (!this.#hasTokenSupport) return "unreachable";
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "token.asked",
        ...this.clusterState.senderState(),
        server: id,
        requestsPerSecond,
        isUrgent,
      },
    });
    return null;
  }
}
