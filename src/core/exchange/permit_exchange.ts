/**
 * Exchanges the messages by which VMs request permits from the term holder. A
 * request that has crashed a server needs a permit to run.
 *
 * A VM that knows no term holder, or whose term holder does not answer, gets no
 * permit. It refuses such requests immediately instead of risking another
 * server crash.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";
import type { MessageOf } from "../peers/index.ts";
import {
  MAXIMUM_PERMIT_DURATION,
  type PermitAnswer,
  PermitIssuer,
  RunPermits,
} from "../quarantine/index.ts";

/** Messages that request, grant or deny, and release permits. */
export type PermitMessage =
  | MessageOf<"permit.asked">
  | MessageOf<"permit.told">
  | MessageOf<"permit.returned">;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PermitExchange {
  readonly permits: RunPermits;
  readonly #issuer = PermitIssuer.create();

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly emit: Emit,
    private readonly ownAddress: string,
  ) {
    this.permits = RunPermits.create({
      requestPermit: (request, duration, now) =>
        this.#requestPermit(request, duration, now),
      release: (request, hasCrashed) => this.#release(request, hasCrashed),
    });
  }

  /** Creates the exchange of the VM at `ownAddress`. */
  static create(
    clusterState: ClusterState,
    emit: Emit,
    ownAddress: string,
  ): PermitExchange {
    return new PermitExchange(clusterState, emit, ownAddress);
  }

  /**
   * Uses the VM at address `holder` as the term holder from now on. If it is
   * this VM, it issues permits.
   */
  follow(holder: string, now: number): void {
    if (holder === this.ownAddress) this.#issuer.activate(now);
    else this.#issuer.deactivate();
  }

  /** Handles a message from the VM at `address`. */
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
            ...this.clusterState.senderState(),
            request,
            ...answer,
          },
        });
      }
      case "permit.told":
        if (address !== this.clusterState.holder?.address) return;
        return this.permits.applyAnswer(request, message, now);
      case "permit.returned":
        return this.#issuer.release(request, address, message.hasEnded);
    }
  }

  #requestPermit(
    request: string,
    duration: number,
    now: number,
  ): PermitAnswer | null {
    const address = this.clusterState.holder?.address;
    if (address === undefined) {
      return { isGranted: false, left: MAXIMUM_PERMIT_DURATION };
    }
    if (address === this.ownAddress) {
      return this.#issuer.issue(request, address, duration, now);
    }
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "permit.asked",
        ...this.clusterState.senderState(),
        request,
        duration,
      },
    });
    return null;
  }

  #release(request: string, hasCrashed: boolean): void {
    const address = this.clusterState.holder?.address;
    if (address === undefined) return;
    if (address === this.ownAddress) {
      return this.#issuer.release(request, address, hasCrashed);
    }
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "permit.returned",
        ...this.clusterState.senderState(),
        request,
        hasEnded: hasCrashed,
      },
    });
  }
}
