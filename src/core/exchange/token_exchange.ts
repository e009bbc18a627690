/**
 * Messages by which VMs request tokens for rate-limited servers from the term holder.
 *
 * @module
 */
import type { Beliefs, Emit } from "../beliefs.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { MessageOf } from "../peers/index.ts";
import { RateTokens, type TokenAnswer, TokenBuckets } from "../rates/index.ts";

/** Messages of this exchange. */
export type TokenMessage =
  | MessageOf<"token.asked">
  | MessageOf<"token.told">;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class TokenExchange {
  readonly tokens: RateTokens;
  readonly #buckets = TokenBuckets.create();
  /** Whether the holder supports token requests. A holder of an older version closes the
   * connection when it receives one. */
  #isGranting = false;

  private constructor(
    private readonly beliefs: Beliefs,
    private readonly emit: Emit,
    private readonly ownAddress: string,
    vms: () => number | null,
    draw: () => number,
  ) {
    this.tokens = RateTokens.create(
      {
        ask: (server, isUrgent, now) => this.#ask(server, isUrgent, now),
      },
      vms,
      draw,
    );
  }

  /** The exchange of the VM at `ownAddress`. */
  static create(
    beliefs: Beliefs,
    emit: Emit,
    ownAddress: string,
    vms: () => number | null,
    draw: () => number,
  ): TokenExchange {
    return new TokenExchange(beliefs, emit, ownAddress, vms, draw);
  }

  /** The VM at an address is the term holder from now on. */
  follow(holder: string, now: number): void {
    this.#isGranting = false;
    if (holder === this.ownAddress) this.#buckets.begin(now);
  }

  /** The holder has answered a report; `isGranting` if it supports token requests. */
  holderAnswered(isGranting: boolean): void {
    this.#isGranting = isGranting;
  }

  /** Takes another VM's message. */
  receive(address: string, message: TokenMessage, now: number): void {
    const { server } = message;
    if (message.kind === "token.told") {
      if (address !== this.beliefs.holder?.address) return;
      return this.tokens.told(server, message, now);
    }
    const { requestsPerSecond, isUrgent } = message;
    const limit = this.#limit(server, now) ?? requestsPerSecond;
    const answer = this.#buckets.take(server, limit, isUrgent, now);
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "token.told",
        ...this.beliefs.knowledge(),
        server,
        ...answer,
      },
    });
  }

  #ask(
    { id: server }: TrackedServer,
    isUrgent: boolean,
    now: number,
  ): TokenAnswer | "unreachable" | null {
    const address = this.beliefs.holder?.address;
    const requestsPerSecond = this.#limit(server, now);
    if (address === undefined || requestsPerSecond === null) {
      return "unreachable";
    }
    if (address === this.ownAddress) {
      return this.#buckets.take(server, requestsPerSecond, isUrgent, now);
    }
    if (!this.#isGranting) return "unreachable";
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "token.asked",
        ...this.beliefs.knowledge(),
        server,
        requestsPerSecond,
        isUrgent,
      },
    });
    return null;
  }

  #limit(server: string, now: number): number | null {
    return this.beliefs.fleet.get(server)?.rate.current(now) ?? null;
  }
}
