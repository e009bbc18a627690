/**
 * Effects of the key space: actions that its state machines request, as data.
 *
 * @module
 */
import type { ServerStatement } from "../fleet/index.ts";
import type { KeyRange, RecordedAssignment } from "./assignment.ts";

/** How an order to a backend server ended. */
type OrderResult =
  | { kind: "accepted"; handover: string | null }
  /** The server has seen a higher token on some of the keys. */
  | { kind: "superseded" }
  /**
   * Another server listens at the address and refused the order, so the
   * intended one no longer listens there.
   */
  | { kind: "misdirected" }
  /**
   * The order was not sent: no connection was open, and the order must not open
   * one.
   */
  | { kind: "withheld" }
  /** There was no valid answer. The server may still carry out the order. */
  | {
    kind: "failed";
    cause: string;
    /** Whether the server responded with an unexpected status. */
    isAnswered?: boolean;
    /** Whether the VM through which it was to be sent could not be used. */
    isRelayFault?: boolean;
    /**
     * Whether it failed because of the path on which it was sent, so that it
     * shows nothing about the server.
     */
    isPathLost?: boolean;
  };

/** Outcome of an order to a backend server. */
export type OrderOutcome = OrderResult & {
  /** What the server stated of itself with its response, if anything. */
  statement?: ServerStatement;
};

/**
 * Fields of every order to a server. The event `order.ended` reports the
 * outcome.
 *
 * The process of a server may end at any time, and another server, which has
 * received none of the earlier orders, may then listen at its address. So each
 * order names the intended server and has its own token.
 */
interface KeyOrder extends KeyRange {
  /** Number of the order, unique in this process. */
  order: number;
  service: string;
  /** The only server that may carry it out. */
  server: string;
  address: string;
  /** Higher than the tokens of all earlier orders. */
  token: number;
  /**
   * Whether a connection may be opened for the order. A connection ends with
   * the server process that it was opened to, so an order on an existing
   * connection cannot reach a process that started later. A process that
   * started after another VM claimed the next term may have received no token
   * of that term yet, and would accept an order of this older term.
   */
  mayConnect: boolean;
  /**
   * Peer address of the VM through which it is sent; null to send it directly.
   */
  relay: string | null;
}

/** Grants keys to a server, or renews the grant. */
export interface GrantOrder extends KeyOrder {
  kind: "order.grant";
  /** Milliseconds for which the server holds the keys. */
  hold: number;
  /**
   * Text from the previous server of the keys, which shortens the warm-up of
   * this one, or null.
   */
  handover: string | null;
}

/** Orders a server to release keys. */
export interface ReleaseOrder extends KeyOrder {
  kind: "order.release";
}

/** Log entry: a move of keys for load balance starts. */
export interface MoveStarted {
  kind: "keys.move";
  service: string;
  first: number;
  last: number;
  from: string;
  to: string;
}

/** Log entry: closed keys are held again, usually by another server. */
export interface MoveCompleted {
  kind: "keys.moved";
  service: string;
  first: number;
  last: number;
  to: string;
  /** Token of the grant that the server accepted. */
  token: number;
  /** Milliseconds for which requests for the keys had to wait. */
  took: number;
}

/**
 * Writes assignments to the store; the event `assignments.written` reports the
 * outcome.
 */
export interface AssignmentWrite {
  kind: "assignments.write";
  term: number;
  /** Number of the write within the term, from 1. */
  sequence: number;
  assignments: RecordedAssignment[];
}

/** Announces the term holder to all VMs. */
export interface HolderAnnouncement {
  kind: "holder.announce";
  term: number;
  /** The previous term. */
  formerTerm: number;
  /**
   * Highest fitness among the VMs that the term holder knows, including itself.
   */
  fitness: number;
}

/**
 * Reads the newest term and the recorded assignments; the event `term.read`
 * reports the result.
 */
export interface TermRead {
  kind: "term.read";
}

/** A claimed term, as the store records it. */
export interface ClaimedTerm {
  term: number;
  /** Era of the store in which it was claimed; null if unknown. */
  era: number | null;
  /**
   * Whether the store had lost which servers hold which keys, so that a service
   * without a record of this era may have servers that hold its keys.
   */
  isUnconfirmed: boolean;
}

/**
 * Claims a term, provided that the records still end at position `end`; the
 * event `term.claimed` reports the outcome.
 */
export interface TermClaim extends ClaimedTerm {
  kind: "term.claim";
  end: number;
}

/**
 * A group of VMs in the store. One member of the electorate is elected as term
 * holder; observers only learn whether the store answers.
 */
export type ElectionGroup = "electorate" | "observers";

/**
 * Joins a group or renews the membership; the event `group.joined` reports the
 * result.
 */
export interface GroupJoin {
  kind: "group.join";
  group: ElectionGroup;
  /** Newest generation of the group that this VM knows. */
  generation: number;
}

/** Leaves a group at once, so that another VM can be elected without delay. */
export interface GroupLeave {
  kind: "group.leave";
  group: ElectionGroup;
}

/** All effects of the key space. */
export type KeyspaceEffect =
  | GrantOrder
  | ReleaseOrder
  | MoveStarted
  | MoveCompleted
  | AssignmentWrite
  | TermRead
  | TermClaim
  | HolderAnnouncement
  | GroupJoin
  | GroupLeave;
