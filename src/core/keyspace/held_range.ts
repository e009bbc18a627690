/**
 * One range of keys as the term holder manages it.
 *
 * ```
 * vacant -> assigned -> held -> closing -> released -> vacant
 *              |  ^                |          |
 *              |  |                |          | (the store is silent: back to
 *              |  +----------------|----------+  the server that had the keys)
 *              +---> expiring <----+      (no answer: wait for the lease)
 * ```
 *
 * Any state is followed by `vacant` when another server is found at the address.
 *
 * @module
 */
import type { KeyRange } from "./assignment.ts";

/** Where a range stands; see the module's comment. */
export type RangeState =
  /** No server holds the keys. */
  | "vacant"
  /** A server was chosen; it gets its first grant once that is recorded. */
  | "assigned"
  /** A server holds the keys and its grant is renewed. */
  | "held"
  /** The keys are being taken back; requests are no longer sent there. */
  | "closing"
  /** The server has given the keys back and is still the one on record; another
   * can be recorded once the store is known to answer. */
  | "released"
  /** The server did not answer; its lease has to run out. */
  | "expiring";

/** See the module's comment. Times are those of the holder's clock. */
export interface HeldRange extends KeyRange {
  state: RangeState;
  /** The only server that may hold the keys. */
  server: string | null;
  /** Address of that server, kept for when it is no longer listed. */
  address: string | null;
  /** Incarnation under which the server was listed when it was last granted the
   * keys; 0 where it is not known. */
  incarnation: number;
  /** Whether it has accepted a grant of this term, which makes it refuse those
   * of older holders. */
  isFenced: boolean;
  /** Text that its last holder gave out for a warm start. */
  handover: string | null;
  /** When the last grant that the server answered runs out at the latest. */
  leaseEnd: number;
  /** When the grants of older holders run out at the latest. A grant of this
   * term does not shorten them: a server keeps the longest hold it was given
   * until it releases the keys. */
  inheritedEnd: number;
  /** When grants that it did not answer run out at the latest. */
  doubtEnd: number;
  /** Hold time of the last grant that was sent. */
  hold: number;
  /** When the next order is due. */
  dueAt: number;
  /** Orders in a row that got no answer. */
  failures: number;
  /** When the first of them failed. */
  failingSince: number;
  /** The order in flight, or null. */
  order: number | null;
  /** When the last order to the server ended. */
  orderEndedAt: number;
  /** Whether the last order was withheld, for lack of a connection. */
  isUnconnected: boolean;
  /** When requests for the keys began to wait, or 0 while they do not. */
  closedAt: number;
  /** When the server gave the keys back. */
  releasedAt: number;
  /** Server that the keys are to go to next, or null. */
  destination: string | null;
  /** Change of the table that brought the range into its state. */
  revision: number;
}

/** A range that nobody holds. */
export function vacantRange(range: KeyRange, revision: number): HeldRange {
  return {
    first: range.first,
    last: range.last,
    state: "vacant",
    server: null,
    address: null,
    incarnation: 0,
    isFenced: false,
    handover: null,
    leaseEnd: 0,
    inheritedEnd: 0,
    doubtEnd: 0,
    hold: 0,
    dueAt: 0,
    failures: 0,
    failingSince: 0,
    order: null,
    orderEndedAt: 0,
    isUnconnected: false,
    closedAt: 0,
    releasedAt: 0,
    destination: null,
    revision,
  };
}
