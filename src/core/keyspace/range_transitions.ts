/**
 * State transitions of ranges that have more than one cause.
 *
 * @module
 */
import { type HeldRange, vacantRange } from "./held_range.ts";
import type { RangeServers } from "./range_servers.ts";
import type { RangeTable } from "./range_table.ts";

/**
 * Delay between closing keys and requesting their release, in milliseconds, in
 * which the other VMs learn that the keys are closed. Without it, the server
 * would refuse the requests that they still send.
 */
export const PROPAGATION_DELAY = 5;

/** Applies state transitions; see the module's comment. */
export class RangeTransitions {
  private constructor(private readonly servers: RangeServers) {}

  /** Creates the transitions of ranges that `servers` hold. */
  static create(servers: RangeServers): RangeTransitions {
    return new RangeTransitions(servers);
  }

  /**
   * Stops sending requests for the keys. The server is then asked to release
   * them, or, if it is lost, its lease has to expire.
   */
  close(table: RangeTable, range: HeldRange, now: number): void {
    const isLost = this.servers.isLost(range, now);
    range.state = isLost ? "expiring" : "closing";
    range.dueAt = now + PROPAGATION_DELAY;
    range.closedAt = now;
    table.markChanged(range);
  }

  /** Marks the keys as held by no server. */
  vacate(table: RangeTable, range: HeldRange): void {
    const vacant = vacantRange(range, 0);
    vacant.handover = range.handover;
    vacant.destination = range.destination;
    vacant.closedAt = range.closedAt;
    Object.assign(range, vacant);
    table.markChanged(range);
  }

  /**
   * Assigns a range that no server holds to a server, which gets a grant once
   * this is recorded.
   */
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
    table.markChanged(range);
  }

  /**
   * Assigns keys to the server that is already recorded for them, so that no
   * write to the store is needed first.
   */
  reassign(table: RangeTable, range: HeldRange, now: number): void {
    range.destination = null;
    range.failures = 0;
    this.assign(table, range, range.server!, now);
    range.revision = Math.min(range.revision, table.recordedRevision);
  }
}
