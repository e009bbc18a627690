/**
 * Everything that can happen to an entry process. Each event carries the
 * monotonic time `now`, in milliseconds, at which the adapter saw it; the core
 * reads no clock of its own.
 *
 * @module
 */
import type { LogEntry, LogRecord } from "./ledger/index.ts";
import type { Message } from "./message.ts";
import type { GrantedSlot } from "./effect.ts";

/** Regular passage of time. */
export interface ClockTick {
  kind: "clock.ticked";
  now: number;
}

/** The log returned records. */
export interface LogRead {
  kind: "log.read";
  now: number;
  entries: LogEntry[];
  /** Oldest offset that the log still keeps. */
  first: number;
  /** Offset after the last entry. */
  next: number;
}

/** The log could not be read. */
export interface LogReadFailure {
  kind: "log.read_failed";
  now: number;
  detail: string;
}

/** An append was answered, or no answer came: the record may stand or not. */
export interface LogAppendResult {
  kind: "log.append_ended";
  now: number;
  record: LogRecord;
  /** Offset, or null when the outcome is unknown. */
  offset: number | null;
}

/** A VM or backend server as the platform's list shows it. */
export interface ListedVm {
  id: string;
  state: "live" | "leaving";
}

/** The platform's list was read; it lags. */
export interface VmListRead {
  kind: "vms.listed";
  now: number;
  vms: ListedVm[];
}

/** A peer sent a message. */
export interface PeerMessage {
  kind: "peer.received";
  now: number;
  /** VM that sent it. */
  from: string;
  /** Address at which it accepts its peers. */
  address: string;
  message: Message;
}

/** A caller's request is complete enough to be routed. */
export interface RequestArrival {
  kind: "request.arrived";
  now: number;
  /** Number of the exchange with the caller, unique in this process. */
  exchange: number;
  /** Id that the caller chose, or one made for it. */
  requestId: string;
  /** Whether the caller chose the id and may repeat it. */
  callerChoseId: boolean;
  service: string;
  /** Hash of the key, or null for a service without keys. */
  keyHash: number | null;
  /** Whether running it twice does no harm. */
  idempotent: boolean;
  /** Whether the body can be sent a second time. */
  replayable: boolean;
  /** Time that the caller allows, or null for the service's default. */
  timeout: number | null;
}

/** The caller has gone away. */
export interface RequestCancellation {
  kind: "request.cancelled";
  now: number;
  exchange: number;
}

/** What a backend server said of a request in its answer's head. */
export type ServerVerdict =
  /** It ran; this is the answer. */
  | "ran"
  /** The server shed it and states that it did not run. */
  | "shed"
  /** The server refused its token or slot; it did not run. */
  | "fenced"
  /** The answer belongs to another exchange or token. */
  | "mismatched";

/** The head of an answer arrived. */
export interface AttemptAnswer {
  kind: "attempt.answered";
  now: number;
  attempt: number;
  verdict: ServerVerdict;
  status: number;
}

/** An answer was passed on whole. */
export interface AttemptCompletion {
  kind: "attempt.completed";
  now: number;
  attempt: number;
}

/** An attempt ended without a whole answer. */
export interface AttemptFailure {
  kind: "attempt.failed";
  now: number;
  attempt: number;
  /** Whether a byte of the request may have reached the server. */
  sent: boolean;
  cause: string;
}

/** A probe of a backend server ended. */
export interface ProbeResult {
  kind: "probe.ended";
  now: number;
  server: string;
  /** When the probe was sent. */
  sentAt: number;
  healthy: boolean;
  cause: string;
}

/** A backend server answered a push of grants. */
export interface GrantResult {
  kind: "grant.ended";
  now: number;
  service: string;
  server: string;
  slots: GrantedSlot[];
  accepted: boolean;
  cause: string;
}

/** The process was asked to stop. */
export interface ShutdownRequest {
  kind: "shutdown.requested";
  now: number;
}

/** Every event. */
export type Event =
  | ClockTick
  | LogRead
  | LogReadFailure
  | LogAppendResult
  | VmListRead
  | PeerMessage
  | RequestArrival
  | RequestCancellation
  | AttemptAnswer
  | AttemptCompletion
  | AttemptFailure
  | ProbeResult
  | GrantResult
  | ShutdownRequest;
