/**
 * How the term holder keeps the other VMs informed.
 *
 * @module
 */
import type { Assignment, AssignmentChanges } from "../keyspace/index.ts";
import type { RegistryNews } from "../registry/index.ts";
import type { Knowledge, PeerMessage, PeerSend } from "./peer_message.ts";
import { shareAssignment } from "./shared_assignment.ts";

/** Silence after which a VM counts as gone, in milliseconds: several of its
 * reports are missing. */
const FOLLOWER_SILENCE = 3_000;

/** Messages with changes that a holder sends at most: with 10 followers it may
 * publish every 7 ms, with 73 every 49 ms, well within the 110 ms or more that
 * requests wait for keys on the move. */
const MESSAGES_PER_MILLISECOND = 1.5;

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
    registry: RegistryNews | null,
    now: number,
  ): PeerSend {
    this.#heardAt.set(address, now);
    const { knowledge } = bulletin;
    const isCurrent = known.term === knowledge.term &&
      known.version === knowledge.version;
    const message: PeerMessage = isCurrent
      ? { kind: "holder.alive", ...knowledge, vms: this.vms(now), registry }
      : this.#tell(bulletin, registry, now);
    return { kind: "peer.send", address, message };
  }

  /**
   * Pause between two publications, in milliseconds, so that the messages of a
   * holder with many followers stay within what its VM can send.
   */
  get pause(): number {
    return this.#heardAt.size / MESSAGES_PER_MILLISECOND;
  }

  /** Tells all followers everything. */
  publish(bulletin: Bulletin, now: number): PeerSend[] {
    return this.#sendToAll(this.#tell(bulletin, null, now));
  }

  /** Tells all followers what has changed. */
  publishChanges(
    knowledge: Knowledge,
    { since, assignments }: AssignmentChanges,
    now: number,
  ): PeerSend[] {
    return this.#sendToAll({
      kind: "assignments.changed",
      ...knowledge,
      vms: this.vms(now),
      since,
      changes: assignments.map(shareAssignment),
    });
  }

  /** Tells all followers what has changed in the registry. */
  publishRegistry(knowledge: Knowledge, registry: RegistryNews): PeerSend[] {
    return this.#sendToAll({ kind: "servers.told", ...knowledge, registry });
  }

  #sendToAll(message: PeerMessage): PeerSend[] {
    return [...this.#heardAt.keys()]
      .map((address) => ({ kind: "peer.send", address, message }));
  }

  #tell(
    { knowledge, assignments }: Bulletin,
    registry: RegistryNews | null,
    now: number,
  ): PeerMessage {
    return {
      kind: "assignments.told",
      ...knowledge,
      vms: this.vms(now),
      registry,
      assignments: assignments.map(shareAssignment),
    };
  }
}
