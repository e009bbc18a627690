/**
 * Events: all input of the core. Each event carries the time of the monotonic clock
 * at which it was received, in milliseconds.
 *
 * @module
 */
import type { Configuration } from "./catalog/index.ts";
import type { AttemptOutcome, RequestArrival } from "./dispatch/index.ts";
import type {
  Assignment,
  Membership,
  OrderOutcome,
  TermRecords,
  WriteOutcome,
} from "./keyspace/index.ts";
import type { EvacuationRead } from "./fleet/index.ts";
import type { HolderAddress, PeerMessage } from "./peers/index.ts";
import type { CrashRecord } from "./quarantine/index.ts";
import type { RegistryRead } from "./registry/index.ts";

/** Step that failed membership calls to the store are reported under. */
export const MEMBERSHIP_STEP = "join a group";

/** An event without its time. */
export type UntimedEvent =
  /** The timer that the core requested has expired. */
  | { kind: "timer" }
  /** The clock has jumped by `gap` milliseconds. If `isCertain`, the machine was
   * suspended for that long; otherwise its time of day may only have been set. */
  | { kind: "clock.jumped"; gap: number; isCertain: boolean }
  | { kind: "configuration.read"; configuration: Configuration }
  /** Evacuation requests for availability zones were read from the store. */
  | { kind: "evacuations.read"; read: EvacuationRead }
  /** The store answered a read of the registry that was sent at `sentAt`. */
  | { kind: "servers.read"; read: RegistryRead; sentAt: number }
  /** A read of the registry failed; with `isExpired`, the store no longer retains the
   * records at the position that was read. */
  | { kind: "servers.failed"; isExpired: boolean }
  | { kind: "assignments.read"; assignments: Assignment[] }
  /** A VM has announced that it holds a term. */
  | { kind: "holder.announced"; holder: HolderAddress }
  /** The quarantine record was read from the store, or a write of it has ended. */
  | { kind: "quarantine.read"; records: CrashRecord[] }
  | { kind: "quarantine.written"; isDone: boolean }
  /** The store has returned the last term holder, if there was one. */
  | { kind: "holder.read" }
  | { kind: "peer.received"; address: string; message: PeerMessage }
  /** The store answered a call that was sent at `sentAt`. */
  | { kind: "store.answered"; sentAt: number }
  | { kind: "store.failed"; step: string; cause: string }
  | { kind: "group.joined"; membership: Membership }
  | { kind: "group.failed" }
  | { kind: "term.read"; records: TermRecords | null }
  | { kind: "term.claimed"; term: number; outcome: WriteOutcome }
  | { kind: "assignments.written"; term: number; outcome: WriteOutcome }
  | { kind: "order.ended"; order: number; outcome: OrderOutcome }
  | { kind: "request.arrived"; arrival: RequestArrival }
  /** A request was rejected because its deadline had passed when it was read. */
  | { kind: "request.late"; id: string; timeout: number; age: number }
  | { kind: "request.left"; exchange: number }
  /** After `callers.close`: all responses have been sent and no request can arrive. */
  | { kind: "callers.closed" }
  /** A probe of a server's address has ended; `isRefused` if nothing listens there. */
  | { kind: "server.checked"; server: string; isRefused: boolean }
  | { kind: "attempt.ended"; attempt: number; outcome: AttemptOutcome }
  /** The process was asked to stop, `lateness` milliseconds before it noticed. */
  | { kind: "shutdown"; lateness: number };

/** See the module's comment. */
export type EntryEvent = UntimedEvent & { now: number };
