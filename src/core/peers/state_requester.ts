/**
 * Requests state from other VMs while this VM has no configuration or cannot
 * reach the store. A process that has just started needs a configuration; one
 * that has a configuration needs the changes that it cannot read from the
 * store.
 *
 * @module
 */
import type {
  PeerSend,
  QuarantineUpdate,
  SenderState,
} from "./peer_message.ts";

/**
 * Time between two rounds of requests while this process has no configuration
 * and so cannot serve callers, in milliseconds.
 */
const STARTUP_INTERVAL = 400;
/** The same for a process that has a configuration and lacks only changes. */
const CATCH_UP_INTERVAL = 1_500;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StateRequester {
  #requestedAt = -Infinity;

  private constructor(private readonly seeds: readonly string[]) {}

  /**
   * Creates a requester that sends to the term holder and, while no
   * configuration is known, to the VMs at the addresses `seeds`.
   */
  static create(seeds: readonly string[]): StateRequester {
    return new StateRequester(seeds);
  }

  /**
   * Returns the requests that are due. `senderState` and `quarantineUpdate` are
   * included in them. `holder` is the address of the term holder, or null.
   * `isStarting` is true while no configuration is known, `isStoreLost` while
   * the store is unreachable.
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
