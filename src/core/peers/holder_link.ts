/**
 * The term holder's messages to the VMs that follow it.
 *
 * @module
 */
import type { Configuration } from "../catalog/index.ts";
import type { ServerLoad, ServerRate } from "../fleet/index.ts";
import type { Assignment, KeyLimit } from "../keyspace/index.ts";
import type { RegistryNews } from "../registry/index.ts";
import type {
  HolderAddress,
  HolderWord,
  Knowledge,
  MessageOf,
  PeerMessage,
  PeerSend,
} from "./peer_message.ts";
import { shareAssignment } from "./shared_assignment.ts";

/** Silence after which a VM counts as gone, in milliseconds: several of its
 * reports are missing. */
const FOLLOWER_SILENCE = 3_000;

/** Messages with changes that a holder sends at most: with 10 followers it may
 * publish every 7 ms, with 73 every 49 ms, well within the 110 ms or more that
 * requests wait for keys on the move. */
const MESSAGES_PER_MILLISECOND = 1.5;

/** All that a holder tells of the assignments. */
export interface Bulletin {
  word: HolderWord;
  assignments: readonly Assignment[];
}

/** Servers that hold keys and cannot do all that is asked of them. */
export interface Crowding {
  limits: readonly KeyLimit[];
  loads: readonly ServerLoad[];
  /** Rate limits of servers of all services, including those that ended recently. */
  rates: readonly ServerRate[];
}

/** What has changed of the assignments after a version. */
export interface AssignmentChanges {
  since: number;
  assignments: readonly Assignment[];
}

/** See the module's comment. */
export class HolderLink {
  readonly #heardAt = new Map<string, number>();
  /** Followers that leave the store's news to this VM. */
  readonly #told = new Set<string>();
  /** The message with the configuration, which is encoded once for all. */
  #configuration: MessageOf<"configuration.told"> | null = null;

  private constructor() {}

  /** A link without followers. */
  static create(): HolderLink {
    return new HolderLink();
  }

  /** Number of VMs, this one included. */
  vms(now: number): number {
    for (const [address, heardAt] of this.#heardAt) {
      if (now - heardAt > FOLLOWER_SILENCE) this.#forget(address);
    }
    return this.#heardAt.size + 1;
  }

  /** A follower reported, which leaves the store's news to this VM or not. */
  heard(address: string, isTold: boolean, now: number): void {
    this.#heardAt.set(address, now);
    if (isTold) this.#told.add(address);
    else this.#told.delete(address);
  }

  #forget(address: string): void {
    this.#heardAt.delete(address);
    this.#told.delete(address);
  }

  /**
   * Pause between two publications, in milliseconds, so that the messages of a
   * holder with many followers stay within what its VM can send.
   */
  get pause(): number {
    return this.#heardAt.size / MESSAGES_PER_MILLISECOND;
  }

  /** Answers the report that a follower sent at `answersTo`, by its clock: the
   * holder lives, with news of the registry and of crowded servers. */
  confirm(
    address: string,
    word: HolderWord,
    registry: RegistryNews | null,
    { limits, loads, rates }: Crowding,
    answersTo: number,
  ): PeerSend {
    const message: PeerMessage = {
      kind: "holder.alive",
      ...word,
      registry,
      answersTo,
      ...(limits.length > 0 ? { limits: [...limits] } : {}),
      ...(loads.length > 0 ? { loads: [...loads] } : {}),
      rates: [...rates],
    };
    return { kind: "peer.send", address, message };
  }

  /** Tells a follower the configuration in force. */
  tellConfiguration(
    address: string,
    knowledge: Knowledge,
    told: Configuration,
  ): PeerSend {
    const message = this.#configuration?.told === told
      ? this.#configuration
      : { kind: "configuration.told" as const, ...knowledge, told };
    this.#configuration = message;
    return { kind: "peer.send", address, message };
  }

  /** Tells a follower everything. */
  tell(address: string, bulletin: Bulletin): PeerSend {
    return { kind: "peer.send", address, message: assignmentsTold(bulletin) };
  }

  /** Tells a follower what it has missed. */
  tellChanges(
    address: string,
    word: HolderWord,
    changes: AssignmentChanges,
  ): PeerSend {
    const message = assignmentsChanged(word, changes);
    return { kind: "peer.send", address, message };
  }

  /** Tells all followers everything. */
  publish(bulletin: Bulletin): PeerSend[] {
    return this.#sendToAll(assignmentsTold(bulletin));
  }

  /** Tells all followers what has changed. */
  publishChanges(word: HolderWord, changes: AssignmentChanges): PeerSend[] {
    return this.#sendToAll(assignmentsChanged(word, changes));
  }

  /** Tells all followers what has changed in the registry. */
  publishRegistry(knowledge: Knowledge, registry: RegistryNews): PeerSend[] {
    return this.#sendToAll({ kind: "servers.told", ...knowledge, registry });
  }

  /** Tells the followers that leave the store's news to this VM that another one
   * holds the term now; nobody follows this one any more. */
  tellSuccessor(knowledge: Knowledge, holder: HolderAddress): PeerSend[] {
    const message: PeerMessage = {
      kind: "holder.changed",
      ...knowledge,
      holder,
    };
    const followers = [...this.#told];
    this.#heardAt.clear();
    this.#told.clear();
    return followers.map((address) => ({
      kind: "peer.send",
      address,
      message,
    }));
  }

  #sendToAll(message: PeerMessage): PeerSend[] {
    return [...this.#heardAt.keys()]
      .map((address) => ({ kind: "peer.send", address, message }));
  }
}

function assignmentsTold({ word, assignments }: Bulletin): PeerMessage {
  return {
    kind: "assignments.told",
    ...word,
    assignments: assignments.map(shareAssignment),
  };
}

function assignmentsChanged(
  word: HolderWord,
  { since, assignments }: AssignmentChanges,
): PeerMessage {
  const changes = assignments.map(shareAssignment);
  return { kind: "assignments.changed", ...word, since, changes };
}
