/**
 * What the holders of terms want done, as data.
 *
 * @module
 */
import type { Assignment, KeyRange } from "./assignment.ts";

/** How an order to a backend server ended. */
export type OrderOutcome =
  | { kind: "accepted"; handover: string | null }
  /** The server has seen a higher token on some of the keys. */
  | { kind: "superseded" }
  /** Another server listens at the address and refused it: the one that was
   * meant has ended. */
  | { kind: "misdirected" }
  /** It was not sent: there was no connection, and none was to be opened. */
  | { kind: "withheld" }
  /** No usable answer: the order may still be carried out. */
  | { kind: "failed"; cause: string };

/**
 * What every order to a server says; the answer is `order.ended`. A server's
 * process may end at any moment and another one listen at its address, which
 * knows nothing of what was ordered before. So each order names the server that
 * it is meant for, and bears a token of its own.
 */
interface KeyOrder extends KeyRange {
  /** Number of the order, unique in this process. */
  order: number;
  service: string;
  /** The only server that may carry it out. */
  server: string;
  address: string;
  /** Above those of all orders before it. */
  token: number;
  /**
   * Whether a connection may be opened for it. A connection ends with the run
   * of the server that it was opened to, so an order on a kept one reaches no
   * run that started later. A run that started after another holder has claimed
   * the next term may have seen no token, and would take an order of this one.
   */
  mayConnect: boolean;
}

/** Grants keys to a server, or renews the grant. */
export interface GrantOrder extends KeyOrder {
  kind: "order.grant";
  /** Milliseconds for which the server holds the keys. */
  hold: number;
  handover: string | null;
}

/** Takes keys back. */
export interface ReleaseOrder extends KeyOrder {
  kind: "order.release";
}

/** Keys begin to move for the sake of balance; for the log. */
export interface MoveNote {
  kind: "keys.move";
  service: string;
  first: number;
  last: number;
  from: string;
  to: string;
}

/** Keys are held by another server; for the log. */
export interface MovedNote {
  kind: "keys.moved";
  service: string;
  first: number;
  last: number;
  to: string;
  /** Token with which that server took them. */
  token: number;
  /** Milliseconds for which nobody could be asked for them. */
  took: number;
}

/** Records assignments; the answer is the event `assignments.written`. */
export interface AssignmentWrite {
  kind: "assignments.write";
  term: number;
  /** Number of the write within the term, from 1. */
  sequence: number;
  assignments: Assignment[];
}

/** Tells all VMs who holds the term. */
export interface HolderAnnouncement {
  kind: "holder.announce";
  term: number;
  /** The term before it. */
  formerTerm: number;
  /** Fitness of the fittest VM that the holder hears of, itself included. */
  fitness: number;
}

/** Asks for what is recorded; the answer is the event `term.read`. */
export interface TermRead {
  kind: "term.read";
}

/** Claims a term if the record still ends at `end`; answered by `term.claimed`. */
export interface TermClaim {
  kind: "term.claim";
  term: number;
  end: number;
}

/** A group of VMs in the store: the electorate, of which one member is elected
 * to hold the term, or the observers, who only learn whether the store answers. */
export type Group = "electorate" | "observers";

/** Joins a group, or stays in it; answered by `group.joined`. */
export interface GroupJoin {
  kind: "group.join";
  group: Group;
  /** Newest generation of the group that this VM knows. */
  generation: number;
}

/** Leaves a group at once, so that another VM takes over. */
export interface GroupLeave {
  kind: "group.leave";
  group: Group;
}

/** All effects of the key space. */
export type KeyspaceEffect =
  | GrantOrder
  | ReleaseOrder
  | MoveNote
  | MovedNote
  | AssignmentWrite
  | TermRead
  | TermClaim
  | HolderAnnouncement
  | GroupJoin
  | GroupLeave;
