/**
 * All ranges of one service at the term holder. Each change gets a number, the
 * revision. A range is recorded if the store has confirmed a write that
 * contains its revision.
 *
 * @module
 */
import {
  type AssignedRange,
  type Assignment,
  coversAllKeys,
  KEY_COUNT,
  type KeyRange,
} from "./assignment.ts";
import { type TrackedRange, vacantRange } from "./tracked_range.ts";

/** Ranges of one service; see the module's comment. */
export class RangeTable {
  /** Number of changes so far. */
  revision = 0;
  /** Newest revision that the store has confirmed. */
  recordedRevision = 0;

  private constructor(
    readonly service: string,
    public ranges: TrackedRange[],
  ) {}

  /** Creates a table in which no server holds a key. */
  static create(service: string): RangeTable {
    const all = { first: 0, last: KEY_COUNT - 1 };
    return new RangeTable(service, [vacantRange(all, 0)]);
  }

  /**
   * Restores the ranges that an older term holder recorded. Their servers need
   * new grants. A server that does not answer may hold its keys until
   * `predecessorEnd`.
   */
  static restore(
    assignment: Assignment,
    predecessorEnd: number,
  ): RangeTable {
    if (!coversAllKeys(assignment.ranges)) {
      throw new RangeError(`ranges of ${assignment.service} have gaps`);
    }
    const ranges = assignment.ranges.map((each): TrackedRange => {
      const range = vacantRange(each, 0);
      if (each.server === null) return range;
      range.state = "held";
      range.server = each.server;
      range.address = each.address;
      range.addresses = each.address === null ? [] : [each.address];
      range.inheritedEnd = predecessorEnd;
      return range;
    });
    return new RangeTable(assignment.service, ranges);
  }

  /**
   * Whether some range is assigned to a server that is not recorded yet. Only
   * such changes have to be recorded for the next term holder.
   */
  get isDirty(): boolean {
    return this.ranges.some((each) =>
      each.state === "assigned" && !this.isRecorded(each)
    );
  }

  /** Whether no key has ever been assigned to a server. */
  get isNeverAssigned(): boolean {
    return this.ranges.every(({ state, revision }) =>
      state === "vacant" && revision === 0
    );
  }

  /**
   * Gives `range` the next revision after a change that the other VMs have to
   * receive.
   */
  markChanged(range: TrackedRange): void {
    this.revision += 1;
    range.revision = this.revision;
  }

  /** Whether the store has confirmed the last change of `range`. */
  isRecorded(range: TrackedRange): boolean {
    return range.revision <= this.recordedRevision;
  }

  /** Returns all ranges as an assignment, for the store and other VMs. */
  snapshot(term: number, version: number): Assignment {
    const ranges = this.ranges.map(toAssignedRange);
    return { service: this.service, term, version, ranges };
  }

  /** Returns the ranges that have changed after `revision`; -1 for all. */
  changesSince(revision: number, term: number, version: number): Assignment {
    const ranges = this.ranges
      .filter((each) => each.revision > revision)
      .map(toAssignedRange);
    return { service: this.service, term, version, ranges };
  }

  /**
   * Splits `piece` off `range` and returns it. The remaining keys keep their
   * state. Only for a range without an order in flight.
   */
  split(range: TrackedRange, piece: KeyRange): TrackedRange {
    const parts: TrackedRange[] = [];
    if (piece.first > range.first) {
      parts.push({ ...range, last: piece.first - 1 });
    }
    const middle = { ...range, first: piece.first, last: piece.last };
    parts.push(middle);
    if (piece.last < range.last) {
      parts.push({ ...range, first: piece.last + 1 });
    }
    this.ranges.splice(this.ranges.indexOf(range), 1, ...parts);
    return middle;
  }

  /**
   * Merges adjacent ranges that one server holds, so that one order renews
   * them. It is due now, so ranges of servers that accept no order for now
   * (`isBackedOff`) are left out.
   */
  mergeAdjacent(
    now: number,
    isBackedOff: (server: string) => boolean = () => false,
  ): void {
    const merged: TrackedRange[] = [];
    for (const range of this.ranges) {
      const previous = merged.at(-1);
      const mayMerge = previous !== undefined && canMerge(previous, range) &&
        !isBackedOff(range.server!);
      if (!mayMerge) {
        merged.push(range);
        continue;
      }
      previous.last = range.last;
      previous.addresses = [
        ...new Set([...previous.addresses, ...range.addresses]),
      ];
      previous.leaseEnd = Math.max(previous.leaseEnd, range.leaseEnd);
      previous.inheritedEnd = Math.max(
        previous.inheritedEnd,
        range.inheritedEnd,
      );
      previous.orderEndedAt = Math.max(
        previous.orderEndedAt,
        range.orderEndedAt,
      );
      previous.unansweredEnd = Math.max(
        previous.unansweredEnd,
        range.unansweredEnd,
      );
      previous.isFenced = previous.isFenced && range.isFenced;
      previous.revision = Math.max(previous.revision, range.revision);
      previous.dueAt = now;
    }
    this.ranges = merged;
  }
}

function toAssignedRange(
  { first, last, server, address, state }: TrackedRange,
): AssignedRange {
  return { first, last, server, address, isOpen: state === "held" };
}

function canMerge(a: TrackedRange, b: TrackedRange): boolean {
  const isEachHeld = a.state === "held" && b.state === "held";
  const isEachIdle = a.order === null && b.order === null;
  return isEachHeld && isEachIdle && a.server === b.server &&
    a.failures === 0 && b.failures === 0;
}
