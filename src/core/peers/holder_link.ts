/**
 * The term holder's side of the communication with its followers: tracks the
 * followers and creates the messages to them.
 *
 * @module
 */
import type { Configuration } from "../catalog/index.ts";
import type {
  LeavingServer,
  ServerLoad,
  ServerRateLimit,
} from "../fleet/index.ts";
import type { Assignment, KeyLimit } from "../keyspace/index.ts";
import type { RegistryUpdate } from "../registry/index.ts";
import type {
  HolderAddress,
  HolderState,
  MessageOf,
  PeerMessage,
  PeerSend,
  SenderState,
  ServerState,
  ServiceAdmission,
} from "./peer_message.ts";
import { compactAssignment } from "./compact_assignment.ts";

/**
 * Time without a report after which a follower counts as stopped, in
 * milliseconds. Several reports are missing by then.
 */
const FOLLOWER_TIMEOUT = 3_000;

/**
 * Maximum number of messages with changes per millisecond, over all followers.
 * With 10 followers the holder can publish every 7 ms, with 73 every 49 ms.
 * Both are short compared with the 110 ms or more that requests for moving keys
 * wait.
 */
const MAXIMUM_MESSAGE_RATE = 1.5;

/**
 * All assignments of the holder's term, with the state that goes into the
 * message.
 */
export interface AssignmentSnapshot {
  holderState: HolderState;
  assignments: readonly Assignment[];
}

/**
 * Limits and load of servers that receive more requests than they can handle.
 */
export interface OverloadState {
  limits: readonly KeyLimit[];
  loads: readonly ServerLoad[];
  /**
   * Rate limits that servers of all services reported recently, including
   * reports that a limit ended.
   */
  rates: readonly ServerRateLimit[];
  /** Admission of services that cannot run all requests. */
  admissions: readonly ServiceAdmission[];
}

/** Changes of the assignments after version `since`. */
export interface AssignmentChanges {
  since: number;
  /** All services, each with only its changed ranges, which may be none. */
  assignments: readonly Assignment[];
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class HolderLink {
  /** When each follower last reported, by address. */
  readonly #reportedAt = new Map<string, number>();
  /** Followers that receive store updates from this VM instead of the store. */
  readonly #updateReceivers = new Set<string>();
  /**
   * The last message with the configuration. The same object is sent to all
   * followers, so that it is encoded only once.
   */
  #configurationMessage: MessageOf<"configuration.told"> | null = null;

  private constructor() {}

  /** Creates a link without followers. */
  static create(): HolderLink {
    return new HolderLink();
  }

  /** Number of running VMs, including this one. */
  vmCount(now: number): number {
    for (const [address, reportedAt] of this.#reportedAt) {
      if (now - reportedAt > FOLLOWER_TIMEOUT) this.#removeFollower(address);
    }
    return this.#reportedAt.size + 1;
  }

  /**
   * Records a follower's report. `hasHolderUpdates` is true if the follower
   * receives store updates from this VM.
   */
  reportReceived(
    address: string,
    hasHolderUpdates: boolean,
    now: number,
  ): void {
    this.#reportedAt.set(address, now);
    if (hasHolderUpdates) this.#updateReceivers.add(address);
    else this.#updateReceivers.delete(address);
  }

  #removeFollower(address: string): void {
    this.#reportedAt.delete(address);
    this.#updateReceivers.delete(address);
  }

  /**
   * Minimum time between two publications, in milliseconds. It increases with
   * the number of followers, because a VM can send only a limited number of
   * messages.
   */
  get publishInterval(): number {
    return this.#reportedAt.size / MAXIMUM_MESSAGE_RATE;
  }

  /**
   * Returns the answer to the report that a follower sent at `answersTo` by its
   * own clock. It contains registry changes, the state of overloaded servers,
   * the servers that are leaving, the VMs through which the follower may
   * connect to servers, or null while these are not known, its share of the
   * minimum of the retry budget, and the state of some `servers`.
   */
  answerReport(
    address: string,
    holderState: HolderState,
    registry: RegistryUpdate | null,
    { limits, loads, rates, admissions }: OverloadState,
    servers: readonly ServerState[],
    leaving: readonly LeavingServer[],
    relays: readonly string[] | null,
    retryShare: number,
    answersTo: number,
  ): PeerSend {
    const message: PeerMessage = {
      kind: "holder.alive",
      ...holderState,
      registry,
      answersTo,
      ...(limits.length > 0 ? { limits: [...limits] } : {}),
      ...(loads.length > 0 ? { loads: [...loads] } : {}),
      rates: [...rates],
      ...(leaving.length > 0 ? { leaving: [...leaving] } : {}),
      ...(relays === null ? {} : { relays: [...relays] }),
      ...(retryShare > 0 ? { retryShare } : {}),
      ...(admissions.length > 0 ? { admissions: [...admissions] } : {}),
      ...(servers.length > 0 ? { servers: [...servers] } : {}),
    };
    return { kind: "peer.send", address, message };
  }

