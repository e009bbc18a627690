/**
 * All ranges of one service at the term holder, with the count of changes that
 * tells which of them are recorded.
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
import { type HeldRange, vacantRange } from "./held_range.ts";

/** See the module's comment. */
export class RangeTable {
  /** Changes so far. */
  revision = 0;
  /** Changes that the store has confirmed. */
  recorded = 0;

  private constructor(
    readonly service: string,
    public ranges: HeldRange[],
  ) {}

  /** A table in which no key is held. */
  static create(service: string): RangeTable {
    const all = { first: 0, last: KEY_COUNT - 1 };
    return new RangeTable(service, [vacantRange(all, 0)]);
  }

  /**
   * Continues what an older holder recorded. Its servers are to be granted
   * their keys anew; one that does not answer may hold them until
   * `predecessorEnd`.
   */
  static resume(
    assignment: Assignment,
    predecessorEnd: number,
  ): RangeTable {
    if (!coversAllKeys(assignment.ranges)) {
      throw new RangeError(`ranges of ${assignment.service} have gaps`);
    }
    const ranges = assignment.ranges.map((each): HeldRange => {
      const range = vacantRange(each, 0);
      if (each.server === null) return range;
      range.state = "held";
      range.server = each.server;
      range.address = each.address;
      range.inheritedEnd = predecessorEnd;
      return range;
    });
    return new RangeTable(assignment.service, ranges);
  }

  /** Whether some range got a server that is not recorded: all else that
   * changes need not outlive the holder. */
  get isDirty(): boolean {
    return this.ranges.some((each) =>
      each.state === "assigned" && !this.isRecorded(each)
    );
  }

  /** Whether no key was ever given to a server. */
  get isNew(): boolean {
    return this.ranges.every(({ state, revision }) =>
      state === "vacant" && revision === 0
    );
  }

  /** Notes that `range` has changed in a way that others have to know. */
  changed(range: HeldRange): void {
    this.revision += 1;
    range.revision = this.revision;
  }

  /** Whether the state of `range` is recorded. */
  isRecorded(range: HeldRange): boolean {
    return range.revision <= this.recorded;
  }

  /** All ranges as others are told. */
  snapshot(term: number, version: number): Assignment {
    const ranges = this.ranges.map(describeRange);
    return { service: this.service, term, version, ranges };
  }

  /** The ranges that have changed after `revision`; -1 for all. */
  changesSince(revision: number, term: number, version: number): Assignment {
    const ranges = this.ranges
      .filter((each) => each.revision > revision)
      .map(describeRange);
    return { service: this.service, term, version, ranges };
  }

  /**
   * Cuts `piece` out of `range` and returns it; the rest stays as it is. Only
   * for a range without an order in flight.
   */
  cut(range: HeldRange, piece: KeyRange): HeldRange {
    const parts: HeldRange[] = [];
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

  /** Joins neighbours that one server holds, so that one order renews them. */
  joinNeighbours(now: number): void {
    const joined: HeldRange[] = [];
    for (const range of this.ranges) {
      const before = joined.at(-1);
      if (before === undefined || !canJoin(before, range)) {
        joined.push(range);
        continue;
      }
      before.last = range.last;
      before.leaseEnd = Math.max(before.leaseEnd, range.leaseEnd);
      before.inheritedEnd = Math.max(before.inheritedEnd, range.inheritedEnd);
      before.orderEndedAt = Math.max(before.orderEndedAt, range.orderEndedAt);
      before.doubtEnd = Math.max(before.doubtEnd, range.doubtEnd);
      before.isFenced = before.isFenced && range.isFenced;
      before.revision = Math.max(before.revision, range.revision);
      before.dueAt = now;
    }
    this.ranges = joined;
  }
}

function describeRange(
  { first, last, server, address, state }: HeldRange,
): AssignedRange {
  return { first, last, server, address, isOpen: state === "held" };
}

function canJoin(a: HeldRange, b: HeldRange): boolean {
  const areHeld = a.state === "held" && b.state === "held";
  const areIdle = a.order === null && b.order === null;
  return areHeld && areIdle && a.server === b.server &&
    a.failures === 0 && b.failures === 0;
}
