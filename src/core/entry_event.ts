/**
 * Events: all input of the core. Each event carries the time of the monotonic
 * clock at which it was received, in milliseconds.
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
import type {
  CrashRecord,
  ProbeResult,
  ServerProbe,
} from "./quarantine/index.ts";
import type { RelayRequest } from "./reach/index.ts";
import type { RegistryRead } from "./registry/index.ts";

/** Name under which failed membership calls to the store are reported. */
export const MEMBERSHIP_STEP = "join a group";

/** An event without its time. */
export type UntimedEvent =
  /** The timer that the core requested has expired. */
  | { kind: "timer" }
  /**
   * The clock has jumped by `gap` milliseconds. If `isCertain`, the machine was
   * suspended for that long; otherwise its time of day may only have been set.
   */
  | { kind: "clock.jumped"; gap: number; isCertain: boolean }
  /** The configuration was read from the store. */
  | { kind: "configuration.read"; configuration: Configuration }
  /** The store was read, and contains no configuration. */
  | { kind: "configuration.absent" }
  /** Evacuations of availability zones were read from the store. */
  | { kind: "evacuations.read"; read: EvacuationRead }
  /** The store answered a read of the registry that was sent at `sentAt`. */
  | { kind: "servers.read"; read: RegistryRead; sentAt: number }
  /**
   * A read of the registry failed; with `isExpired`, the store no longer
   * retains the records at the position that was read.
   */
  | { kind: "servers.failed"; isExpired: boolean }
  /** Key assignments were read from the store. */
  | { kind: "assignments.read"; assignments: Assignment[] }
  /** A term holder's announcement of itself was received. */
  | { kind: "holder.announced"; holder: HolderAddress }
  /** The crash records of quarantined requests were read from the store. */
  | { kind: "quarantine.read"; records: CrashRecord[] }
  /** A write of these crash records has ended; `isDone` if it succeeded. */
  | { kind: "quarantine.written"; isDone: boolean }
  /**
   * The store was read for the last term holder, whether or not there was one.
   */
  | { kind: "holder.read" }
  /** A message from the VM at `address` was received. */
  | { kind: "peer.received"; address: string; message: PeerMessage }
  /** The store answered a call that was sent at `sentAt`. */
  | { kind: "store.answered"; sentAt: number }
  /** Answers of the store state a newer era than before. */
  | { kind: "store.era"; era: number }
  /**
   * An answer of the store was ignored or not used since the era that it states
   * is not acceptable.
   */
  | { kind: "store.era_ignored"; reason: string; value: string | null }
  /**
   * A call to the store failed; `step` names the operation that it was part of.
   */
  | { kind: "store.failed"; step: string; cause: string }
  /**
   * A membership call, which joins an election group in the store, was
   * answered.
   */
  | { kind: "group.joined"; membership: Membership }
  /** A membership call failed. */
  | { kind: "group.failed" }
  /**
   * An elected VM has read the records of the last term from the store; null if
   * the read failed or the last term is unknown.
   */
  | { kind: "term.read"; records: TermRecords | null }
  /** The write that claims a term has ended. */
  | { kind: "term.claimed"; term: number; outcome: WriteOutcome }
  /** A write of the assignments in a term has ended. */
  | { kind: "assignments.written"; term: number; outcome: WriteOutcome }
  /** An order to a server has ended. */
  | { kind: "order.ended"; order: number; outcome: OrderOutcome }
  | { kind: "request.arrived"; arrival: RequestArrival }
  /**
   * A request was rejected because its deadline had passed when it was read.
   */
  | { kind: "request.late"; id: string; timeout: number; age: number }
  /** A caller disconnected before it received the response. */
  | { kind: "request.left"; exchange: number }
  /**
   * After `callers.close`: all responses have been sent and no request can
   * arrive.
   */
  | { kind: "callers.closed" }
  /** A probe of a server's address has ended. */
  | {
    kind: "server.checked";
    server: string;
    /** Peer address of the VM through which it was made, or null. */
    relay: string | null;
    purpose: ServerProbe["purpose"];
    result: ProbeResult;
  }
  /** Another VM has requested a connection to a server. */
  | { kind: "relay.requested"; request: RelayRequest }
  /** A connection for another VM has ended or could not be opened. */
  | { kind: "relay.ended"; connection: number }
  /** An attempt to have a server run a request has ended. */
  | { kind: "attempt.ended"; attempt: number; outcome: AttemptOutcome }
  /**
   * A shutdown was requested `lateness` milliseconds before the process handled
   * the request.
   */
  | { kind: "shutdown"; lateness: number };

/** See the module's comment. */
export type EntryEvent = UntimedEvent & { now: number };