  /**
   * Returns messages with the state of overloaded servers and the servers that
   * are leaving to all followers. Unlike an answer, they confirm no report.
   */
  publishOverload(
    holderState: HolderState,
    { limits, loads, rates, admissions }: OverloadState,
    leaving: readonly LeavingServer[],
  ): PeerSend[] {
    return this.#sendToAll({
      kind: "holder.alive",
      ...holderState,
      registry: null,
      ...(limits.length > 0 ? { limits: [...limits] } : {}),
      ...(loads.length > 0 ? { loads: [...loads] } : {}),
      rates: [...rates],
      ...(leaving.length > 0 ? { leaving: [...leaving] } : {}),
      ...(admissions.length > 0 ? { admissions: [...admissions] } : {}),
    });
  }

  /** Returns a message with the active configuration to a follower. */
  sendConfiguration(
    address: string,
    senderState: SenderState,
    configuration: Configuration,
  ): PeerSend {
    const message = this.#configurationMessage?.told === configuration
      ? this.#configurationMessage
      : {
        kind: "configuration.told" as const,
        ...senderState,
        told: configuration,
      };
    this.#configurationMessage = message;
    return { kind: "peer.send", address, message };
  }

  /** Returns a message with all assignments to a follower. */
  sendAssignments(address: string, snapshot: AssignmentSnapshot): PeerSend {
    return {
      kind: "peer.send",
      address,
      message: createSnapshotMessage(snapshot),
    };
  }

  /** Returns a message with the changes that a follower missed. */
  sendChanges(
    address: string,
    holderState: HolderState,
    changes: AssignmentChanges,
  ): PeerSend {
    const message = createChangeMessage(holderState, changes);
    return { kind: "peer.send", address, message };
  }

  /** Returns messages with all assignments to all followers. */
  publishAssignments(snapshot: AssignmentSnapshot): PeerSend[] {
    return this.#sendToAll(createSnapshotMessage(snapshot));
  }

  /** Returns messages with changes of the assignments to all followers. */
  publishChanges(
    holderState: HolderState,
    changes: AssignmentChanges,
  ): PeerSend[] {
    return this.#sendToAll(createChangeMessage(holderState, changes));
  }

  /** Returns messages with changes of the registry to all followers. */
  publishRegistry(
    senderState: SenderState,
    registry: RegistryUpdate,
  ): PeerSend[] {
    return this.#sendToAll({ kind: "servers.told", ...senderState, registry });
  }

  /**
   * Returns messages with the address of the new term holder to the followers
   * that receive store updates from this VM, and removes all followers, since
   * they now follow the new holder.
   */
  announceSuccessor(
    senderState: SenderState,
    holder: HolderAddress,
  ): PeerSend[] {
    const message: PeerMessage = {
      kind: "holder.changed",
      ...senderState,
      holder,
    };
    const followers = [...this.#updateReceivers];
    this.#reportedAt.clear();
    this.#updateReceivers.clear();
    return followers.map((address) => ({
      kind: "peer.send",
      address,
      message,
    }));
  }

  #sendToAll(message: PeerMessage): PeerSend[] {
    return [...this.#reportedAt.keys()]
      .map((address) => ({ kind: "peer.send", address, message }));
  }
}

function createSnapshotMessage(
  { holderState, assignments }: AssignmentSnapshot,
): PeerMessage {
  return {
    kind: "assignments.told",
    ...holderState,
    assignments: assignments.map(compactAssignment),
  };
}

function createChangeMessage(
  holderState: HolderState,
  { since, assignments }: AssignmentChanges,
): PeerMessage {
  const changes = assignments.map(compactAssignment);
  return { kind: "assignments.changed", ...holderState, since, changes };
}
