/**
 * What the outcome of an order says of its range and its server.
 *
 * @module
 */
import type { KeyspaceEffect, OrderOutcome } from "./keyspace_effect.ts";
import {
  answeredEnd,
  type LeaseTiming,
  unansweredEnd,
} from "./lease_timing.ts";
import type { OrderBook, PendingOrder } from "./order_book.ts";
import type { RangeServers } from "./range_servers.ts";
import type { RangeTransitions } from "./range_transitions.ts";

/** Pause before an unanswered order is sent again, in milliseconds. */
const RETRY_PAUSE = 150;
/** Pause before a withheld order is made again, in milliseconds. Orders of one turn of
 * the event loop are withheld together. If they were made again in the turn that
 * reports this, they would be sent only after it, again too old to open a connection. */
const WITHHELD_PAUSE = 30;

/** See the module's comment. Times are those of the holder's clock. */
export class OrderOutcomes {
  private constructor(
    private readonly orders: OrderBook,
    private readonly servers: RangeServers,
    private readonly transitions: RangeTransitions,
    private readonly timing: LeaseTiming,
  ) {}

  /** Outcomes of the orders in a book. */
  static create(
    orders: OrderBook,
    servers: RangeServers,
    transitions: RangeTransitions,
    timing: LeaseTiming,
  ): OrderOutcomes {
    return new OrderOutcomes(orders, servers, transitions, timing);
  }

  /** Takes in how an order ended that no newer holder has superseded. */
  take(
    order: PendingOrder,
    outcome: OrderOutcome,
    now: number,
  ): KeyspaceEffect[] {
    if (outcome.kind === "withheld") this.#withheld(order, now);
    else if (outcome.kind === "misdirected") this.#misdirected(order, now);
    else if (order.kind === "grant") return this.#granted(order, outcome, now);
    else this.#released(order, outcome, now);
    return [];
  }

  #granted(
    order: PendingOrder,
    outcome: OrderOutcome,
    now: number,
  ): KeyspaceEffect[] {
    const { table, range } = order;
    if (outcome.kind === "failed") {
      this.#failed(order, now);
      return [];
    }
    range.failures = 0;
    range.isFenced = true;
    range.handover = null;
    range.leaseEnd = Math.max(range.leaseEnd, answeredEnd(now, order.hold));
    range.dueAt = order.sentAt + this.timing.renewal;
    if (range.state === "closing") range.dueAt = now;
    if (range.state !== "assigned") return [];
    range.state = "held";
    range.destination = null;
    table.changed(range);
    return movedNotes(order, now);
  }

  /** It is sent once a connection may be opened for it. */
  #withheld({ range }: PendingOrder, now: number): void {
    range.isUnconnected = true;
    range.dueAt = now + WITHHELD_PAUSE;
  }

  /** Another server listens at the address of the one that was meant, whose run
   * has ended there, and with it what that run held. */
  #misdirected(order: PendingOrder, now: number): void {
    const { table, range } = order;
    if (!this.servers.isEndShown(order)) return this.#failed(order, now);
    this.servers.noteEnd(order);
    for (const each of table.ranges) {
      if (each.server !== range.server || each.order !== null) continue;
      const isOfRun = this.servers.isEndShownFor(each, order);
      if (each !== range && !isOfRun) continue;
      if (each.closedAt === 0) each.closedAt = now;
      this.transitions.vacate(table, each);
    }
  }

  #failed({ range, sentAt, hold }: PendingOrder, now: number): void {
    const end = unansweredEnd(sentAt, hold, this.timing);
    range.doubtEnd = Math.max(range.doubtEnd, end);
    if (range.failures === 0) range.failingSince = now;
    range.failures += 1;
    range.dueAt = now + RETRY_PAUSE;
    const isLost = this.servers.isUnanswering(range);
    if (isLost && range.state !== "held") range.state = "expiring";
  }

  #released(order: PendingOrder, outcome: OrderOutcome, now: number): void {
    const { range } = order;
    if (range.state === "expiring") return this.#probed(order, outcome, now);
    if (outcome.kind !== "accepted") {
      range.state = "expiring";
      return;
    }
    range.handover = outcome.handover;
    range.leaseEnd = 0;
    // It is released only once fenced, so no older grant can follow, and a run
    // that starts later has no connection to an older holder.
    range.inheritedEnd = 0;
    range.releasedAt = now;
    range.state = this.orders.heldUntil(range) > now ? "expiring" : "released";
  }

  /** The server itself has answered, and is given its keys again, or nobody. */
  #probed(
    { table, range }: PendingOrder,
    outcome: OrderOutcome,
    now: number,
  ): void {
    range.dueAt = now + RETRY_PAUSE;
    if (outcome.kind === "accepted") {
      this.transitions.reassign(table, range, now);
    }
  }
}

/** Tells how long nobody could be asked for keys that another server has now. */
function movedNotes(
  { table, range, token }: PendingOrder,
  now: number,
): KeyspaceEffect[] {
  if (range.closedAt === 0) return [];
  const took = Math.round(now - range.closedAt);
  range.closedAt = 0;
  const { service } = table;
  const { first, last, server } = range;
  const to = server!;
  return [{ kind: "keys.moved", service, first, last, to, token, took }];
}
