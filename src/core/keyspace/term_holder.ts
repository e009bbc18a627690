/**
 * The term holder: assigns keys to backend servers, grants and renews their
 * leases, and orders servers to release keys that move.
 *
 * A range of keys changes its server only after the change is recorded in the
 * store, and after the old server has either confirmed the release or its lease
 * has expired. Orders are sent only while the authority of the term holder
 * lasts.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import {
  type Assignment,
  type ConfirmedRange,
  coversAllKeys,
} from "./assignment.ts";
import type { KeyLoads } from "./key_load.ts";
import { KeyRebalancer } from "./key_rebalancer.ts";
import type { KeyspaceEffect, OrderOutcome } from "./keyspace_effect.ts";
import { type LeaseTiming, predecessorGrantsEnd } from "./lease_timing.ts";
import { OrderOutcomeHandler } from "./order_outcome_handler.ts";
import { OrderTracker, type PendingOrder } from "./order_tracker.ts";
import type { OutstandingLease } from "./outstanding_lease.ts";
import type { Move } from "./placement.ts";
import { RangeServers } from "./range_servers.ts";
import { RangeTable, serversOf } from "./range_table.ts";
import { PROPAGATION_DELAY, RangeTransitions } from "./range_transitions.ts";
import { RecordWriter } from "./record_writer.ts";
import type { TrackedRange } from "./tracked_range.ts";

/**
 * Largest weight of the pieces into which a vacant range is divided, as a share
 * of the mean weight per server. It spreads the keys of a lost server over
 * several servers.
 */
const MAX_PIECE_SHARE = 0.5;
/**
 * Time for which released keys wait for an answer of the store before they are
 * granted again to their former server, in milliseconds. The store usually
 * answers within 4 ms.
 */
const STORE_WAIT_TIMEOUT = 120;
/**
 * Time for which no move for load balance starts after released keys had to be
 * granted again to their former server, in milliseconds. A slow store stays
 * slow for seconds, and each attempt to move keys delays their requests.
 */
const REBALANCE_BACKOFF = 2_000;
/**
 * Time without an answer from the store, in milliseconds, after which no move
 * for load balance starts, because released keys could not be assigned to
 * another server.
 */
const MAX_STORE_SILENCE_FOR_MOVES = 700;

/**
 * Assigns the keys of all services during one term; see the module's comment.
 */
export class TermHolder {
  /** Writes the assignments of this term to the store. */
  readonly recordWriter: RecordWriter;
  readonly #tables = new Map<string, RangeTable>();
  readonly #orders: OrderTracker;
  readonly #rebalancer: KeyRebalancer;
  readonly #servers: RangeServers;
  readonly #transitions: RangeTransitions;
  readonly #outcomeHandler: OrderOutcomeHandler;
  /** Earliest time at which the next move for load balance may start. */
  #nextMoveAt = -Infinity;
  /**
   * Time until which servers may hold keys of services that have no table yet;
   * in the past unless the store has lost the records.
   */
  #unconfirmedUntil = -Infinity;
  /** When the confirmation of the ranges began; Infinity if it has not. */
  #confirmingSince = Infinity;
  #effects: KeyspaceEffect[] = [];

