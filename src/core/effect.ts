/**
 * Everything that the core asks its adapters to do. Effects are data: the core
 * never learns how they are carried out, only, by later events, what came of
 * them.
 *
 * @module
 */
import type { SiteConfiguration } from "./configuration/index.ts";
import type { LogRecord } from "./ledger/index.ts";
import type { Message } from "./message.ts";

/** Append a record to the platform's log. */
export interface LogAppend {
  kind: "log.append";
  record: LogRecord;
}

/** Send a message to a peer. */
export interface PeerSend {
  kind: "peer.send";
  /** Name of the VM, for display; empty while it is not known. */
  to: string;
  address: string;
  message: Message;
}

/** Send a caller's request to a backend server. */
export interface Dispatch {
  kind: "request.dispatch";
  now: number;
  exchange: number;
  attempt: number;
  requestId: string;
  service: string;
  server: string;
  address: string;
  /** Slot and token of a keyed request. */
  slot: number | null;
  token: number | null;
  /** No byte may go out at or after this monotonic time. */
  sendBefore: number;
  /** Milliseconds from `now` within which the server must start. */
  startWithin: number;
  /** Milliseconds from `now` until the caller's deadline. */
  timeout: number;
  /** How often this request has been sent, this time included. */
  ordinal: number;
  reason: string;
}

/** What is known of a request that got no answer of its own. */
export type RequestOutcome = "not-run" | "unknown";

/** Give the caller a final answer that is not a backend server's. */
export interface Refusal {
  kind: "request.refuse";
  now: number;
  exchange: number;
  requestId: string;
  service: string;
  status: number;
  outcome: RequestOutcome;
  /** Milliseconds after which to come back, or null. */
  retryAfter: number | null;
  slot: number | null;
  server: string | null;
  reason: string;
}

/** Pass an attempt's answer on to the caller. */
export interface Delivery {
  kind: "request.deliver";
  exchange: number;
  attempt: number;
}

/** Give up an attempt: close its connection and drop what arrives. */
export interface AttemptAbort {
  kind: "attempt.abort";
  attempt: number;
  cause: string;
}

/** Read an answer to its end and drop it; its connection stays in use. */
export interface AttemptDiscard {
  kind: "attempt.discard";
  attempt: number;
}

/** Ask a backend server for its health. */
export interface Probe {
  kind: "server.probe";
  server: string;
  address: string;
  timeout: number;
}

/** A slot and the token under which it is granted. */
export interface GrantedSlot {
  slot: number;
  token: number;
}

/** Tell a backend server which slots it holds from here on. */
export interface GrantPush {
  kind: "server.grant";
  service: string;
  server: string;
  address: string;
  slots: GrantedSlot[];
}

/** A configuration is in force at this process. */
export interface ConfigurationApplied {
  kind: "configuration.apply";
  configuration: SiteConfiguration;
}

/** A decision or a notable change, for the log. */
export interface Note {
  kind: "note";
  level: "info" | "warn" | "error";
  decision: string;
  detail: Record<string, string | number | boolean | null>;
}

/** Nothing is in flight any more: the process may end. */
export interface Stop {
  kind: "process.stop";
}

/** The process cannot go on; an operator has to mend its settings. */
export interface Failure {
  kind: "process.fail";
  reason: string;
}

/** Every effect. */
export type Effect =
  | LogAppend
  | PeerSend
  | Dispatch
  | Refusal
  | Delivery
  | AttemptAbort
  | AttemptDiscard
  | Probe
  | GrantPush
  | ConfigurationApplied
  | Note
  | Stop
  | Failure;
