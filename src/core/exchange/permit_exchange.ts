/**
 * How VMs and the term holder speak of permits for requests under which servers have
 * ended.
 *
 * A VM that knows no holder, or whose holder does not answer, gets none: its callers
 * are refused at once rather than let another server end.
 *
 * @module
 */
import type { Beliefs, Emit } from "../beliefs.ts";
import type { MessageOf } from "../peers/index.ts";
import {
  LONGEST_PERMIT,
  type PermitAnswer,
  PermitIssuer,
  RunPermits,
} from "../quarantine/index.ts";

/** Messages of this exchange. */
export type PermitMessage =
  | MessageOf<"permit.asked">
  | MessageOf<"permit.told">
  | MessageOf<"permit.returned">;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PermitExchange {
  readonly permits: RunPermits;
  readonly #issuer = PermitIssuer.create();

  private constructor(
    private readonly beliefs: Beliefs,
    private readonly emit: Emit,
    private readonly ownAddress: string,
  ) {
    this.permits = RunPermits.create({
      ask: (request, duration, now) => this.#ask(request, duration, now),
      giveBack: (request, hasEnded) => this.#giveBack(request, hasEnded),
    });
  }

  /** The exchange of the VM at `ownAddress`. */
  static create(
    beliefs: Beliefs,
    emit: Emit,
    ownAddress: string,
  ): PermitExchange {
    return new PermitExchange(beliefs, emit, ownAddress);
  }

  /** The VM at an address is the term holder from now on. */
  follow(holder: string, now: number): void {
    if (holder === this.ownAddress) this.#issuer.begin(now);
    else this.#issuer.end();
  }

  /** Takes another VM's message. */
  receive(address: string, message: PermitMessage, now: number): void {
    const { request } = message;
    switch (message.kind) {
      case "permit.asked": {
        const { duration } = message;
        const answer = this.#issuer.issue(request, address, duration, now);
        return this.emit({
          kind: "peer.send",
          address,
          message: {
            kind: "permit.told",
            ...this.beliefs.knowledge(),
            request,
            ...answer,
          },
        });
      }
      case "permit.told":
        if (address !== this.beliefs.holder?.address) return;
        return this.permits.told(request, message, now);
      case "permit.returned":
        return this.#issuer.returned(request, address, message.hasEnded);
    }
  }

  #ask(request: string, duration: number, now: number): PermitAnswer | null {
    const address = this.beliefs.holder?.address;
    if (address === undefined) {
      return { isGranted: false, left: LONGEST_PERMIT };
    }
    if (address === this.ownAddress) {
      return this.#issuer.issue(request, address, duration, now);
    }
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "permit.asked",
        ...this.beliefs.knowledge(),
        request,
        duration,
      },
    });
    return null;
  }

  #giveBack(request: string, hasEnded: boolean): void {
    const address = this.beliefs.holder?.address;
    if (address === undefined) return;
    if (address === this.ownAddress) {
      return this.#issuer.returned(request, address, hasEnded);
    }
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "permit.returned",
        ...this.beliefs.knowledge(),
        request,
        hasEnded,
      },
    });
  }
}
