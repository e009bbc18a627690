/**
 * Creates the orders of a term holder to backend servers, and tracks which of
 * them are in flight and until when servers may hold keys because of them.
 *
 * @module
 */
import type { GrantOrder, ReleaseOrder } from "./keyspace_effect.ts";
import { type LeaseTiming, unansweredGrantEnd } from "./lease_timing.ts";
import type { RangeTable } from "./range_table.ts";
import type { TrackedRange } from "./tracked_range.ts";

/**
 * Number of tokens reserved for each term: more than a term holder uses in
 * years.
 */
const TOKENS_PER_TERM = 2 ** 28;

/**
 * Maximum number of orders that are created in one step. The orders of a step
 * are sent after all of them are created, and an order that is then older than
 * 30 ms must not open a connection. In a process that has just started, one
 * order takes 0.36 ms of a whole core, so 16 orders take 22 ms on a VM with
 * 0.27 of a core. This allows 800 orders a second. Without the limit, a small
 * VM that created 300 orders at once had all of them withheld, repeatedly.
 */
const MAX_ORDERS_PER_STEP = 16;

/**
 * Maximum number of orders to servers without a known connection between two
 * timer events. A limit per step is not enough: several events may be handled
 * in one turn of the event loop, and their orders are sent only at the end of
 * that turn.
 */
const MAX_CONNECTING_ORDERS = MAX_ORDERS_PER_STEP;

/** An order that is in flight. */
export interface PendingOrder {
  table: RangeTable;
  range: TrackedRange;
  kind: "grant" | "release";
  sentAt: number;
  /** Hold time of a grant, in milliseconds; 0 for a release. */
  hold: number;
  token: number;
  /** Address that it was sent to. */
  address: string;
  /**
   * Incarnation of the server as listed when the order was sent; 0 if unknown.
   */
  incarnation: number;
}

/** Orders of one term; see the module's comment. */
export class OrderTracker {
  readonly #pending = new Map<number, PendingOrder>();
  #tokenCount = 0;
  /** Whether orders of this step may open connections. */
  #mayConnect = false;
  /** Number of orders that may still be created in this step. */
  #ordersLeft = 0;
  /**
   * Number of orders to servers without a known connection that may still be
   * created before the next timer event.
   */
  #connectingLeft = 0;

  private constructor(
    private readonly term: number,
    private readonly timing: LeaseTiming,
    private readonly nextOrder: () => number,
  ) {}

  /**
   * Creates a tracker for a term without orders. `nextOrder` returns order
   * numbers that are unique over all terms of this process.
   */
  static create(
    term: number,
    timing: LeaseTiming,
    nextOrder: () => number,
  ): OrderTracker {
    return new OrderTracker(term, timing, nextOrder);
  }

  /**
   * Starts a step, which resets the limit on the orders of a step. `mayConnect`
   * tells whether the orders of the step may open connections, and
   * `isTimerEvent` whether the step handles a timer event, which does not share
   * its turn of the event loop with other events.
   */
  beginStep(mayConnect: boolean, isTimerEvent: boolean): void {
    this.#mayConnect = mayConnect;
    this.#ordersLeft = MAX_ORDERS_PER_STEP;
    if (isTimerEvent) this.#connectingLeft = MAX_CONNECTING_ORDERS;
  }

  /**
   * Whether a limit on orders is reached, so that some may be deferred to the
   * next timer event.
   */
  get isLimitReached(): boolean {
    return this.#ordersLeft === 0 || this.#connectingLeft === 0;
  }

  /** Returns a token above all that this term and older ones have used. */
  #nextToken(): number {
    this.#tokenCount += 1;
    return this.term * TOKENS_PER_TERM + this.#tokenCount;
  }

  /**
   * Creates an order that grants a range or renews its grant. The server and
   * the address of the range must be known.
   *
   * A renewal has a new token too. The intended process may have ended, and for
   * the process that replaces it the renewal is the first grant. With an
   * unchanged token, two processes would hold the same keys with one token.
   */
  grant(
    table: RangeTable,
    range: TrackedRange,
    hold: number,
    now: number,
  ): GrantOrder {
    const address = range.address!;
    range.hold = hold;
    if (!range.addresses.includes(address)) {
      range.addresses = [...range.addresses, address];
    }
    const token = this.#nextToken();
    return {
      kind: "order.grant",
      order: this.#track(table, range, "grant", hold, token, now),
      service: table.service,
      server: range.server!,
      address: range.address!,
      first: range.first,
      last: range.last,
      token,
      mayConnect: this.#mayConnect,
      relay: null,
      hold,
      handover: range.handover,
    };
  }

  /** Creates an order to release a range. */
  release(table: RangeTable, range: TrackedRange, now: number): ReleaseOrder {
    const token = this.#nextToken();
    return {
      kind: "order.release",
      order: this.#track(table, range, "release", 0, token, now),
      service: table.service,
      server: range.server!,
      address: range.address!,
      first: range.first,
      last: range.last,
      token,
      mayConnect: this.#mayConnect,
      relay: null,
    };
  }

  /**
   * Whether an order to the server of a range has to be deferred to a later
   * step, because a limit is reached or because the order would be withheld
   * again.
   */
  isDeferred(range: TrackedRange): boolean {
    if (this.#ordersLeft === 0) return true;
    if (isLikelyConnected(range)) return false;
    const isLikelyWithheld = range.isLastOrderWithheld && !this.#mayConnect;
    return isLikelyWithheld || this.#connectingLeft === 0;
  }

  /** Returns an order in flight, or undefined. */
  get(id: number): PendingOrder | undefined {
    return this.#pending.get(id);
  }

  /**
   * Stops tracking an order and returns it, or undefined if it belongs to
   * another term.
   */
  complete(id: number, now: number): PendingOrder | undefined {
    const order = this.#pending.get(id);
    if (order === undefined) return undefined;
    this.#pending.delete(id);
    order.range.order = null;
    order.range.orderEndedAt = now;
    return order;
  }

  /**
   * Returns the latest time until which the server of a range may hold its
   * keys.
   */
  heldUntil(
    { order: id, leaseEnd, unansweredEnd, inheritedEnd }: TrackedRange,
  ): number {
    const order = id === null ? undefined : this.#pending.get(id);
    const inFlight = order?.kind === "grant"
      ? unansweredGrantEnd(order.sentAt, order.hold, this.timing)
      : 0;
    return Math.max(leaseEnd, unansweredEnd, inheritedEnd, inFlight);
  }

  #track(
    table: RangeTable,
    range: TrackedRange,
    kind: PendingOrder["kind"],
    hold: number,
    token: number,
    now: number,
  ): number {
    this.#ordersLeft -= 1;
    if (!isLikelyConnected(range)) this.#connectingLeft -= 1;
    const id = this.nextOrder();
    range.order = id;
    range.isLastOrderWithheld = false;
    const address = range.address!;
    const { incarnation } = range;
    const order = { table, range, kind, sentAt: now, hold, token };
    this.#pending.set(id, { ...order, address, incarnation });
    return id;
  }
}

/**
 * Whether a connection to the server of a range is likely to be open: the
 * server has accepted a grant of this term, and the last order was not
 * withheld.
 */
function isLikelyConnected(
  { isFenced, isLastOrderWithheld }: TrackedRange,
): boolean {
  return isFenced && !isLastOrderWithheld;
}
