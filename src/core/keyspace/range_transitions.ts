/**
 * State transitions of ranges that several modules trigger.
 *
 * @module
 */
import type { RangeServers } from "./range_servers.ts";
import type { RangeTable } from "./range_table.ts";
import { type TrackedRange, vacantRange } from "./tracked_range.ts";

/**
 * Delay between closing keys and ordering their release, in milliseconds. In
 * this time the other VMs receive the change. Without it, the server would
 * refuse the requests that they still send.
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
   * Closes the keys, so that VMs stop sending requests for them. The server is
   * then ordered to release them, or, if it is lost, its lease has to expire.
   */
  close(table: RangeTable, range: TrackedRange, now: number): void {
    const isLost = this.servers.isLost(range, now);
    range.state = isLost ? "expiring" : "closing";
    range.dueAt = now + PROPAGATION_DELAY;
    range.closedAt = now;
    table.markChanged(range);
  }

  /** Marks the keys as held by no server. */
  vacate(table: RangeTable, range: TrackedRange): void {
    const vacant = vacantRange(range, 0);
    vacant.handover = range.handover;
    vacant.destination = range.destination;
    vacant.closedAt = range.closedAt;
    Object.assign(range, vacant);
    table.markChanged(range);
  }

  /**
   * Assigns a range that no server holds to a server. The server gets a grant
   * once the assignment is recorded.
   */
  assign(
    table: RangeTable,
    range: TrackedRange,
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
   * Assigns keys again to the server that is recorded for them, which needs no
   * write to the store.
   */
  reassign(table: RangeTable, range: TrackedRange, now: number): void {
    range.destination = null;
    range.failures = 0;
    range.isPathLost = false;
    this.assign(table, range, range.server!, now);
    range.revision = Math.min(range.revision, table.recordedRevision);
  }
}
