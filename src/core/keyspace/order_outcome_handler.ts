/**
 * Applies the outcome of an order to the state of its range and of its server.
 *
 * @module
 */
import type { KeyspaceEffect, OrderOutcome } from "./keyspace_effect.ts";
import {
  answeredGrantEnd,
  type LeaseTiming,
  unansweredGrantEnd,
} from "./lease_timing.ts";
import type { OrderTracker, PendingOrder } from "./order_tracker.ts";
import type { RangeServers } from "./range_servers.ts";
import type { RangeTransitions } from "./range_transitions.ts";

/** Delay before an unanswered order is repeated, in milliseconds. */
const RETRY_DELAY = 150;
/**
 * Delay before a withheld order is created again, in milliseconds. Orders of
 * one turn of the event loop are withheld together. If they were created again
 * in the turn that reports this, they would be sent only at its end, when they
 * are again too old to open a connection.
 */
const WITHHELD_RETRY_DELAY = 30;

/**
 * Handles the outcomes of orders. Times are those of the term holder's clock.
 */
export class OrderOutcomeHandler {
  private constructor(
    private readonly orders: OrderTracker,
    private readonly servers: RangeServers,
    private readonly transitions: RangeTransitions,
    private readonly timing: LeaseTiming,
  ) {}

  /** Creates a handler for the outcomes of tracked orders. */
  static create(
    orders: OrderTracker,
    servers: RangeServers,
    transitions: RangeTransitions,
    timing: LeaseTiming,
  ): OrderOutcomeHandler {
    return new OrderOutcomeHandler(orders, servers, transitions, timing);
  }

  /**
   * Applies the outcome of an order and returns the resulting effects. The
   * outcome `superseded` is not expected here.
   */
  handle(
    order: PendingOrder,
    outcome: OrderOutcome,
    now: number,
  ): KeyspaceEffect[] {
    if (outcome.kind === "withheld") this.#onWithheld(order, now);
    else if (outcome.kind === "misdirected") this.#onMisdirected(order, now);
    else if (order.kind === "grant") return this.#onGrant(order, outcome, now);
    else this.#onRelease(order, outcome, now);
    return [];
  }

  #onGrant(
    order: PendingOrder,
    outcome: OrderOutcome,
    now: number,
  ): KeyspaceEffect[] {
    const { table, range } = order;
    if (outcome.kind === "failed") {
      this.#onFailure(order, outcome.isPathLost ?? false, now);
      return [];
    }
    range.failures = 0;
    range.isFenced = true;
    table.recordSettled(range.server!);
    range.handover = null;
    range.leaseEnd = Math.max(
      range.leaseEnd,
      answeredGrantEnd(now, order.hold),
    );
    range.dueAt = this.#renewalDueAt(order);
    if (range.state === "closing") range.dueAt = now;
    if (range.state !== "assigned") return [];
    range.state = "held";
    range.destination = null;
    table.markChanged(range);
    return moveCompletedEffects(order, now);
  }

  /**
   * When the renewal of an accepted grant is due: after the usual time, or, if
   * the server accepts no orders for a while, at the end of that time, at the
   * latest with the usual hold time left.
   */
  #renewalDueAt({ range, sentAt, hold }: PendingOrder): number {
    const backoffUntil = this.servers.backoffUntil(range.server!);
    const latest = sentAt + hold - this.timing.hold;
    return Math.max(
      sentAt + this.timing.renewal,
      Math.min(backoffUntil, latest),
    );
  }

  /**
   * Schedules a withheld order to be created again, at the earliest after
   * {@linkcode WITHHELD_RETRY_DELAY} and once orders may open connections.
   */
  #onWithheld({ range }: PendingOrder, now: number): void {
    range.isLastOrderWithheld = true;
    range.dueAt = now + WITHHELD_RETRY_DELAY;
  }

  /**
   * Handles a refusal by another server that listens at the address of the
   * intended one. The process of the intended server has ended there and no
   * longer holds its keys.
   */
  #onMisdirected(order: PendingOrder, now: number): void {
    const { table, range } = order;
    if (!this.servers.isEndProven(order)) {
      return this.#onFailure(order, false, now);
    }
    table.recordSettled(range.server!);
    this.servers.recordEnd(order);
    for (const each of table.ranges) {
      if (each.server !== range.server || each.order !== null) continue;
      const isSameProcess = this.servers.isEndProvenFor(each, order);
      if (each !== range && !isSameProcess) continue;
      if (each.closedAt === 0) each.closedAt = now;
      this.transitions.vacate(table, each);
    }
  }

  #onFailure(
    { range, sentAt, hold }: PendingOrder,
    isPathLost: boolean,
    now: number,
  ): void {
    const end = unansweredGrantEnd(sentAt, hold, this.timing);
    range.unansweredEnd = Math.max(range.unansweredEnd, end);
    if (isPathLost) {
      range.dueAt = now;
      return;
    }
    if (range.failures === 0) range.failingSince = now;
    range.failures += 1;
    range.dueAt = now + RETRY_DELAY;
    const isUnresponsive = this.servers.isUnresponsive(range);
    if (isUnresponsive && range.state !== "held") range.state = "expiring";
  }

  #onRelease(
    order: PendingOrder,
    outcome: OrderOutcome,
    now: number,
  ): void {
    const { range } = order;
    if (range.state === "expiring") return this.#onProbe(order, outcome, now);
    if (outcome.kind !== "accepted") {
      range.state = "expiring";
      range.isPathLost = outcome.kind === "failed" &&
        (outcome.isPathLost ?? false);
      range.dueAt = now;
      return;
    }
    range.handover = outcome.handover;
    range.leaseEnd = 0;
    // The release is sent only after the range is fenced, so no older grant can
    // follow, and a process that starts later has no connection to an older
    // term holder.
    range.inheritedEnd = 0;
    range.releasedAt = now;
    range.state = this.orders.heldUntil(range) > now ? "expiring" : "released";
  }

  /**
   * Handles the outcome of a probe: a release order that checks whether the
   * server still listens, or repeats one that was lost on its path. If the server itself has accepted it, the keys are
   * assigned to it again. Otherwise the range stays `expiring`.
   */
  #onProbe(
    { table, range }: PendingOrder,
    outcome: OrderOutcome,
    now: number,
  ): void {
    range.dueAt = now + RETRY_DELAY;
    if (outcome.kind === "accepted") {
      this.transitions.reassign(table, range, now);
    }
  }
}

/**
 * Returns a log entry with the time for which requests for the keys of a grant
 * had to wait, or nothing if they did not wait.
 */
function moveCompletedEffects(
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
