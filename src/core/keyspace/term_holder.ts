/**
 * The term holder: gives keys to backend servers and takes them back.
 *
 * A range changes its server only when the change is recorded and the old
 * server either has confirmed its release or cannot hold the keys any more.
 * Orders go out only while the holder's authority lasts.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import { type Assignment, coversAllKeys } from "./assignment.ts";
import type { Exposure } from "./exposure.ts";
import type { HeldRange } from "./held_range.ts";
import { KeyBalance } from "./key_balance.ts";
import type { KeyLoads } from "./key_load.ts";
import { type LeaseTiming, predecessorEnd } from "./lease_timing.ts";
import { OrderBook } from "./order_book.ts";
import { OrderOutcomes } from "./order_outcomes.ts";
import type { Move } from "./placement.ts";
import { RecordWriter } from "./record_writer.ts";
import { RangeServers } from "./range_servers.ts";
import { RangeTable } from "./range_table.ts";
import { NEWS_TIME, RangeTransitions } from "./range_transitions.ts";
import type { KeyspaceEffect, OrderOutcome } from "./keyspace_effect.ts";

/** Share of a fair server's work that a piece of a lost server's keys makes at
 * most, so that they are spread. */
const PIECE_SHARE = 0.5;
/** Time that keys wait for a sign of the store before they go back to the server
 * that had them, in milliseconds: the store answers in 4 ms as a rule. */
const STORE_PATIENCE = 120;
/** Time after keys went back for which no move for balance begins, in
 * milliseconds: a store that is slow stays so for seconds, and each try makes
 * keys wait. */
const MOVE_PAUSE = 2_000;
/** Silence of the store above which no move for balance begins, in
 * milliseconds: keys that were taken back could not be given out again. */
const MOVE_SILENCE = 700;

/** See the module's comment. */
export class TermHolder {
  /** The record of this term. */
  readonly record: RecordWriter;
  readonly #tables = new Map<string, RangeTable>();
  readonly #orders: OrderBook;
  readonly #balance: KeyBalance;
  readonly #servers: RangeServers;
  readonly #transitions: RangeTransitions;
  readonly #outcomes: OrderOutcomes;
  /** Before this no move for balance begins. */
  #movesFrom = -Infinity;
  #effects: KeyspaceEffect[] = [];

