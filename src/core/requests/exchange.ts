/**
 * The state of one request, from its arrival to the caller's final answer.
 *
 * @module
 */
import type { WatchedServer } from "../routing/index.ts";

/**
 * Where a request stands. `claiming`: its id is being claimed. `queued`: no server has it now. `dispatched`: a server
 * may be running it. `delivering`: its answer is being passed on.
 */
export type ExchangeState = "claiming" | "queued" | "dispatched" | "delivering";

/** One request of a caller. Times are monotonic milliseconds. */
export interface Exchange {
  readonly id: number;
  readonly requestId: string;
  readonly service: string;
  /** Slot of its key, or null for a service without keys. */
  readonly slot: number | null;
  readonly idempotent: boolean;
  readonly replayable: boolean;
  readonly arrivedAt: number;
  readonly deadline: number;
  state: ExchangeState;
  /** Whether an earlier attempt may have run. */
  mayHaveRun: boolean;
  /** How often it was sent. */
  attempts: number;
  /** Not to be tried again before this time. */
  notBefore: number;
  /** Servers that shed or failed it. */
  readonly tried: string[];
  attempt: Attempt | null;
}

/** One sending of a request to a backend server. */
export interface Attempt {
  readonly id: number;
  readonly server: WatchedServer;
  readonly token: number | null;
  readonly sentAt: number;
}
