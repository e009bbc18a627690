/**
 * Requests of callers on their way.
 *
 * @module
 */
import type { Route } from "../catalog/index.ts";
import type { Note } from "./dispatch_effect.ts";
import type { Fingerprint } from "../quarantine/index.ts";
import type { ReportedLoad } from "../fleet/index.ts";
import type { AssignedRange } from "../keyspace/index.ts";

/** Share of the target latency for which a request waits for a server; later
 * its caller does better with a new attempt elsewhere. */
const WAIT_SHARE = 0.22;
/** The same while its key is on the move, which takes as long as the work that
 * runs on it: an answer within the target is still likely, and a caller that is
 * sent away comes back too late for that. */
const BRIEF_WAIT_SHARE = 0.6;
/** Longest time without an answer when neither caller nor route says one, in
 * milliseconds. */
const DEFAULT_TIMEOUT = 30_000;
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
  /** Tells it from other requests, and a repeat of it by its caller from none. */
  fingerprint: Fingerprint;
}

/** One sending of a request to a server. */
export interface Attempt {
  number: number;
  server: string;
  startedAt: number;
  /** The range of its key as it was known then, or null without a key. */
  range: AssignedRange | null;
  /** When another server is tried beside this one; Infinity for never. */
  hedgeAt: number;
}

/** A key's server did not run a request. */
export interface KeyRefusal {
  server: string;
  /** How often in a row the request was not run. */
  count: number;
  /** Before this the request is not sent to the same server again. */
  until: number;
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
  /** When it has to be looked at again while it waits; Infinity for never. */
  lookAt: number;
  /** The key's server that did not run it last, or null. */
  refusal: KeyRefusal | null;
  /** A number in [0, 1) that decides whether it is among those that have room
   * where only a share has. */
  chance: number;
  /** Whether it was refused since its key is asked for more than its server can
   * do: that does not pass within the target. */
  isCrowdedOut: boolean;
  /** Attempts in flight. */
  attempts: Attempt[];
  /** Servers that it was sent to and that have not stated that they did not run
   * it: one entry for each attempt, unless its key can go nowhere else. */
  tried: string[];
  /** Attempts that arrived at a server, or may have. */
  arrivals: number;
  /** Whether a server may have run it. */
  mayHaveRun: boolean;
  /** Whether it is not known how much of its time is left. */
  isAgeDoubted: boolean;
  /** Before this it is not sent again: its server broke off, and whether that has
   * ended is being looked at. */
  restUntil: number;
  /** Lines about it that are written only if something happens to it. */
  trace: Note[];
  /** Whether something has happened, so that all its lines are written. */
  isNoteworthy: boolean;
}

/** A request that has just come for a service, with its key there, or null; `chance`
 * is a number in [0, 1). */
export function pendingRequest(
  arrival: RequestArrival,
  route: Route,
  service: string,
  key: number | null,
  chance: number,
  now: number,
): PendingRequest {
  const { targetLatency } = route;
  const timeout = Math.min(
    arrival.timeout ?? DEFAULT_TIMEOUT,
    route.timeout > 0 ? route.timeout : DEFAULT_TIMEOUT,
  );
  return {
    arrival,
    route,
    service,
    key,
    arrivedAt: now,
    deadline: now + timeout,
    waitEnd: now + Math.min(WAIT_SHARE * targetLatency, timeout),
    briefWaitEnd: now + Math.min(BRIEF_WAIT_SHARE * targetLatency, timeout),
    lookedAt: now,
    lookAt: Infinity,
    refusal: null,
    chance,
    isCrowdedOut: false,
    attempts: [],
    tried: [],
    arrivals: 0,
    mayHaveRun: false,
    isAgeDoubted: false,
    restUntil: -Infinity,
    trace: [],
    isNoteworthy: false,
  };
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
    /** Maximum requests per second that it accepts from all VMs combined; null if it
     * states no limit, undefined if that is unknown. */
    rateLimit?: number | null;
  }
  | {
    kind: "failed";
    /** Whether any part of the request may have reached the server. */
    wasSent: boolean;
    /** Whether nothing listens at the server's address; not if left out. */
    isRefused?: boolean;
    cause: string;
  };
