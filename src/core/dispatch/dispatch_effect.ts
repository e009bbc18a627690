/**
 * What the dispatcher wants done, as data.
 *
 * @module
 */

import type { ServerCheck } from "../quarantine/index.ts";

/** Sends a request to a server; answered by `attempt.ended`. */
export interface AttemptStart {
  kind: "attempt.start";
  attempt: number;
  exchange: number;
  server: string;
  address: string;
  /** Milliseconds that are left for the answer. */
  remaining: number;
}

/** Gives an attempt up; its outcome no longer matters. */
export interface AttemptCancel {
  kind: "attempt.cancel";
  attempt: number;
}

/** Passes the answer of an attempt on to the caller. */
export interface Delivery {
  kind: "request.deliver";
  exchange: number;
  attempt: number;
}

/** Answers a caller in the name of plumloft. */
export interface Refusal {
  kind: "request.refuse";
  exchange: number;
  status: number;
  /** Milliseconds after which to come back, or null. */
  retryAfter: number | null;
  reason: string;
}

/** A line for the log. */
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
  | ServerCheck
  | Note;
