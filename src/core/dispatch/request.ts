/**
 * Requests of callers on their way.
 *
 * @module
 */
import type { Route } from "../catalog/index.ts";
import type { Note } from "./dispatch_effect.ts";
import type { ReportedLoad } from "../fleet/index.ts";

/** A request as its caller sent it; the body stays with the adapter. */
export interface RequestArrival {
  /** Number of the exchange with the caller, unique in this process. */
  exchange: number;
  /** The caller's id of the request. */
  id: string;
  host: string;
  /** Path and query. */
  target: string;
  /** Milliseconds for which the caller waits, or null when it does not say. */
  timeout: number | null;
  /** Key, or null when the request names none. */
  key: number | null;
}

/** One sending of a request to a server. */
export interface Attempt {
  number: number;
  server: string;
  startedAt: number;
  /** When another server is tried beside this one; Infinity for never. */
  hedgeAt: number;
}

/** A request that has no final answer yet. */
export interface PendingRequest {
  arrival: RequestArrival;
  route: Route;
  service: string;
  /** Key in a service that is divided by key, or null. */
  key: number | null;
  arrivedAt: number;
  /** When its caller must have an answer. */
  deadline: number;
  /** Until when it may wait for a server. */
  waitEnd: number;
  /** The same while its key is on the move. */
  briefWaitEnd: number;
  /** When its waiting was looked at last. */
  lookedAt: number;
  /** Before this it is not sent again; -Infinity when nothing speaks against. */
  retryAt: number;
  /** Attempts in flight. */
  attempts: Attempt[];
  /** Servers that it was sent to. */
  tried: string[];
  /** Whether a server may have run it. */
  mayHaveRun: boolean;
  /** Lines about it that are written only if something happens to it. */
  trace: Note[];
  /** Whether something has happened, so that all its lines are written. */
  isNoteworthy: boolean;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {
    kind: "answered";
    status: number;
    /** Whether the answer is whole, echoes the request's id and is signed. */
    isGenuine: boolean;
    /** The server says that it did not run the request. */
    isNotRun: boolean;
    /** Id of the server that answered, if it says so. */
    server: string | null;
    load: ReportedLoad | null;
  }
  | {
    kind: "failed";
    /** Whether any part of the request may have reached the server. */
    wasSent: boolean;
    cause: string;
  };
