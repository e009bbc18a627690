/**
 * Everything that the core is told. Each event carries the time of the
 * monotonic clock at which it was taken in, in milliseconds.
 *
 * @module
 */
import type { Configuration } from "./catalog/index.ts";
import type { AttemptOutcome, RequestArrival } from "./dispatch/index.ts";
import type {
  Assignment,
  Membership,
  OrderOutcome,
  Records,
  WriteOutcome,
} from "./keyspace/index.ts";
import type { EvacuationRead } from "./fleet/index.ts";
import type { HolderAddress, PeerMessage } from "./peers/index.ts";
import type { CrashRecord } from "./quarantine/index.ts";
import type { RegistryRead } from "./registry/index.ts";

/** The step towards the store of a membership call. */
export const MEMBERSHIP_STEP = "join a group";

/** What happened, without its time. */
export type Occurrence =
  /** A timer that the core asked for went off. */
  | { kind: "timer" }
  /** So many milliseconds have gone by while this machine was suspended; unless that
   * is certain, its time of day may only have been set. */
  | { kind: "clock.jumped"; gap: number; isCertain: boolean }
  | { kind: "configuration.read"; configuration: Configuration }
  /** Operators' requests to evacuate availability zones were read. */
  | { kind: "evacuations.read"; read: EvacuationRead }
  /** A read of the registry that was sent at `sentAt` was answered. */
  | { kind: "servers.read"; read: RegistryRead; sentAt: number }
  /** It failed; with `isExpired` its records are no longer kept. */
  | { kind: "servers.failed"; isExpired: boolean }
  | { kind: "assignments.read"; assignments: Assignment[] }
  /** A VM announced that it holds a term. */
  | { kind: "holder.announced"; holder: HolderAddress }
  /** What is held back was read from the store, or written to it. */
  | { kind: "quarantine.read"; records: CrashRecord[] }
  | { kind: "quarantine.written"; isDone: boolean }
  /** The store has told who held the term last, if anybody did. */
  | { kind: "holder.read" }
  | { kind: "peer.received"; address: string; message: PeerMessage }
  /** A call to the store that was sent at `sentAt` was answered. */
  | { kind: "store.answered"; sentAt: number }
  | { kind: "store.failed"; step: string; cause: string }
  | { kind: "group.joined"; membership: Membership }
  | { kind: "group.failed" }
  | { kind: "term.read"; records: Records | null }
  | { kind: "term.claimed"; term: number; outcome: WriteOutcome }
  | { kind: "assignments.written"; term: number; outcome: WriteOutcome }
  | { kind: "order.ended"; order: number; outcome: OrderOutcome }
  | { kind: "request.arrived"; arrival: RequestArrival }
  /** A request was refused whose caller's time was over when it was read. */
  | { kind: "request.late"; id: string; timeout: number; age: number }
  | { kind: "request.left"; exchange: number }
  /** After the close: all that was due to callers was sent. */
  | { kind: "callers.closed" }
  /** A server's address was looked at: whether nothing listens there. */
  | { kind: "server.checked"; server: string; isRefused: boolean }
  | { kind: "attempt.ended"; attempt: number; outcome: AttemptOutcome }
  /** The process was asked to stop, this many milliseconds before it noticed. */
  | { kind: "shutdown"; lateness: number };

/** See the module's comment. */
export type EntryEvent = Occurrence & { now: number };
