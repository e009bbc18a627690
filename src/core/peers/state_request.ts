/**
 * Requests state from other VMs while the store is unreachable: a process that has just
 * started has no configuration, and one without the store falls behind.
 *
 * @module
 */
import type {
  PeerSend,
  QuarantineUpdate,
  SenderState,
} from "./peer_message.ts";

/** Time between two rounds of requests, in milliseconds. A process cannot serve
 * requests until it has a configuration; one that only falls behind can wait longer. */
const STARTUP_INTERVAL = 400;
const CATCH_UP_INTERVAL = 1_500;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StateRequest {
  #requestedAt = -Infinity;

  private constructor(private readonly seeds: readonly string[]) {}

  /** Creates a request that is sent to the term holder and, on startup, to the VMs at
   * `seeds`. */
  static create(seeds: readonly string[]): StateRequest {
    return new StateRequest(seeds);
  }

  /**
   * Returns the requests that are due. `isStarting` is true while no configuration is
   * known, `isStoreLost` while the store is unreachable. `quarantineUpdate` is the
   * quarantine part of the requests.
   */
  advance(
    now: number,
    senderState: SenderState,
    quarantineUpdate: QuarantineUpdate,
    holder: string | null,
    isStarting: boolean,
    isStoreLost: boolean,
  ): PeerSend[] {
    if (!isStarting && !isStoreLost) return [];
    const interval = isStarting ? STARTUP_INTERVAL : CATCH_UP_INTERVAL;
    if (now - this.#requestedAt < interval) return [];
    this.#requestedAt = now;
    const addresses = new Set(isStarting ? this.seeds : []);
    if (holder !== null) addresses.add(holder);
    return [...addresses].map((address) => ({
      kind: "peer.send",
      address,
      message: {
        kind: "state.wanted",
        ...senderState,
        quarantine: quarantineUpdate,
        takesParts: true,
      },
    }));
  }
}