  private constructor(
    readonly term: number,
    private readonly timing: LeaseTiming,
    fleet: Fleet,
    loads: KeyLoads,
    nextOrder: () => number,
    era: number | null,
  ) {
    this.#orders = OrderTracker.create(term, timing, nextOrder);
    this.recordWriter = RecordWriter.create(term, era);
    this.#rebalancer = KeyRebalancer.create(fleet, loads);
    this.#servers = RangeServers.create(fleet);
    this.#transitions = RangeTransitions.create(this.#servers);
    this.#outcomeHandler = OrderOutcomeHandler.create(
      this.#orders,
      this.#servers,
      this.#transitions,
      timing,
    );
  }

  /**
   * Creates a term holder that continues from the recorded assignments. From
   * `now` on, the store must reject all writes of older terms. The term was
   * claimed in the given era of the store.
   */
  static create(
    term: number,
    recorded: readonly Assignment[],
    timing: LeaseTiming,
    fleet: Fleet,
    loads: KeyLoads,
    nextOrder: () => number,
    now: number,
    era: number | null = null,
  ): TermHolder {
    const holder = new TermHolder(term, timing, fleet, loads, nextOrder, era);
    const end = predecessorGrantsEnd(now, timing);
    for (const assignment of recorded) {
      const table = RangeTable.restore(assignment, end);
      holder.#tables.set(assignment.service, table);
    }
    return holder;
  }

  /**
   * Marks the ranges of all services without a table as unconfirmed, since the
   * store has lost which servers hold them. `known` are the last known
   * assignments. From `now` on, the store must reject all writes of older terms.
   */
  addUnconfirmed(known: readonly Assignment[], now: number): void {
    this.#unconfirmedUntil = predecessorGrantsEnd(now, this.timing);
    for (const assignment of known) {
      this.#tableOf(assignment.service, assignment);
    }
  }

  /** Whether it is not known of some range which server holds it. */
  get isUnconfirmed(): boolean {
    return this.#allTables.some((table) => table.isUnconfirmed);
  }

  /**
   * Returns the number of ranges of a service of which it is not known which
   * server holds them.
   */
  unconfirmedCount(service: string): number {
    return this.#tables.get(service)?.unconfirmedCount ?? 0;
  }

  /** Applies ranges that a former term holder has confirmed. */
  adopt(confirmed: readonly ConfirmedRange[], now: number): void {
    for (const each of confirmed) {
      this.#tableOf(each.service).confirm(each, now);
    }
  }

  /**
   * Begins to confirm which servers hold which ranges, after the store has
   * returned from a copy. This term holder sends no other orders from now on.
   *
   * Each server is sent a renewal with the next token of this term, over a
   * connection that is already open. If it accepts, it has received no token of
   * a newer term, and it is the process that has held the keys all the time.
   * Another term holder, whose term the store may have lost, would have moved
   * the keys only after the server had received its token, or after all leases
   * of this term had ended. It would have assigned any keys only after more than
   * half of the servers had received its token (`RangeTable.mayAssign`), so if
   * half of them accept, no keys can be at another server than the recorded one.
   */
  beginConfirmation(now: number): void {
    this.#confirmingSince = now;
    for (const { ranges } of this.#tables.values()) {
      for (const range of ranges) {
        range.confirmation = "pending";
        range.isLastOrderWithheld = false;
      }
    }
  }

  /** Sends the renewals that are due to confirm ranges. */
  advanceConfirmation(now: number, isTimerEvent: boolean): KeyspaceEffect[] {
    this.#orders.beginStep(false, isTimerEvent);
    for (const table of this.#tables.values()) {
      for (const range of sortByDueTime(table.ranges)) {
        this.#confirm(table, range, now);
      }
    }
    return this.#takeEffects();
  }

  /** Whether no range waits for its confirmation. */
  get isConfirmationComplete(): boolean {
    return this.#allTables.every(({ ranges }) =>
      ranges.every(({ confirmation }) => confirmation !== "pending")
    );
  }

  /**
   * Returns the ranges of which it is proved which server may hold them: those
   * that their servers have confirmed, and, if half of the recorded servers have
   * confirmed some, all that are as recorded. Another term holder, whose term
   * the store may have lost, can have renewed the latter at their server.
   */
  confirmedRanges(now: number): ConfirmedRange[] {
    return this.#allTables.flatMap((table) => {
      const records = this.#possibleRecords(table);
      const isConfirmedByHalf = !table.isRecordLost && records.length > 0 &&
        records.every((record) => isConfirmedBy(table.ranges, record));
      return table.ranges.filter((range) =>
        isConfirmed(range) ||
        (isConfirmedByHalf && records.every((each) => isAsIn(each, range)))
      ).map((range) => ({
        service: table.service,
        first: range.first,
        last: range.last,
        server: range.server,
        address: range.address,
        incarnation: range.incarnation,
        isHeld: isConfirmed(range),
        remaining: Math.max(0, this.#orders.heldUntil(range) - now),
      }));
    });
  }

  /**
   * Returns the newest record of a table, and that of an unconfirmed write,
   * which the store may have recorded.
   */
  #possibleRecords({ service, recorded }: RangeTable): Assignment[] {
    const pending = this.recordWriter.pendingAssignment(service);
    return [recorded, pending].flatMap((each) => each ?? []);
  }

  /**
   * Number of changes to the assignments in this term. When it grows, the
   * changes are sent to the other VMs.
   */
  get version(): number {
    let changes = 0;
    for (const table of this.#tables.values()) changes += table.revision;
    return changes;
  }

  /**
   * Whether the last step reached a limit on orders, so that it may have
   * deferred some that are due.
   */
  get hasDeferredOrders(): boolean {
    return this.#orders.isLimitReached;
  }

  /** Whether released keys wait for an answer from the store. */
  get isAwaitingStore(): boolean {
    return this.#allTables.some(({ ranges }) =>
      ranges.some(({ state }) => state === "released")
    );
  }

  /** The current assignments of all services. */
  get assignments(): Assignment[] {
    return this.#allTables.map((table) =>
      table.snapshot(this.term, this.version)
    );
  }

  /**
   * Returns the leases that servers may still have from grants of this term
   * holder or of earlier ones. They are valid only if this term holder sends no
   * more orders.
   */
  outstandingLeases(now: number): OutstandingLease[] {
    return this.#allTables.flatMap(({ service, ranges }) =>
      ranges.map((range) => {
        const { first, last } = range;
        const remaining = Math.max(0, this.#orders.heldUntil(range) - now);
        return { service, first, last, remaining };
      })
    );
  }

  /**
   * Shortens the inherited leases to those that the previous term holder, which
   * sends no more orders, has reported as outstanding.
   */
  applyOutstandingLeases(
    leases: readonly OutstandingLease[],
    now: number,
  ): void {
    for (const table of this.#tables.values()) {
      const own = leases.filter((each) => each.service === table.service);
      if (!coversAllKeys(own)) continue;
      table.formerHolderYielded();
      for (const range of table.ranges) {
        const remaining = own
          .filter(({ first, last }) =>
            first <= range.last && range.first <= last
          )
          .map((each) => each.remaining);
        const end = now + Math.max(0, ...remaining);
        range.inheritedEnd = Math.min(range.inheritedEnd, end);
      }
    }
  }

  /** The revision of each table, by service. */
  get revisions(): ReadonlyMap<string, number> {
    return new Map(
      this.#allTables.map(({ service, revision }) => [service, revision]),
    );
  }

  /**
   * Returns the ranges that have changed since the tables had these
   * `revisions`. They replace the earlier ranges of the same keys. For a table
   * without a revision all ranges are returned.
   */
  changesSince(revisions: ReadonlyMap<string, number>): Assignment[] {
    const { version } = this;
    return this.#allTables.map((table) =>
      table.changesSince(revisions.get(table.service) ?? -1, this.term, version)
    );
  }

  /** Returns the ranges of a service; none if the service is unknown. */
  ranges(service: string): readonly TrackedRange[] {
    return this.#tables.get(service)?.ranges ?? [];
  }

  /**
   * Takes all steps that are due for `services`.
   *
   * `authorityEnd` is the time until which orders may be sent, and
   * `storeSilence` is the time for which the store has not answered, in
   * milliseconds. `mayConnect` tells whether it is certain that no other VM has
   * claimed a term, so that orders may open connections, and `isTimerEvent`
   * tells whether this step handles a timer event.
   */
  advance(
    services: readonly string[],
    now: number,
    authorityEnd: number,
    storeSilence: number,
    mayConnect: boolean,
    isTimerEvent = true,
  ): KeyspaceEffect[] {
    this.#orders.beginStep(mayConnect, isTimerEvent);
    if (now < authorityEnd) {
      const hold = storeSilence > this.timing.storeSilence
        ? this.timing.longHold
        : this.timing.hold;
      for (const service of services) {
        this.#advanceService(service, now, hold, storeSilence);
      }
    }
    return this.#takeEffects();
  }

  /** Returns an order of this term that is in flight, or undefined. */
  pendingOrder(id: number): PendingOrder | undefined {
    return this.#orders.get(id);
  }

  /**
   * Handles the outcome of an order. Returns false if it shows that a newer
   * term holder exists.
   */
  onOrderEnded(id: number, outcome: OrderOutcome, now: number): boolean {
    const order = this.#orders.complete(id, now);
    if (order === undefined) return true;
    if (outcome.kind === "superseded") return false;
    this.#effects.push(...this.#outcomeHandler.handle(order, outcome, now));
    if (order.sentAt >= this.#confirmingSince) {
      const isConfirmed = outcome.kind === "accepted" &&
        order.range.state === "held";
      order.range.confirmation = isConfirmed ? "confirmed" : "failed";
    }
    return true;
  }

  /** Sends the renewal that confirms a range, or marks it as failed. */
  #confirm(table: RangeTable, range: TrackedRange, now: number): void {
    if (range.order !== null || range.confirmation !== "pending") return;
    if (range.state === "released") {
      this.#transitions.reassign(table, range, now);
    }
    const isRecorded = range.state === "assigned" && table.isRecorded(range);
    const isHeld = range.state === "held" || range.state === "closing";
    if ((!isRecorded && !isHeld) || range.isLastOrderWithheld) {
      range.confirmation = "failed";
      return;
    }
    // Keys that were about to be released stay with their server.
    if (range.state === "closing") {
      range.state = "held";
      range.destination = null;
      table.markChanged(range);
    }
    this.#grant(table, range, now, this.timing.hold);
    if (range.order === null && range.state === "expiring") {
      range.confirmation = "failed";
    }
  }

  /** Returns the table of a service, which is created if there is none. */
  #tableOf(service: string, known?: Assignment): RangeTable {
    let table = this.#tables.get(service);
    if (table === undefined) {
      const until = this.#unconfirmedUntil;
      table = until > -Infinity
        ? RangeTable.restoreUnconfirmed(service, known, until)
        : RangeTable.create(service);
      this.#tables.set(service, table);
    }
    return table;
  }

  #advanceService(
    service: string,
    now: number,
    hold: number,
    storeSilence: number,
  ): void {
    const table = this.#tableOf(service);
    for (const range of sortByDueTime(table.ranges)) {
      this.#advanceRange(table, range, now, hold, storeSilence);
    }
    this.#assignVacant(table, now);
    const isMoveDue = this.#mayMove(now, storeSilence) &&
      this.#rebalancer.tryStartCheck(service, now);
    const mayStartMoves = isFullyFenced(table) && !table.isUnconfirmed;
    if (isMoveDue && mayStartMoves) this.#startMoves(table, now);
    const { version } = this;
    const write = this.recordWriter.advance(this.#allTables, version, now);
    if (write !== null) this.#effects.push(write);
  }

  #advanceRange(
    table: RangeTable,
    range: TrackedRange,
    now: number,
    hold: number,
    storeSilence: number,
  ): void {
    if (range.order !== null) return;
    switch (range.state) {
      case "vacant":
        return;
      case "assigned":
        if (table.isRecorded(range) && now >= range.dueAt) {
          this.#grant(table, range, now, hold);
        }
        return;
      case "held":
        if (this.#isCloseDue(table, range, now, storeSilence)) {
          return this.#transitions.close(table, range, now);
        }
        return this.#renew(table, range, now, this.#holdTime(range, hold, now));
      case "closing":
        if (now >= range.dueAt) this.#requestRelease(table, range, now, hold);
        return;
      case "released":
        return this.#advanceReleased(table, range, now, hold, storeSilence);
      case "unconfirmed":
        if (now < this.#orders.heldUntil(range)) return;
        return this.#servers.isAvailable(range.server!)
          ? this.#transitions.assign(table, range, range.server!, now)
          : this.#transitions.vacate(table, range);
      case "expiring":
        if (now >= this.#orders.heldUntil(range)) {
          this.#transitions.vacate(table, range);
        } else if (this.#servers.isRestarted(range)) {
          this.#regrant(table, range, now, hold);
        } else if (now >= range.dueAt && this.#isProbeDue(range)) {
          this.#probe(table, range, now);
        }
    }
  }

  /**
   * Frees the keys of a released range for another server, or, if the store
   * does not answer, grants them again to their former server.
   *
   * Until a write that names another server is sent, the former server is still
   * the recorded one. Once such a write is sent, its result is unknown until
   * the store answers, so the keys would have to wait until an outage of the
   * store ends.
   */
  #advanceReleased(
    table: RangeTable,
    range: TrackedRange,
    now: number,
    hold: number,
    storeSilence: number,
  ): void {
    const hasStoreAnswered = now - storeSilence >= range.releasedAt;
    const mayRegrant = this.#servers.isAvailable(range.server!) ||
      this.#servers.isStillServing(range.server!, now);
    if (hasStoreAnswered || !mayRegrant) {
      return this.#transitions.vacate(table, range);
    }
    if (now < range.releasedAt + STORE_WAIT_TIMEOUT) return;
    this.#nextMoveAt = now + REBALANCE_BACKOFF;
    this.#regrant(table, range, now, hold);
  }

  /** Grants keys again to the server that is recorded for them. */
  #regrant(
    table: RangeTable,
    range: TrackedRange,
    now: number,
    hold: number,
  ): void {
    this.#transitions.reassign(table, range, now);
    this.#grant(table, range, now, hold);
  }

  /**
   * Whether the server of a held range is lost, or has to release the range
   * because it is leaving or refuses the requests for it. While a leaving server
   * still gets requests for its keys, it keeps them if they cannot move, as
   * during an outage of the store or if all servers are leaving.
   */
  #isCloseDue(
    { service }: RangeTable,
    range: TrackedRange,
    now: number,
    storeSilence: number,
  ): boolean {
    const server = range.server!;
    if (this.#servers.isLost(range, now)) return true;
    const mayMove = this.#mayMove(now, storeSilence);
    if (this.#servers.isStillServing(server, now)) {
      return mayMove && this.#rebalancer.hasStayingServers(service);
    }
    const isRefused = mayMove && this.#servers.isRefusingKeys(server, now) &&
      this.#rebalancer.hasSpareServers(service, now);
    return isRefused || this.#servers.isReleaseDue(range, now);
  }

  /**
   * Hold time of the next grant of a range: if its server accepts no orders for
   * a while, the lease should last through that time.
   */
  #holdTime({ server }: TrackedRange, hold: number, now: number): number {
    const backoff = this.#servers.backoffUntil(server!) - now;
    if (backoff <= 0) return hold;
    const { hold: usualHold, longHold } = this.timing;
    return Math.max(hold, Math.min(longHold, backoff + usualHold));
  }

  /** Renews the grant of a range if that is due. */
  #renew(
    table: RangeTable,
    range: TrackedRange,
    now: number,
    hold: number,
  ): void {
    const isDue = now >= range.dueAt || range.hold < hold ||
      this.#servers.isRestarted(range);
    if (isDue) this.#grant(table, range, now, hold);
  }

  /** Whether keys that are released now can probably be assigned soon. */
  #mayMove(now: number, storeSilence: number): boolean {
    return storeSilence <= MAX_STORE_SILENCE_FOR_MOVES &&
      now >= this.#nextMoveAt;
  }

  /**
   * Whether the server of an expiring range may accept orders: another server
   * is listed at its address too, or the release was lost on its path.
   */
  #isProbeDue(range: TrackedRange): boolean {
    return range.isPathLost || this.#servers.isAddressReused(range);
  }

  /**
   * Checks whether the server of an expiring range still listens at its
   * address. The entry of another server at the address proves nothing, because
   * that server may have been there earlier and may have ended too. The check
   * is a release order, because it grants keys to no server.
   */
  #probe(table: RangeTable, range: TrackedRange, now: number): void {
    if (this.#orders.isDeferred(range)) return;
    this.#effects.push(this.#orders.release(table, range, now));
  }

  /**
   * Orders the release of a range. If its server has accepted no grant of this
   * term yet, a grant is sent first, which fences older term holders.
   */
  #requestRelease(
    table: RangeTable,
    range: TrackedRange,
    now: number,
    hold: number,
  ): void {
    if (!range.isFenced) return this.#grant(table, range, now, hold);
    if (this.#orders.isDeferred(range)) return;
    this.#effects.push(this.#orders.release(table, range, now));
  }

  #grant(
    table: RangeTable,
    range: TrackedRange,
    now: number,
    hold: number,
  ): void {
    if (this.#orders.isDeferred(range)) return;
    const server = range.server!;
    range.address = this.#servers.address(server) ?? range.address;
    range.incarnation = this.#servers.incarnation(server);
    if (range.address === null) {
      range.state = "expiring";
      return;
    }
    this.#effects.push(this.#orders.grant(table, range, hold, now));
  }

  /** Assigns vacant ranges to the servers with the lowest load. */
  #assignVacant(table: RangeTable, now: number): void {
    const vacant = table.ranges.filter((each) => each.state === "vacant");
    if (vacant.length === 0 || !table.mayAssign(now)) return;
    const { service } = table;
    if (
      table.isNeverAssigned &&
      !this.#rebalancer.mayAssignInitially(service, now)
    ) return;
    const eligible = this.#rebalancer
      .eligibleServers(service, this.#suspectedServers, now)
      .filter(({ id }) => !this.#servers.hasEnded(id));
    if (eligible.length === 0) return;
    const placement = this.#rebalancer.placement(service, eligible, now);
    const loads = placement.loads(table.ranges);
    const maxPieceWeight = MAX_PIECE_SHARE / eligible.length;
    for (const range of vacant) {
      const isDestinationEligible = eligible.some(({ id }) =>
        id === range.destination
      );
      const pieces = isDestinationEligible
        ? [range]
        : placement.split(range, maxPieceWeight);
      let rest = range;
      for (const { first, last } of pieces) {
        const piece = table.split(rest, { first, last });
        rest = table.ranges[table.ranges.indexOf(piece) + 1] ?? piece;
        const server = isDestinationEligible
          ? range.destination
          : placement.choose(loads, piece);
        this.#transitions.assign(table, piece, server!, now);
      }
    }
  }

  #startMoves(table: RangeTable, now: number): void {
    table.mergeAdjacent(
      now,
      (server) => this.#servers.isBackedOff(server, now),
    );
    for (
      const move of this.#rebalancer.moves(table, this.#suspectedServers, now)
    ) {
      this.#startMove(table, move, now);
    }
  }

  /** Ids of servers that should get no more keys for now. */
  get #suspectedServers(): Set<string> {
    return this.#servers.suspectedServers(
      this.#allTables.flatMap(({ ranges }) => ranges),
    );
  }

  get #allTables(): RangeTable[] {
    return [...this.#tables.values()];
  }

  #startMove(table: RangeTable, { piece, destination }: Move, now: number) {
    const range = table.ranges.find(({ last }) => piece.first <= last)!;
    if (this.#servers.isBackedOff(range.server!, now)) return;
    // A grant without an answer may arrive after the release, so the keys would
    // have no server until its lease has ended.
    if (range.unansweredEnd > now) return;
    const moving = table.split(range, piece);
    moving.destination = destination;
    moving.state = "closing";
    moving.dueAt = now + PROPAGATION_DELAY;
    moving.closedAt = now;
    table.markChanged(moving);
    this.#effects.push({
      kind: "keys.move",
      service: table.service,
      first: moving.first,
      last: moving.last,
      from: moving.server!,
      to: destination,
    });
  }

  #takeEffects(): KeyspaceEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}

