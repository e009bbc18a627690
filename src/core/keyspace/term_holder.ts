/**
 * The term holder: gives keys to backend servers and takes them back.
 *
 * A range changes its server only when the change is recorded and the old
 * server either has confirmed its release or cannot hold the keys any more.
 * Orders go out only while the holder's authority lasts.
 *
 * @module
 */
import type { Fleet, TrackedServer } from "../fleet/index.ts";
import { type Assignment, coversAllKeys } from "./assignment.ts";
import type { Exposure } from "./exposure.ts";
import { type HeldRange, vacantRange } from "./held_range.ts";
import type { KeyLoads } from "./key_load.ts";
import {
  answeredEnd,
  type LeaseTiming,
  predecessorEnd,
  unansweredEnd,
} from "./lease_timing.ts";
import { type Candidate, type Move, Placement } from "./placement.ts";
import { RangeTable } from "./range_table.ts";
import type {
  AssignmentWrite,
  KeyspaceEffect,
  OrderOutcome,
} from "./keyspace_effect.ts";

/** Tokens of one term: more than a holder gives out in years. */
const TOKENS_OF_TERM = 2 ** 28;
/** Unanswered orders in a row after which a server counts as lost. */
const FAILURES_TO_LOSE = 2;
/** Pause before an unanswered order is sent again, in milliseconds. */
const RETRY_PAUSE = 150;
/** Time that the news of closed keys takes to the other VMs, in milliseconds:
 * requests sent meanwhile would only be refused by the server. */
const NEWS_TIME = 5;
/** Pause between looks at the balance of load, in milliseconds. */
const BALANCE_INTERVAL = 300;
/** Share of a fair server's work that a piece of a lost server's keys makes at
 * most, so that they are spread. */
const PIECE_SHARE = 0.5;
/** Bounds of the measured relative speed of a server. */
const SLOWEST = 0.35;
const FASTEST = 2;
/** Ranges of one service that may be on the move at a time, at least, and as a
 * share of its servers. Keys wait while they move, for as long as the work that
 * runs on them. */
const FEWEST_MOVES = 6;
const MOVES_PER_SERVER = 0.25;
/** Ranges of a service above which none is split: each costs a renewal. Few
 * servers need several each to be even; of many, most need no more than two. */
const RANGES_OF_FEW = 6;
const RANGES_OF_MANY = 2;
const SPARE_RANGES = 64;

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

/** A write that the store has not confirmed. */
interface PendingWrite {
  effect: AssignmentWrite;
  /** Revisions that it records, by service. */
  revisions: Map<string, number>;
  /** When to send it again; Infinity while it is in flight. */
  sendAt: number;
}

/** Changes of the assignments after a version. */
export interface AssignmentChanges {
  since: number;
  assignments: Assignment[];
}

/** An order that is in flight. */
interface Order {
  table: RangeTable;
  range: HeldRange;
  kind: "grant" | "release";
  sentAt: number;
  hold: number;
}

/** See the module's comment. */
export class TermHolder {
  readonly #tables = new Map<string, RangeTable>();
  readonly #orders = new Map<number, Order>();
  readonly #balancedAt = new Map<string, number>();
  /** The write that is not confirmed yet, or null. */
  #write: PendingWrite | null = null;
  #writeNumber = 0;
  /** Before this no move for balance begins. */
  #movesFrom = -Infinity;
  #tokenNumber = 0;
  #publishedVersion = 0;
  #effects: KeyspaceEffect[] = [];

  private constructor(
    readonly term: number,
    private readonly timing: LeaseTiming,
    private readonly fleet: Fleet,
    private readonly loads: KeyLoads,
    private readonly nextOrder: () => number,
  ) {}

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
      for (const range of table.ranges) range.token = holder.#nextToken();
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

  /** Whether keys wait for a sign that the store answers. */
  get isStoreWanted(): boolean {
    return [...this.#tables.values()].some(({ ranges }) =>
      ranges.some(({ state }) => state === "released")
    );
  }

  /** All assignments as they stand. */
  get assignments(): Assignment[] {
    return [...this.#tables.values()].map((table) =>
      table.snapshot(this.term, this.version)
    );
  }