  private constructor(
    readonly term: number,
    private readonly timing: LeaseTiming,
    fleet: Fleet,
    loads: KeyLoads,
    nextOrder: () => number,
  ) {
    this.#orders = OrderBook.create(term, timing, nextOrder);
    this.record = RecordWriter.create(term);
    this.#balance = KeyBalance.create(fleet, loads);
    this.#servers = RangeServers.create(fleet);
    this.#transitions = RangeTransitions.create(this.#servers);
    this.#outcomes = OrderOutcomes.create(
      this.#orders,
      this.#servers,
      this.#transitions,
      timing,
    );
  }

  /**
   * Continues from what is recorded. All orders of older terms were fenced off
   * in the store by `now`.
   */
  static create(
    term: number,
    recorded: readonly Assignment[],
    timing: LeaseTiming,
    fleet: Fleet,
    loads: KeyLoads,
    nextOrder: () => number,
    now: number,
  ): TermHolder {
    const holder = new TermHolder(term, timing, fleet, loads, nextOrder);
    const end = predecessorEnd(now, timing);
    for (const assignment of recorded) {
      const table = RangeTable.resume(assignment, end);
      holder.#tables.set(assignment.service, table);
    }
    return holder;
  }

  /** Number of changes so far; others are told when it grows. */
  get version(): number {
    let changes = 0;
    for (const table of this.#tables.values()) changes += table.revision;
    return changes;
  }

  /** Whether orders are due that the last step had no room for. */
  get isBehind(): boolean {
    return this.#orders.isLimitReached;
  }

  /** Whether keys wait for a sign that the store answers. */
  get isStoreWanted(): boolean {
    return this.#allTables.some(({ ranges }) =>
      ranges.some(({ state }) => state === "released")
    );
  }

  /** All assignments as they stand. */
  get assignments(): Assignment[] {
    return this.#allTables.map((table) =>
      table.snapshot(this.term, this.version)
    );
  }

  /**
   * Until when servers may hold keys by this holder's grants and by those that
   * it took over. Only for a holder that gives no more orders.
   */
  exposures(now: number): Exposure[] {
    return this.#allTables.flatMap(({ service, ranges }) =>
      ranges.map((range) => {
        const { first, last } = range;
        const remaining = Math.max(0, this.#orders.heldUntil(range) - now);
        return { service, first, last, remaining };
      })
    );
  }

  /**
   * Takes the word of the holder before, which gives no more orders, for how
   * long servers may hold keys by its grants.
   */
  relieve(exposures: readonly Exposure[], now: number): void {
    for (const table of this.#tables.values()) {
      const own = exposures.filter((each) => each.service === table.service);
      if (!coversAllKeys(own)) continue;
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

  /** How far each table has changed. */
  get revisions(): ReadonlyMap<string, number> {
    return new Map(
      this.#allTables.map(({ service, revision }) => [service, revision]),
    );
  }

  /**
   * What has changed since the tables stood at `revisions`: ranges that take the
   * place of the same keys before; of a table that was not there all ranges.
   */
  changesSince(revisions: ReadonlyMap<string, number>): Assignment[] {
    const { version } = this;
    return this.#allTables.map((table) =>
      table.changesSince(revisions.get(table.service) ?? -1, this.term, version)
    );
  }

  /** The ranges of a service, for operators. */
  ranges(service: string): readonly HeldRange[] {
    return this.#tables.get(service)?.ranges ?? [];
  }

  /**
   * Takes all steps that are due. `authorityEnd` is until when orders may be
   * sent, `storeSilence` for how long the store has not answered, `mayConnect`
   * whether no other VM can have claimed a term by now, `isTimerEvent` whether the
   * step handles a timer event.
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
    return this.#take();
  }

  /** An order ended. Returns false when a newer holder was found out. */
  ordered(id: number, outcome: OrderOutcome, now: number): boolean {
    const order = this.#orders.end(id, now);
    if (order === undefined) return true;
    if (outcome.kind === "superseded") return false;
    this.#effects.push(...this.#outcomes.take(order, outcome, now));
    return true;
  }

  #advanceService(
    service: string,
    now: number,
    hold: number,
    storeSilence: number,
  ): void {
    let table = this.#tables.get(service);
    if (table === undefined) {
      table = RangeTable.create(service);
      this.#tables.set(service, table);
    }
    for (const range of longestDueFirst(table.ranges)) {
      this.#advanceRange(table, range, now, hold, storeSilence);
    }
    this.#assignVacant(table, now);
    const mayMove = storeSilence <= MOVE_SILENCE && now >= this.#movesFrom;
    const isMoveDue = mayMove && this.#balance.takeTurn(service, now);
    if (isMoveDue && isFullyFenced(table)) this.#startMoves(table, now);
    const { version } = this;
    const write = this.record.advance(this.#allTables, version, now);
    if (write !== null) this.#effects.push(write);
  }

  #advanceRange(
    table: RangeTable,
    range: HeldRange,
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
        if (this.#mustLeave(range, now)) {
          this.#transitions.close(table, range, now);
        } else if (
          now >= range.dueAt || range.hold < hold ||
          this.#servers.isRestarted(range)
        ) {
          this.#grant(table, range, now, hold);
        }
        return;
      case "closing":
        if (now >= range.dueAt) this.#takeBack(table, range, now, hold);
        return;
      case "released":
        return this.#passOn(table, range, now, hold, storeSilence);
      case "expiring":
        if (now >= this.#orders.heldUntil(range)) {
          this.#transitions.vacate(table, range);
        } else if (this.#servers.isRestarted(range)) {
          this.#giveBack(table, range, now, hold);
        } else if (now >= range.dueAt && this.#servers.isReplaced(range)) {
          this.#probe(table, range, now);
        }
    }
  }

  /**
   * Frees the keys of a released range for another server, or gives them back.
   * Once a write that names another server is on its way, only the store knows
   * who is on record, and the keys would wait for the end of an outage; until
   * then it is still the server that had them.
   */
  #passOn(
    table: RangeTable,
    range: HeldRange,
    now: number,
    hold: number,
    storeSilence: number,
  ): void {
    const isStoreHeard = now - storeSilence >= range.releasedAt;
    const mayReturn = this.#servers.isStaying(range.server!);
    if (isStoreHeard || !mayReturn) {
      return this.#transitions.vacate(table, range);
    }
    if (now < range.releasedAt + STORE_PATIENCE) return;
    this.#movesFrom = now + MOVE_PAUSE;
    this.#giveBack(table, range, now, hold);
  }

  /** Grants keys again to the server that is on record for them. */
  #giveBack(
    table: RangeTable,
    range: HeldRange,
    now: number,
    hold: number,
  ): void {
    this.#transitions.reassign(table, range, now);
    this.#grant(table, range, now, hold);
  }

  /** Whether the server of a held range has failed or is leaving. */
  #mustLeave(range: HeldRange, now: number): boolean {
    return this.#servers.isLost(range, now) ||
      this.#servers.hasToLeave(range, now);
  }

  /**
   * Asks whether the server of keys that wait for a lease still listens at its
   * address. Only the answer proves something: the other server that is listed
   * there may have been there before, and may have ended too. It is a release,
   * which gives nobody keys.
   */
  #probe(table: RangeTable, range: HeldRange, now: number): void {
    if (this.#orders.mustWait(range)) return;
    this.#effects.push(this.#orders.release(table, range, now));
  }

  /** Asks for the release, or first makes sure that older holders are fenced. */
  #takeBack(
    table: RangeTable,
    range: HeldRange,
    now: number,
    hold: number,
  ): void {
    if (!range.isFenced) return this.#grant(table, range, now, hold);
    if (this.#orders.mustWait(range)) return;
    this.#effects.push(this.#orders.release(table, range, now));
  }

  #grant(
    table: RangeTable,
    range: HeldRange,
    now: number,
    hold: number,
  ): void {
    if (this.#orders.mustWait(range)) return;
    const server = range.server!;
    range.address = this.#servers.address(server) ?? range.address;
    range.incarnation = this.#servers.incarnation(server);
    if (range.address === null) {
      range.state = "expiring";
      return;
    }
    this.#effects.push(this.#orders.grant(table, range, hold, now));
  }

  /** Gives ranges without a server to the servers with most room. */
  #assignVacant(table: RangeTable, now: number): void {
    const vacant = table.ranges.filter((each) => each.state === "vacant");
    if (vacant.length === 0) return;
    const { service } = table;
    if (table.isNew && !this.#balance.mayBegin(service, now)) return;
    const candidates = this.#balance
      .candidates(service, this.#suspects, now)
      .filter(({ id }) => !this.#servers.hasEnded(id));
    if (candidates.length === 0) return;
    const placement = this.#balance.placement(service, candidates, now);
    const loads = placement.loads(table.ranges);
    const most = PIECE_SHARE / candidates.length;
    for (const range of vacant) {
      const planned = candidates.some(({ id }) => id === range.destination);
      const pieces = planned ? [range] : placement.pieces(range, most);
      let rest = range;
      for (const { first, last } of pieces) {
        const piece = table.cut(rest, { first, last });
        rest = table.ranges[table.ranges.indexOf(piece) + 1] ?? piece;
        const server = planned
          ? range.destination
          : placement.choose(loads, piece);
        this.#transitions.assign(table, piece, server!, now);
      }
    }
  }

  #startMoves(table: RangeTable, now: number): void {
    table.joinNeighbours(now);
    for (const move of this.#balance.moves(table, this.#suspects, now)) {
      this.#move(table, move, now);
    }
  }

  /** Servers that get no further keys for now. */
  get #suspects(): Set<string> {
    return this.#servers.suspects(
      this.#allTables.flatMap(({ ranges }) => ranges),
    );
  }

  get #allTables(): RangeTable[] {
    return [...this.#tables.values()];
  }

  #move(table: RangeTable, { piece, destination }: Move, now: number) {
    const range = table.ranges.find(({ last }) => piece.first <= last)!;
    const moving = table.cut(range, piece);
    moving.destination = destination;
    moving.state = "closing";
    moving.dueAt = now + NEWS_TIME;
    moving.closedAt = now;
    table.changed(moving);
    this.#effects.push({
      kind: "keys.move",
      service: table.service,
      first: moving.first,
      last: moving.last,
      from: moving.server!,
      to: destination,
    });
  }

  #take(): KeyspaceEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}

/** Ranges in the order in which they are looked at: a step has room for some of the
 * orders that are due, and none must wait for ever. */
function longestDueFirst(ranges: readonly HeldRange[]): HeldRange[] {
  return [...ranges].sort((a, b) => a.dueAt - b.dueAt);
}

/** Whether every held range has an accepted grant of this term. Before that, few
 * followers have reported to the holder which keys are requested. */
function isFullyFenced({ ranges }: RangeTable): boolean {
  return ranges.every(({ state, isFenced }) => state !== "held" || isFenced);
}
