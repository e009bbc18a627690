/**
 * Collects and delivers messages between VMs in tests of the exchanges, which
 * send updates to other VMs and receive theirs.
 *
 * @module
 */
import type { Emit } from "../../src/core/cluster_state.ts";
import type { PeerMessage, PeerSend } from "../../src/core/peers/index.ts";

/** A VM whose exchange receives messages of type `M`. */
export interface Peer<M extends PeerMessage> {
  address: string;
  /** Messages sent by this VM and not yet delivered. */
  sent: PeerSend[];
  exchange: { receive(address: string, message: M, now: number): void };
}

/**
 * Returns an `Emit` that appends peer messages to `sent` and ignores other
 * effects.
 */
export function messageCollector(sent: PeerSend[]): Emit {
  return (...effects) => {
    for (const each of effects) {
      if (each.kind === "peer.send") sent.push(each);
    }
  };
}

/**
 * Delivers messages, including answers, until none are pending. Drops messages
 * to unknown addresses.
 */
export function deliver<M extends PeerMessage>(
  vms: readonly Peer<M>[],
  now: number,
): void {
  while (vms.some(({ sent }) => sent.length > 0)) {
    for (const from of vms) {
      for (const { address, message } of from.sent.splice(0)) {
        const to = vms.find((each) => each.address === address);
        to?.exchange.receive(from.address, message as M, now);
      }
    }
  }
}
