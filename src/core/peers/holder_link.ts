/**
 * How the term holder keeps the other VMs informed.
 *
 * @module
 */
import type { Assignment } from "../keyspace/index.ts";
import type { Knowledge, PeerMessage, PeerSend } from "./peer_message.ts";
import { shareAssignment } from "./shared_assignment.ts";

/** Silence after which a VM counts as gone, in milliseconds: several of its
 * reports are missing. */
const FOLLOWER_SILENCE = 3_000;

/** What the holder tells. */
export interface Bulletin {
  knowledge: Knowledge;
  assignments: readonly Assignment[];
}

/** See the module's comment. */
export class HolderLink {
  readonly #heardAt = new Map<string, number>();

  private constructor() {}

  /** A link without followers. */
  static create(): HolderLink {
    return new HolderLink();
  }

  /** Number of VMs, this one included. */
  vms(now: number): number {
    for (const [address, heardAt] of this.#heardAt) {
      if (now - heardAt > FOLLOWER_SILENCE) this.#heardAt.delete(address);
    }
    return this.#heardAt.size + 1;
  }

  /** A follower reported; it is told what it does not know. */
  reported(
    address: string,
    known: Knowledge,
    bulletin: Bulletin,
    now: number,
  ): PeerSend {
    this.#heardAt.set(address, now);
    const { knowledge } = bulletin;
    const isCurrent = known.term === knowledge.term &&
      known.version === knowledge.version;
    const message: PeerMessage = isCurrent
      ? { kind: "holder.alive", ...knowledge, vms: this.vms(now) }
      : this.#tell(bulletin, now);
    return { kind: "peer.send", address, message };
  }

  /** Tells all followers. */
  publish(bulletin: Bulletin, now: number): PeerSend[] {
    const message = this.#tell(bulletin, now);
    return [...this.#heardAt.keys()]
      .map((address) => ({ kind: "peer.send", address, message }));
  }

  #tell({ knowledge, assignments }: Bulletin, now: number): PeerMessage {
    return {
      kind: "assignments.told",
      ...knowledge,
      vms: this.vms(now),
      assignments: assignments.map(shareAssignment),
    };
  }
}
