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
  type ConfirmedRange,
  coversAllKeys,
  KEY_COUNT,
  type KeyRange,
} from "./assignment.ts";
import { type TrackedRange, vacantRange } from "./tracked_range.ts";

/** Id that stands for an unknown server; no server has an empty id. */
const UNKNOWN_SERVER = "";

/** Ranges of one service; see the module's comment. */
export class RangeTable {
  /** Number of changes so far. */
  revision = 0;
  /** Newest revision that the store has confirmed. */
  recordedRevision = 0;
  /** The newest record; null if there is none. */
  recorded: Assignment | null = null;
  /** Servers that the record named when this term began. */
  #inheritedServers: ReadonlySet<string> = new Set();
  /**
   * Those of them that have accepted a grant of this term, or whose process has
   * ended.
   */
  readonly #settledServers = new Set<string>();
  /**
   * Time from which vacant keys may be assigned whichever servers have accepted
   * a grant.
   */
  #assignableAt = -Infinity;
  /**
   * Whether the store has lost its record of the table, so that all ranges have
   * to be recorded.
   */
  isRecordLost = false;

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
    const table = new RangeTable(assignment.service, ranges);
    table.recorded = assignment;
    table.#inheritedServers = serversOf(assignment);
    table.#assignableAt = predecessorEnd;
    return table;
  }

  /**
   * Restores the ranges that a server was last known to hold, or none, after
   * the store has lost which servers hold them. Until `predecessorEnd`, any
   * server may hold any of them.
   */
  static restoreUnconfirmed(
    service: string,
    known: Assignment | undefined,
    predecessorEnd: number,
  ): RangeTable {
    const isComplete = known !== undefined && coversAllKeys(known.ranges);
    const ranges = isComplete ? known.ranges : [{
      first: 0,
      last: KEY_COUNT - 1,
      server: null,
      address: null,
    }];
    const table = new RangeTable(
      service,
      ranges.map((each): TrackedRange => ({
        ...vacantRange(each, 0),
        state: "unconfirmed",
        server: each.server ?? UNKNOWN_SERVER,
        address: each.address,
        inheritedEnd: predecessorEnd,
      })),
    );
    table.isRecordLost = true;
    return table;
  }

  /**
   * Records that a server has accepted a grant of this term, or that its process
   * has ended: neither accepts orders of an older term any more.
   */
  recordSettled(server: string): void {
    if (this.#inheritedServers.has(server)) this.#settledServers.add(server);
  }

  /**
   * Whether vacant keys may be assigned. At the beginning of a term, more than
   * half of the recorded servers must have accepted a grant of this term before,
   * or have ended. If the store then loses the term, a former term holder from
   * which half of these servers still accept orders can conclude that no keys
   * were assigned.
   */
  mayAssign(now: number): boolean {
    const { size } = this.#inheritedServers;
    return now >= this.#assignableAt || this.#settledServers.size * 2 > size ||
      size === 0;
  }

  /** Applies that the former term holder sends no more orders. */
  formerHolderYielded(): void {
    this.#assignableAt = -Infinity;
  }

  /**
   * Applies that only this server, or none, may hold a range. `now` is the time.
   * Has no effect on keys that are not unconfirmed.
   */
  confirm(
    confirmed: ConfirmedRange,
    now: number,
  ): void {
    const { first, last, server, address, incarnation } = confirmed;
    const overlapping = this.ranges.filter((each) =>
      each.state === "unconfirmed" && each.first <= last && first <= each.last
    );
    for (const each of overlapping) {
      const range = this.split(each, {
        first: Math.max(first, each.first),
        last: Math.min(last, each.last),
      });
      if (server === null) Object.assign(range, vacantRange(range, 0));
      else {
        Object.assign(range, {
          state: "held",
          server,
          address,
          addresses: address === null ? [] : [address],
          incarnation,
          inheritedEnd: confirmed.isHeld
            ? now + confirmed.remaining
            : range.inheritedEnd,
          dueAt: now,
        });
      }
      this.markChanged(range);
      this.isRecordLost = true;
    }
  }

  /** Number of ranges of which it is not known which server holds them. */
  get unconfirmedCount(): number {
    return this.ranges.filter(({ state }) => state === "unconfirmed").length;
  }

  /** Whether it is not known of some range which server holds it. */
  get isUnconfirmed(): boolean {
    return this.ranges.some(({ state }) => state === "unconfirmed");
  }

  /**
   * Whether some range is assigned to a server that is not recorded yet. Only
   * such changes have to be recorded for the next term holder.
   */
  get isDirty(): boolean {
    if (this.isRecordLost) return true;
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
    return !this.isRecordLost && range.revision <= this.recordedRevision;
  }

  /** Returns all ranges as an assignment, for the store and other VMs. */
  snapshot(term: number, version: number): Assignment {
    const ranges = this.ranges.map(toAssignedRange);
    return { service: this.service, term, version, ranges };
  }

  /**
   * Returns all ranges as an assignment to record. Unconfirmed ones have an
   * unknown server, so that a successor also waits until all leases have ended.
   */
  record(term: number, version: number): Assignment {
    const ranges = this.ranges.map((range) =>
      range.state === "unconfirmed"
        ? {
          ...toAssignedRange(range),
          server: UNKNOWN_SERVER,
          address: null,
          isOpen: false,
        }
        : toAssignedRange(range)
    );
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

/** Returns the servers that an assignment names. */
export function serversOf({ ranges }: Assignment): ReadonlySet<string> {
  const servers = ranges.flatMap(({ server }) => server ? [server] : []);
  return new Set(servers);
}

function toAssignedRange(
  { first, last, server, address, state }: TrackedRange,
): AssignedRange {
  // The last known server of an unconfirmed range probably still holds it.
  const isOpen = state === "held" ||
    (state === "unconfirmed" && server !== UNKNOWN_SERVER);
  return { first, last, server, address, isOpen };
}

function canMerge(a: TrackedRange, b: TrackedRange): boolean {
  const isEachHeld = a.state === "held" && b.state === "held";
  const isEachIdle = a.order === null && b.order === null;
  return isEachHeld && isEachIdle && a.server === b.server &&
    a.failures === 0 && b.failures === 0;
}
