/**
 * Orders of a term holder to backend servers: makes them, and knows which are in
 * flight and until when a server may hold keys by them.
 *
 * @module
 */
import type { HeldRange } from "./held_range.ts";
import type { GrantOrder, ReleaseOrder } from "./keyspace_effect.ts";
import { type LeaseTiming, unansweredEnd } from "./lease_timing.ts";
import type { RangeTable } from "./range_table.ts";

/** Tokens of one term: more than a holder gives out in years. */
const TOKENS_OF_TERM = 2 ** 28;

/** Orders that are made in one step. They are sent once all of its step are made, and
 * must not be 30 ms old by then to open a connection. One takes 0.36 ms of a whole
 * core in a process that is not warmed up (16 of them, measured), so as many are made
 * within 22 ms on a VM with 0.27 of a core; that makes 800 a second. A small VM that
 * made the 300 of all ranges at once had all of them withheld, again and again. */
const ORDERS_OF_STEP = 16;

/** Maximum number of orders to servers without a known connection between two timer
 * events. A limit per step is not enough: several events may be handled in one turn of
 * the event loop, and their orders are sent only at the end of that turn. */
const CONNECTING_ORDERS_PER_TIMER = ORDERS_OF_STEP;

/** An order that is in flight. */
export interface PendingOrder {
  table: RangeTable;
  range: HeldRange;
  kind: "grant" | "release";
  sentAt: number;
  /** Hold time of a grant, in milliseconds. */
  hold: number;
  token: number;
  /** Where it was sent. */
  address: string;
  /** Incarnation under which its server was listed then; 0 if unknown. */
  incarnation: number;
}

/** See the module's comment. */
export class OrderBook {
  readonly #pending = new Map<number, PendingOrder>();
  #tokenNumber = 0;
  /** Whether connections may be opened for orders. */
  #mayConnect = false;
  /** Orders that may still be made in this step. */
  #left = 0;
  /** Orders to servers without a known connection that may still be made before the
   * next timer event. */
  #connectingLeft = 0;

  private constructor(
    private readonly term: number,
    private readonly timing: LeaseTiming,
    private readonly nextOrder: () => number,
  ) {}

  /** The book of a term in which nothing was ordered; `nextOrder` numbers orders
   * of all terms of this process. */
  static create(
    term: number,
    timing: LeaseTiming,
    nextOrder: () => number,
  ): OrderBook {
    return new OrderBook(term, timing, nextOrder);
  }

  /** Starts a step. `mayConnect` tells whether connections may be opened for its
   * orders, `isTimerEvent` whether it handles a timer event, which does not share its
   * turn of the event loop with other events. */
  beginStep(mayConnect: boolean, isTimerEvent: boolean): void {
    this.#mayConnect = mayConnect;
    this.#left = ORDERS_OF_STEP;
    if (isTimerEvent) this.#connectingLeft = CONNECTING_ORDERS_PER_TIMER;
  }

  /** Whether a limit on orders is reached, so that some may be deferred to the next
   * timer event. */
  get isLimitReached(): boolean {
    return this.#left === 0 || this.#connectingLeft === 0;
  }

  /** A token above all that this term and older ones gave out. */
  #nextToken(): number {
    this.#tokenNumber += 1;
    return this.term * TOKENS_OF_TERM + this.#tokenNumber;
  }

  /**
   * Grants a range, whose server and address are known, or renews the grant. A
   * renewal has a new token too: the run of the server that it was meant for may
   * have ended, and to the next run it is the first grant. With the token before,
   * two runs would have the same keys with one token.
   */
  grant(
    table: RangeTable,
    range: HeldRange,
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
      order: this.#add(table, range, "grant", hold, token, now),
      service: table.service,
      server: range.server!,
      address: range.address!,
      first: range.first,
      last: range.last,
      token,
      mayConnect: this.#mayConnect,
      hold,
      handover: range.handover,
    };
  }

  /** Takes a range back. */
  release(table: RangeTable, range: HeldRange, now: number): ReleaseOrder {
    const token = this.#nextToken();
    return {
      kind: "order.release",
      order: this.#add(table, range, "release", 0, token, now),
      service: table.service,
      server: range.server!,
      address: range.address!,
      first: range.first,
      last: range.last,
      token,
      mayConnect: this.#mayConnect,
    };
  }

  /** Whether an order to the server of a range has to be deferred to a later step,
   * because a limit is reached or because it would be withheld again. */
  mustWait(range: HeldRange): boolean {
    if (this.#left === 0) return true;
    if (isLikelyConnected(range)) return false;
    const isWithheld = range.isUnconnected && !this.#mayConnect;
    return isWithheld || this.#connectingLeft === 0;
  }

  /** An order ended; undefined for one of another term. */
  end(id: number, now: number): PendingOrder | undefined {
    const order = this.#pending.get(id);
    if (order === undefined) return undefined;
    this.#pending.delete(id);
    order.range.order = null;
    order.range.orderEndedAt = now;
    return order;
  }

  /** Until when the server of a range may hold its keys at the latest. */
  heldUntil(
    { order: id, leaseEnd, doubtEnd, inheritedEnd }: HeldRange,
  ): number {
    const order = id === null ? undefined : this.#pending.get(id);
    const inFlight = order?.kind === "grant"
      ? unansweredEnd(order.sentAt, order.hold, this.timing)
      : 0;
    return Math.max(leaseEnd, doubtEnd, inheritedEnd, inFlight);
  }

  #add(
    table: RangeTable,
    range: HeldRange,
    kind: PendingOrder["kind"],
    hold: number,
    token: number,
    now: number,
  ): number {
    this.#left -= 1;
    if (!isLikelyConnected(range)) this.#connectingLeft -= 1;
    const id = this.nextOrder();
    range.order = id;
    range.isUnconnected = false;
    const address = range.address!;
    const { incarnation } = range;
    const order = { table, range, kind, sentAt: now, hold, token };
    this.#pending.set(id, { ...order, address, incarnation });
    return id;
  }
}

/** Whether a connection to the server of a range is likely to be open: the server has
 * accepted a grant of this term, and the last order was not withheld. */
function isLikelyConnected({ isFenced, isUnconnected }: HeldRange): boolean {
  return isFenced && !isUnconnected;
}
