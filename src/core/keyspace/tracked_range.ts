/**
 * State of one range of keys at the term holder.
 *
 * ```
 * vacant -> assigned -> held -> closing -> released -> vacant
 *              |  ^                |          |
 *              |  |                |          | (store does not answer: back to
 *              |  +----------------|----------+  the server that had the keys)
 *              +---> expiring <----+     (no answer: wait for the lease to end)
 * ```
 *
 * A `held` range whose server is lost becomes `expiring` at once. An `expiring`
 * range becomes `vacant` when the lease has ended, or `assigned` to the same
 * server if that server has restarted or answers a probe.
 *
 * A range is `unconfirmed` if the store has lost which server has its keys. It
 * becomes `held` if the former term holder has confirmed its server, or else
 * `assigned` when all leases of earlier terms have ended.
 *
 * A range in any state becomes `vacant` if another server refuses an order at
 * the address of the range's server and this proves that the process that held
 * the keys has ended. While the lease of an unresponsive server runs out, the
 * server is probed by release orders if another one is listed at its address.
 *
 * @module
 */
import type { KeyRange } from "./assignment.ts";

/** State of a range; see the module's comment. */
export type RangeState =
  /** No server holds the keys. */
  | "vacant"
  /** A server was chosen. It gets its first grant once this is recorded. */
  | "assigned"
  /** A server holds the keys and its grant is renewed. */
  | "held"
  /**
   * The server is to release the keys. Requests are no longer sent to it.
   */
  | "closing"
  /**
   * The server has released the keys but is still recorded as their server.
   * Another one can be recorded once the store is known to answer.
   */
  | "released"
  /** The server did not answer. Its lease has to expire. */
  | "expiring"
  /**
   * The server is the last known one, but another one may hold the keys. Nothing
   * is ordered until that is known or all leases have ended.
   */
  | "unconfirmed";

/**
 * Whether the server of a range has proved, since the store has returned from a
 * copy, that it still holds the keys.
 */
export type Confirmation = "none" | "pending" | "confirmed" | "failed";

/**
 * One range; see the module's comment. Times are those of the term holder's
 * clock.
 */
export interface TrackedRange extends KeyRange {
  state: RangeState;
  /** The only server that may hold the keys. */
  server: string | null;
  /** Address of that server, kept for when it is no longer listed. */
  address: string | null;
  /** Addresses to which grants were sent that may still be in force. */
  addresses: readonly string[];
  /**
   * Incarnation of the server as listed when it was last granted the keys; 0 if
   * unknown.
   */
  incarnation: number;
  /**
   * Whether the server has accepted a grant of this term, after which it
   * rejects those of older term holders.
   */
  isFenced: boolean;
  /**
   * Text from the previous server for the next one, which shortens its warm-up,
   * or null.
   */
  handover: string | null;
  /** Latest time at which the lease of an answered grant can end. */
  leaseEnd: number;
  /**
   * Latest time at which the leases of older term holders can end. A grant of
   * this term does not shorten them: a server keeps the longest lease that it
   * was given until it releases the keys.
   */
  inheritedEnd: number;
  /** Latest time at which the lease of an unanswered grant can end. */
  unansweredEnd: number;
  /** Hold time of the last grant that was sent, in milliseconds. */
  hold: number;
  /**
   * Whether the range expires only since an order was lost on its path, so that
   * its server may respond on another one.
   */
  isPathLost: boolean;
  /** When the next order is due. */
  dueAt: number;
  /** Number of consecutive orders without an answer. */
  failures: number;
  /** When the first of these orders failed. */
  failingSince: number;
  /** Number of the order in flight, or null. */
  order: number | null;
  /** When the last order to the server ended. */
  orderEndedAt: number;
  /** Whether the last order was withheld for lack of a connection. */
  isLastOrderWithheld: boolean;
  /** Time since which requests for the keys have to wait; 0 if they do not. */
  closedAt: number;
  /** When the server released the keys. */
  releasedAt: number;
  /** Server that should get the keys next, or null. */
  destination: string | null;
  confirmation: Confirmation;
  /** Revision of the table at the last change of this range. */
  revision: number;
}

/** Creates a range that no server holds. */
export function vacantRange(range: KeyRange, revision: number): TrackedRange {
  return {
    first: range.first,
    last: range.last,
    state: "vacant",
    server: null,
    address: null,
    addresses: [],
    incarnation: 0,
    isFenced: false,
    handover: null,
    leaseEnd: 0,
    inheritedEnd: 0,
    unansweredEnd: 0,
    hold: 0,
    isPathLost: false,
    dueAt: 0,
    failures: 0,
    failingSince: 0,
    order: null,
    orderEndedAt: 0,
    isLastOrderWithheld: false,
    closedAt: 0,
    releasedAt: 0,
    destination: null,
    confirmation: "none",
    revision,
  };
}