/**
 * Returns the ranges in ascending order of their due times. A step can send
 * only some of the due orders, and this sequence prevents starvation of ranges.
 */
function sortByDueTime(ranges: readonly TrackedRange[]): TrackedRange[] {
  return [...ranges].sort((a, b) => a.dueAt - b.dueAt);
}

/** Whether half of the servers that a record names have confirmed ranges. */
function isConfirmedBy(
  ranges: readonly TrackedRange[],
  record: Assignment,
): boolean {
  const servers = serversOf(record);
  const confirmed = new Set(
    ranges.filter(isConfirmed).map(({ server }) => server!),
  );
  const count = [...servers].filter((each) => confirmed.has(each)).length;
  return count > 0 && count * 2 >= servers.size;
}

/** Whether a record names the same server for all keys of a range. */
function isAsIn(record: Assignment, range: TrackedRange): boolean {
  return record.ranges.every(({ first, last, server }) =>
    server === range.server || first > range.last || last < range.first
  );
}

/** Whether the server of a range has proved that it still holds the keys. */
function isConfirmed({ confirmation, state }: TrackedRange): boolean {
  return confirmation === "confirmed" && state === "held";
}

/**
 * Whether the server of every held range has accepted a grant of this term.
 * Before that, few VMs have reported to the term holder which keys are
 * requested, so its load data are incomplete.
 */
function isFullyFenced({ ranges }: RangeTable): boolean {
  return ranges.every(({ state, isFenced }) => state !== "held" || isFenced);
}
