/**
 * Requests of callers and their attempts.
 *
 * @module
 */
import { requestRank } from "../admission/index.ts";
import { DEFAULT_TIMEOUT, type Route, timeoutOf } from "../catalog/index.ts";
import type { LogLine } from "./dispatch_effect.ts";
import type { Fingerprint } from "../quarantine/index.ts";
import type { ServerStatement } from "../fleet/index.ts";
import type { AssignedRange } from "../keyspace/index.ts";

/**
 * Maximum time for which a request waits for a server, as a share of the target
 * latency. After that, the caller is better off with a retry at another VM.
 */
const WAIT_SHARE = 0.22;
/**
 * Maximum time for which a request waits while a transient condition blocks it,
 * such as a moving key, as a share of the target latency. A move takes as long
 * as the running work on the key, so a response within the target is still
 * likely, while a refused caller would retry too late to meet it.
 */
const TRANSIENT_WAIT_SHARE = 0.6;
/** A request as its caller sent it. Its body stays in the HTTP server. */
export interface RequestArrival {
  /** Number of the exchange with the caller, unique in this process. */
  exchange: number;
  /** The caller's id of the request. */
  id: string;
  host: string;
  /** Path and query. */
  target: string;
  /**
   * Milliseconds for which the caller waits for a response, or null if it does
   * not specify this.
   */
  timeout: number | null;
  /** Key of the request, or null if it has none. */
  key: number | null;
  /**
   * Identifies the content of the request. A retry by the caller has the same
   * fingerprint, other requests have another one.
   */
  fingerprint: Fingerprint;
  /**
   * Bytes that this process holds for slow callers and servers, except for
   * responses that it can cut off, as a share of their bound; 0 or omitted
   * without a bound. At 1 and above the request must be refused: its body may be
   * incomplete.
   */
  memoryShare?: number;
  /** Size of the body in bytes; 0 if omitted. */
  bodyBytes?: number;
}

/** One attempt to send a request to a server. */
export interface Attempt {
  number: number;
  /** Id of the server. */
  server: string;
  /**
   * Peer address of the VM through which it is sent, or null. With it, an open
   * direct connection may be used instead.
   */
  relay: string | null;
  startedAt: number;
  /** Whether another attempt of the request may have reached a server before. */
  isRepeat: boolean;
  /**
   * Time until which the retry budget covers the attempt; Infinity if it covers
   * it until the deadline of the request, or if the attempt is no repeat.
   */
  coveredUntil: number;
  /**
   * The assigned range that contained the request's key at the start of the
   * attempt; null without a key, or if no assignment was known.
   */
  range: AssignedRange | null;
  /**
   * When the request is hedged if there is no response by then; Infinity for
   * never.
   */
  hedgeAt: number;
}

/** Name of an attempt among everything that this VM sends to servers. */
export function attemptName(number: number): string {
  return `attempt ${number}`;
}

/** Consecutive refusals of a request by its key's server. */
export interface KeyRefusal {
  /** Id of the server. */
  server: string;
  /**
   * Number of consecutive attempts at which the server did not run the request.
   */
  count: number;
  /** Time before which the request is not sent to the same server again. */
  until: number;
}

