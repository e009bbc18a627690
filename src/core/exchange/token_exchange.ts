/**
 * Exchanges the messages by which VMs request tokens for rate-limited servers
 * from the term holder.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { MessageOf } from "../peers/index.ts";
import { RateTokens, type TokenAnswer, TokenBuckets } from "../rates/index.ts";

/** Messages that request, grant or deny tokens. */
export type TokenMessage =
  | MessageOf<"token.asked">
  | MessageOf<"token.told">;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class TokenExchange {
  readonly tokens: RateTokens;
  readonly #buckets = TokenBuckets.create();
  /**
   * Whether the holder supports token requests. A holder of an older version
   * closes the connection when it receives one.
   */
  #hasTokenSupport = false;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly emit: Emit,
    private readonly ownAddress: string,
    vmCount: () => number | null,
    draw: () => number,
  ) {
    this.tokens = RateTokens.create(
      {
        requestToken: (server, isUrgent, now) =>
          this.#requestToken(server, isUrgent, now),
      },
      vmCount,
      draw,
    );
  }

  /**
   * Creates the exchange of the VM at `ownAddress`. `vmCount` returns the
   * estimated number of VMs or null, and `draw` a random number in [0, 1).
   */
  static create(
    clusterState: ClusterState,
    emit: Emit,
    ownAddress: string,
    vmCount: () => number | null,
    draw: () => number,
  ): TokenExchange {
    return new TokenExchange(clusterState, emit, ownAddress, vmCount, draw);
  }

  /**
   * Uses the VM at address `holder` as the term holder from now on. If it is
   * this VM, it grants tokens.
   */
  follow(holder: string, now: number): void {
    this.#hasTokenSupport = false;
    if (holder === this.ownAddress) this.#buckets.reset(now);
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
    const { server } = message;
    if (message.kind === "token.told") {
      if (address !== this.clusterState.holder?.address) return;
      return this.tokens.applyAnswer(server, message, now);
    }
    const { requestsPerSecond, isUrgent } = message;
    const limit = this.#limit(server, now) ?? requestsPerSecond;
    const answer = this.#buckets.take(server, limit, isUrgent, now);
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "token.told",
        ...this.clusterState.senderState(),
        server,
        ...answer,
      },
    });
  }

  #requestToken(
    { id: server }: TrackedServer,
    isUrgent: boolean,
    now: number,
  ): TokenAnswer | "unreachable" | null {
    const address = this.clusterState.holder?.address;
    const requestsPerSecond = this.#limit(server, now);
    if (address === undefined || requestsPerSecond === null) {
      return "unreachable";
    }
    if (address === this.ownAddress) {
      return this.#buckets.take(server, requestsPerSecond, isUrgent, now);
    }
    if (!this.#hasTokenSupport) return "unreachable";
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "token.asked",
        ...this.clusterState.senderState(),
        server,
        requestsPerSecond,
        isUrgent,
      },
    });
    return null;
  }

  /** The server's rate limit in requests per second, or null if it has none. */
  #limit(server: string, now: number): number | null {
    return this.clusterState.fleet.get(server)?.rateLimit.current(now) ?? null;
  }
}