  /**
   * Until when servers may hold keys by this holder's grants and by those that
   * it took over. Only for a holder that gives no more orders.
   */
  exposures(now: number): Exposure[] {
    return [...this.#tables.values()].flatMap(({ service, ranges }) =>
      ranges.map((range) => {
        const { first, last } = range;
        const remaining = Math.max(0, this.#heldUntil(range) - now);
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
        if (range.isFenced) continue;
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

  /**
   * What has changed since this was asked last, for VMs that know what it
   * returned then: ranges that take the place of the same keys before.
   */
  takeChanges(): AssignmentChanges {
    const since = this.#publishedVersion;
    const { version } = this;
    this.#publishedVersion = version;
    const assignments = [...this.#tables.values()].map((table) =>
      table.takeChanges(this.term, version)
    );
    return { since, assignments };
  }

  /** The ranges of a service, for operators. */
  ranges(service: string): readonly HeldRange[] {
    return this.#tables.get(service)?.ranges ?? [];
  }

  /**
   * Takes all steps that are due. `authorityEnd` is until when orders may be
   * sent, `storeSilence` for how long the store has not answered.
   */
  advance(
    services: readonly string[],
    now: number,
    authorityEnd: number,
    storeSilence: number,
  ): KeyspaceEffect[] {
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

  /** The write in flight got no answer that counts. */
  writeAgain(now: number): void {
    if (this.#write !== null) this.#write.sendAt = now + RETRY_PAUSE;
  }

  /** The store confirmed the write in flight. */
  written(): void {
    for (const [service, revision] of this.#write?.revisions ?? []) {
      const table = this.#tables.get(service);
      if (table !== undefined) table.recorded = revision;
    }
    this.#write = null;
  }

  /** An order ended. Returns false when a newer holder was found out. */
  ordered(id: number, outcome: OrderOutcome, now: number): boolean {
    const order = this.#orders.get(id);
    if (order === undefined) return true;
    this.#orders.delete(id);
    order.range.order = null;
    if (outcome.kind === "superseded") return false;
    if (order.kind === "grant") this.#granted(order, outcome, now);
    else this.#released(order, outcome, now);
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
    for (const range of [...table.ranges]) {
      this.#advanceRange(table, range, now, hold, storeSilence);
    }
    this.#assignVacant(table, now);
    const mayMove = storeSilence <= MOVE_SILENCE && now >= this.#movesFrom;
    if (mayMove) this.#balance(table, now);
    this.#record(now);
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
        if (this.#mustLeave(range)) this.#close(table, range, now);
        else if (now >= range.dueAt || range.hold < hold) {
          this.#grant(table, range, now, hold);
        }
        return;
      case "closing":
        if (now >= range.dueAt) this.#takeBack(table, range, now, hold);
        return;
      case "released":
        return this.#passOn(table, range, now, hold, storeSilence);
      case "expiring":
        if (this.#isFree(range, now)) this.#vacate(table, range);
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
    const server = this.fleet.get(range.server!);
    const mayReturn = server !== undefined && !server.entry.isDraining;
    if (isStoreHeard || !mayReturn) return this.#vacate(table, range);
    if (now < range.releasedAt + STORE_PATIENCE) return;
    range.destination = null;
    this.#movesFrom = now + MOVE_PAUSE;
    this.#give(table, range, range.server!, now);
    // It is the server on record, so nothing has to be written first.
    range.revision = Math.min(range.revision, table.recorded);
    this.#grant(table, range, now, hold);
  }

  /** Whether the server of a held range has failed or is leaving. */
  #mustLeave(range: HeldRange): boolean {
    if (range.failures >= FAILURES_TO_LOSE) return true;
    const server = this.fleet.get(range.server!);
    return server === undefined || server.entry.isDraining;
  }

  #isFree(range: HeldRange, now: number): boolean {
    if (now >= this.#heldUntil(range)) return true;
    // Another run at its address proves that the server has ended.
    return range.address !== null &&
      this.fleet.isReused(range.address, range.server!);
  }

  /** Until when the server of a range may hold its keys at the latest. */
  #heldUntil(range: HeldRange): number {
    const order = range.order === null
      ? undefined
      : this.#orders.get(range.order);
    const inFlight = order?.kind === "grant"
      ? unansweredEnd(order.sentAt, order.hold, this.timing)
      : 0;
    const inherited = range.isFenced ? 0 : range.inheritedEnd;
    return Math.max(range.leaseEnd, range.doubtEnd, inherited, inFlight);
  }

  #close(table: RangeTable, range: HeldRange, now: number): void {
    const isLost = range.failures >= FAILURES_TO_LOSE;
    range.state = isLost ? "expiring" : "closing";
    range.dueAt = now + NEWS_TIME;
    table.changed(range);
  }

  #vacate(table: RangeTable, range: HeldRange): void {
    const vacant = vacantRange(range, 0);
    vacant.handover = range.handover;
    vacant.destination = range.destination;
    Object.assign(range, vacant);
    table.changed(range);
  }

  /** Asks for the release, or first makes sure that older holders are fenced. */
  #takeBack(
    table: RangeTable,
    range: HeldRange,
    now: number,
    hold: number,
  ): void {
    if (!range.isFenced) return this.#grant(table, range, now, hold);
    const id = this.#order(table, range, "release", now, 0);
    this.#effects.push({
      kind: "order.release",
      order: id,
      service: table.service,
      server: range.server!,
      address: range.address!,
      first: range.first,
      last: range.last,
      token: this.#nextToken(),
    });
  }

  #grant(
    table: RangeTable,
    range: HeldRange,
    now: number,
    hold: number,
  ): void {
    const address = this.fleet.get(range.server!)?.entry.address;
    range.address = address ?? range.address;
    if (range.address === null) {
      range.state = "expiring";
      return;
    }
    const id = this.#order(table, range, "grant", now, hold);
    range.hold = hold;
    this.#effects.push({
      kind: "order.grant",
      order: id,
      service: table.service,
      server: range.server!,
      address: range.address,
      first: range.first,
      last: range.last,
      token: range.token,
      hold,
      handover: range.handover,
    });
  }

  #order(
    table: RangeTable,
    range: HeldRange,
    kind: Order["kind"],
    now: number,
    hold: number,
  ): number {
    const id = this.nextOrder();
    range.order = id;
    this.#orders.set(id, { table, range, kind, sentAt: now, hold });
    return id;
  }

  #granted(order: Order, outcome: OrderOutcome, now: number): void {
    const { table, range } = order;
    if (outcome.kind === "failed") return this.#failed(order, now);
    range.failures = 0;
    range.isFenced = true;
    range.handover = null;
    range.leaseEnd = Math.max(range.leaseEnd, answeredEnd(now, order.hold));
    range.dueAt = order.sentAt + this.timing.renewal;
    if (range.state === "closing") range.dueAt = now;
    if (range.state !== "assigned") return;
    range.state = "held";
    range.destination = null;
    table.changed(range);
  }

  #failed({ range, sentAt, hold }: Order, now: number): void {
    const end = unansweredEnd(sentAt, hold, this.timing);
    range.doubtEnd = Math.max(range.doubtEnd, end);
    range.failures += 1;
    range.dueAt = now + RETRY_PAUSE;
    const isLost = range.failures >= FAILURES_TO_LOSE;
    if (isLost && range.state !== "held") range.state = "expiring";
  }

  #released(order: Order, outcome: OrderOutcome, now: number): void {
    const { range } = order;
    if (outcome.kind !== "accepted") {
      range.state = "expiring";
      return;
    }
    range.handover = outcome.handover;
    range.leaseEnd = 0;
    range.releasedAt = now;
    range.state = this.#heldUntil(range) > now ? "expiring" : "released";
  }

  /** Gives ranges without a server to the servers with most room. */
  #assignVacant(table: RangeTable, now: number): void {
    const vacant = table.ranges.filter((each) => each.state === "vacant");
    if (vacant.length === 0) return;
    const candidates = this.#candidates(table.service, now);
    if (candidates.length === 0) return;
    const placement = this.#placement(table, candidates, now);
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
        this.#give(table, piece, server!, now);
      }
    }
  }

  /** Gives a range without a holder to a server, once that is recorded. */
  #give(
    table: RangeTable,
    range: HeldRange,
    server: string,
    now: number,
  ): void {
    range.state = "assigned";
    range.server = server;
    range.address = this.fleet.get(server)?.entry.address ?? null;
    range.token = this.#nextToken();
    range.isFenced = false;
    range.dueAt = now;
    table.changed(range);
  }

  #balance(table: RangeTable, now: number): void {
    const balancedAt = this.#balancedAt.get(table.service) ?? 0;
    if (now < balancedAt + BALANCE_INTERVAL) return;
    this.#balancedAt.set(table.service, now);
    const moving = table.ranges.filter((each) => each.state !== "held").length;
    const { length: servers } = this.fleet.of(table.service);
    const most = Math.max(FEWEST_MOVES, Math.ceil(MOVES_PER_SERVER * servers));
    if (moving >= most) return;
    table.joinNeighbours(now, () => this.#nextToken());
    const candidates = this.#candidates(table.service, now);
    if (table.ranges.length > mostRanges(candidates.length)) return;
    const placement = this.#placement(table, candidates, now);
    const moves = placement.moves(table.ranges);
    for (const move of moves.slice(0, most - moving)) {
      this.#move(table, move, now);
    }
  }

  #move(table: RangeTable, { range, piece, destination }: Move, now: number) {
    const moving = table.cut(range, piece);
    moving.destination = destination;
    moving.state = "closing";
    moving.dueAt = now + NEWS_TIME;
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

  #placement(
    table: RangeTable,
    candidates: readonly Candidate[],
    now: number,
  ): Placement {
    const samples = this.loads.of(table.service).sorted(now);
    return Placement.create(samples, candidates);
  }

  /** Servers that may get keys, with their measured speeds. */
  #candidates(service: string, now: number): Candidate[] {
    const usual = this.fleet.usualLatency(service, now);
    const usable = this.fleet.of(service).filter((each) =>
      !each.entry.isDraining
    );
    const sound = usable.filter((each) => !this.#isSuspect(each, now, usual));
    return (sound.length > 0 ? sound : usable).map((server) => ({
      id: server.id,
      speed: relativeSpeed(server, usual),
    }));
  }

  #isSuspect(server: TrackedServer, now: number, usual: number): boolean {
    if (server.isPaused(now) || server.isSilent(now, usual)) return true;
    for (const table of this.#tables.values()) {
      for (const range of table.ranges) {
        if (range.server === server.id && range.failures > 0) return true;
      }
    }
    return false;
  }

  /** Records what has changed, one write at a time; one without an answer is
   * repeated under its number, which the store carries out once. */
  #record(now: number): void {
    if (this.#write !== null) {
      if (now < this.#write.sendAt) return;
      this.#write.sendAt = Infinity;
      this.#effects.push(this.#write.effect);
      return;
    }
    const dirty = [...this.#tables.values()].filter((each) => each.isDirty);
    if (dirty.length === 0) return;
    this.#writeNumber += 1;
    const effect: AssignmentWrite = {
      kind: "assignments.write",
      term: this.term,
      sequence: this.#writeNumber,
      assignments: dirty.map((table) =>
        table.snapshot(this.term, this.version)
      ),
    };
    this.#write = {
      effect,
      revisions: new Map(dirty.map((each) => [each.service, each.revision])),
      sendAt: Infinity,
    };
    this.#effects.push(effect);
  }

  #nextToken(): number {
    this.#tokenNumber += 1;
    return this.term * TOKENS_OF_TERM + this.#tokenNumber;
  }

  #take(): KeyspaceEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}

/** Ranges that a service with so many servers may be divided into. */
function mostRanges(servers: number): number {
  return Math.min(
    RANGES_OF_FEW * servers,
    RANGES_OF_MANY * servers + SPARE_RANGES,
  );
}

function relativeSpeed(server: TrackedServer, usual: number): number {
  if (server.latency === null || usual === 0) return 1;
  return Math.min(FASTEST, Math.max(SLOWEST, usual / server.latency));
}