/** A request that has no final response yet. */
export interface PendingRequest {
  arrival: RequestArrival;
  route: Route;
  service: string;
  /** Key; null if the request has none or its service is not keyed. */
  key: number | null;
  arrivedAt: number;
  /** Time by which the caller needs a response. */
  deadline: number;
  /** Time until which it may wait for a server. */
  waitEnd: number;
  /** Time until which it may wait for a server that has room. */
  capacityWaitEnd: number;
  /**
   * Time until which it may wait while a transient condition blocks it, such as
   * a moving key.
   */
  transientWaitEnd: number;
  /** Time at which its timers were last checked. */
  checkedAt: number;
  /**
   * Time at which the condition that it waits for ends by itself; Infinity if
   * it does not.
   */
  checkAt: number;
  /** Refusals by the key's server, or null. */
  refusal: KeyRefusal | null;
  /**
   * A random number in [0, 1). If only a share of the requests for its key is
   * admitted, the request is admitted if this number is below the share.
   */
  chance: number;
  /** Its rank for admission by priority; see `requestRank`. */
  rank: number;
  /**
   * Whether it was refused because its service or key is overloaded or a rate
   * limit is reached. Such overload does not end within the target latency.
   */
  isShed: boolean;
  /**
   * Whether its caller has time to return after a refusal, so that admission by
   * priority and planned returns apply to it.
   */
  mayReturn: boolean;
  /** Whether it is refused because its service cannot run all requests. */
  lacksCapacity: boolean;
  /** Attempts in flight. */
  attempts: Attempt[];
  /**
   * Ids of servers to which it was sent, one entry for each attempt. A server
   * that did not run the request is removed if it owns the key, so that it is
   * tried again: no other server can run the request.
   */
  tried: string[];
  /** Number of attempts that reached a server, or may have. */
  sentCount: number;
  /** Id of the server of each attempt, whatever became of it. */
  startedServers: string[];
  /** Number of attempts whose connection could not be opened on their path. */
  pathFailures: number;
  /** Whether a server may have run it. */
  mayHaveRun: boolean;
  /** Whether its deadline may have passed, because the clock may be ahead. */
  isDeadlineUncertain: boolean;
  /**
   * Time before which it is not sent again, because its connection broke and
   * the server's address is being probed.
   */
  retryNotBefore: number;
  /**
   * Log lines that are written only if a notable event of the request follows.
   */
  deferredLines: LogLine[];
  /**
   * Whether a notable event has occurred, so that its further log lines are
   * written at once.
   */
  isLogged: boolean;
}

/**
 * Creates the state of a request that has just arrived. `key` is null if the
 * request has none or its service is not keyed, and `chance` is a random number
 * in [0, 1).
 */
export function createPendingRequest(
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
    timeoutOf(route),
  );
  const waitEnd = now + Math.min(WAIT_SHARE * targetLatency, timeout);
  return {
    arrival,
    route,
    service,
    key,
    arrivedAt: now,
    deadline: now + timeout,
    waitEnd,
    capacityWaitEnd: waitEnd,
    transientWaitEnd: now +
      Math.min(TRANSIENT_WAIT_SHARE * targetLatency, timeout),
    checkedAt: now,
    checkAt: Infinity,
    refusal: null,
    chance,
    rank: requestRank(route.priority, chance, false),
    isShed: false,
    mayReturn: true,
    lacksCapacity: false,
    attempts: [],
    tried: [],
    sentCount: 0,
    startedServers: [],
    pathFailures: 0,
    mayHaveRun: false,
    isDeadlineUncertain: false,
    retryNotBefore: -Infinity,
    deferredLines: [],
    isLogged: false,
  };
}

/** State of a connection to a server when a response arrives on it. */
export interface ConnectionState {
  /** Number of the connection, unique in this process. */
  number: number;
  /** Number of responses that had arrived on it before. */
  responses: number;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | {
    kind: "answered";
    /** HTTP status. */
    status: number;
    /**
     * Whether the response is complete, echoes the request's id and is signed.
     */
    isGenuine: boolean;
    /** Whether the server reports that it did not run the request. */
    isNotRun: boolean;
    /** Id of the server as stated in the response, or null if it has none. */
    server: string | null;
    /** What the server states of itself. */
    statement: ServerStatement;
    /** The connection on which it arrived, for the log. */
    connection?: ConnectionState;
    /** Whether it was sent through another VM; false if omitted. */
    isRelayed?: boolean;
  }
  | {
    kind: "failed";
    /** Whether any part of the request may have reached the server. */
    mayHaveBeenSent: boolean;
    /**
     * Whether the server's address refused the connection; false if omitted.
     */
    isConnectionRefused?: boolean;
    /** Whether it was sent through another VM; false if omitted. */
    isRelayed?: boolean;
    /** Whether that VM could not be used; false if omitted. */
    isRelayFault?: boolean;
    /** Cause of the failure, for the log and the caller. */
    cause: string;
  };
