/**
 * Side effects that the dispatcher returns as data, for its caller to carry
 * out.
 *
 * @module
 */

import type { ServerProbe } from "../quarantine/index.ts";

/**
 * Sends a request to a server; an `attempt.ended` event reports the outcome.
 */
export interface AttemptStart {
  kind: "attempt.start";
  /** Number of the attempt, unique in this process. */
  attempt: number;
  /**
   * Position among the attempts of the request at this server, from 1. Attempts
   * of one request have the same id, so two of them must not use the same
   * connection: a late second response to the former would pass for that to the
   * latter.
   */
  ordinal: number;
  /** Number of the request's exchange with its caller. */
  exchange: number;
  /** Id of the server. */
  server: string;
  address: string;
  /**
   * Peer address of the VM through which a connection is opened; null to
   * connect directly.
   */
  relay: string | null;
  /** Whether an open direct connection is preferred even if `relay` is set. */
  mayReuseDirect: boolean;
  /** Milliseconds until the deadline. */
  remaining: number;
}

/** Cancels an attempt, whose outcome is then ignored. */
export interface AttemptCancel {
  kind: "attempt.cancel";
  attempt: number;
}

/** Passes the response that an attempt received to the caller. */
export interface Delivery {
  kind: "request.deliver";
  exchange: number;
  attempt: number;
}

/** Sends an error response that plumloft generated to a caller. */
export interface ErrorResponse {
  kind: "request.refuse";
  exchange: number;
  /** HTTP status. */
  status: number;
  /** Milliseconds after which the caller may retry, or null. */
  retryAfter: number | null;
  /** Reason that the caller receives. */
  reason: string;
}

/** Writes a line to the log. */
export interface LogLine {
  kind: "note";
  level: "info" | "warn" | "error";
  /** Name of the log line. */
  decision: string;
  detail: Record<string, string | number | boolean | null>;
}

/** All effects of the dispatcher. */
export type DispatchEffect =
  | AttemptStart
  | AttemptCancel
  | Delivery
  | ErrorResponse
  | ServerProbe
  | LogLine;
