/**
 * Side effects that the dispatcher requests, as data.
 *
 * @module
 */

import type { ServerProbe } from "../quarantine/index.ts";

/** Sends a request to a server; an `attempt.ended` event reports the outcome. */
export interface AttemptStart {
  kind: "attempt.start";
  attempt: number;
  exchange: number;
  server: string;
  address: string;
  /** Milliseconds until the deadline. */
  remaining: number;
}

/** Cancels an attempt, whose outcome is then ignored. */
export interface AttemptCancel {
  kind: "attempt.cancel";
  attempt: number;
}

/** Passes the response of an attempt to the caller. */
export interface Delivery {
  kind: "request.deliver";
  exchange: number;
  attempt: number;
}

/** Sends an error response of plumloft to a caller. */
export interface Refusal {
  kind: "request.refuse";
  exchange: number;
  status: number;
  /** Milliseconds after which the caller may retry, or null. */
  retryAfter: number | null;
  reason: string;
}

/** Writes a line to the log. */
export interface Note {
  kind: "note";
  level: "info" | "warn" | "error";
  decision: string;
  detail: Record<string, string | number | boolean | null>;
}

/** All effects of the dispatcher. */
export type DispatchEffect =
  | AttemptStart
  | AttemptCancel
  | Delivery
  | Refusal
  | ServerProbe
  | Note;
