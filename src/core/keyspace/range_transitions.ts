/**
 * Steps from one state of a range to another, as they are made for several reasons.
 *
 * @module
 */
import { type HeldRange, vacantRange } from "./held_range.ts";
import type { RangeServers } from "./range_servers.ts";
import type { RangeTable } from "./range_table.ts";

/** Time that the news of closed keys takes to the other VMs, in milliseconds:
 * requests sent meanwhile would only be refused by the server. */
export const NEWS_TIME = 5;

/** See the module's comment. */
export class RangeTransitions {
  private constructor(private readonly servers: RangeServers) {}

  /** Steps of ranges that `servers` hold. */
  static create(servers: RangeServers): RangeTransitions {
    return new RangeTransitions(servers);
  }

  /** No more requests are sent for the keys; their server is asked to release them,
   * or its lease is waited for if it is lost. */
  close(table: RangeTable, range: HeldRange, now: number): void {
    const isLost = this.servers.isLost(range, now);
    range.state = isLost ? "expiring" : "closing";
    range.dueAt = now + NEWS_TIME;
    range.closedAt = now;
    table.changed(range);
  }

  /** Nobody holds the keys. */
  vacate(table: RangeTable, range: HeldRange): void {
    const vacant = vacantRange(range, 0);
    vacant.handover = range.handover;
    vacant.destination = range.destination;
    vacant.closedAt = range.closedAt;
    Object.assign(range, vacant);
    table.changed(range);
  }

  /** Gives a range without a holder to a server, once that is recorded. */
  assign(
    table: RangeTable,
    range: HeldRange,
    server: string,
    now: number,
  ): void {
    range.state = "assigned";
    range.server = server;
    range.address = this.servers.address(server);
    range.isFenced = false;
    range.dueAt = now;
    table.changed(range);
  }

  /** Assigns keys to the server that is on record for them, so that nothing has
   * to be written first. */
  reassign(table: RangeTable, range: HeldRange, now: number): void {
    range.destination = null;
    range.failures = 0;
    this.assign(table, range, range.server!, now);
    range.revision = Math.min(range.revision, table.recorded);
  }
}
