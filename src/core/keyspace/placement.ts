/**
 * Decides from the measured load which server should hold which keys.
 *
 * The weight of a range is its share of all work of its service. The load of a
 * server is the weight of its ranges divided by its speed. The fair load is the
 * load of each server if the weight were divided in proportion to the speeds.
 *
 * @module
 */
import { KEY_COUNT, keyCount, type KeyRange } from "./assignment.ts";
import { countInRange } from "./key_load.ts";
import type { TrackedRange } from "./tracked_range.ts";

/**
 * Share of a range's weight that its number of keys determines; its number of
 * requests determines the rest. So keys without requests are spread over the
 * servers too, but with little weight.
 */
const KEY_COUNT_WEIGHT = 0.2;
/**
 * Number of samples below which the number of requests is not significant and
 * only the number of keys counts.
 */
const MIN_SAMPLES = 30;
/**
 * Ratio of a server's load to the fair load above which keys move away from it.
 * Requests for moving keys wait for the running requests of these keys, so
 * small differences are not corrected.
 */
const OVERLOAD_RATIO = 1.35;
/**
 * Standard deviations by which a server's load must exceed the fair load. The
 * samples of a second vary by chance, and moves that follow this variation have
 * no benefit.
 */
const SIGNIFICANCE = 2.2;
/**
 * An indivisible piece moves only if the load of its new server then stays
 * below this share of the load of its present server.
 */
const MAX_RELATIVE_LOAD = 0.8;
/**
 * Smallest move, as a share of the fair load. Smaller moves are not worth their
 * orders.
 */
const MIN_MOVE_SHARE = 0.15;

/**
 * Load below which a server counts as idle, as a share of the fair load. Such a
 * server has usually just joined, and gets keys even if no other server is
 * overloaded.
 */
const IDLE_SHARE = 0.3;
/**
 * Largest transfer from one server to an idle one in one check, and the load up
 * to which idle servers are filled, as shares of the fair load.
 */
const IDLE_TRANSFER_SHARE = 0.25;
const IDLE_TARGET_SHARE = 0.75;

/** A server that may get keys. */
export interface EligibleServer {
  id: string;
  /** Speed relative to other servers; 1 is the usual speed. */
  speed: number;
}

/** Keys of one server that should move to another. */
export interface Move {
  piece: KeyRange;
  destination: string;
}

/**
 * Keys of one server and the server they should move to; null if they should
 * stay.
 */
interface Proposal {
  piece: KeyRange;
  destination: string | null;
}

/** Computes weights, loads and moves from one set of samples. */
export class Placement {
  private constructor(
    private readonly samples: readonly number[],
    private readonly servers: readonly EligibleServer[],
  ) {}

  /**
   * Creates a placement that derives weights from `samples`: the keys of recent
   * requests in ascending order.
   */
  static create(
    samples: readonly number[],
    servers: readonly EligibleServer[],
  ): Placement {
    return new Placement(samples, servers);
  }

  /** Returns the weight of a range, from 0 to 1. */
  weight(range: KeyRange): number {
    const keyShare = keyCount(range) / KEY_COUNT;
    if (this.samples.length < MIN_SAMPLES) return keyShare;
    const requestShare = countInRange(this.samples, range) /
      this.samples.length;
    return KEY_COUNT_WEIGHT * keyShare + (1 - KEY_COUNT_WEIGHT) * requestShare;
  }

  /**
   * Returns the load of each eligible server by its id. A range that moves
   * counts for its destination.
   */
  loads(ranges: readonly TrackedRange[]): Map<string, number> {
    const loads = new Map(this.servers.map(({ id }) => [id, 0]));
    for (const range of ranges) {
      const server = range.destination ?? range.server;
      if (server === null || !loads.has(server)) continue;
      loads.set(server, loads.get(server)! + this.weight(range));
    }
    for (const { id, speed } of this.servers) {
      loads.set(id, loads.get(id)! / speed);
    }
    return loads;
  }

  /**
   * Returns the id of the server that would have the lowest load with a range,
   * and adds the range to its load in `loads`; null if no server is eligible.
   */
  choose(loads: Map<string, number>, range: KeyRange): string | null {
    let best: EligibleServer | null = null;
    let lowest = Infinity;
    const weight = this.weight(range);
    for (const server of this.servers) {
      const load = loads.get(server.id)! + weight / server.speed;
      if (load >= lowest) continue;
      lowest = load;
      best = server;
    }
    if (best === null) return null;
    loads.set(best.id, lowest);
    return best.id;
  }

  /**
   * Splits a range into pieces of at most `maxWeight`. A single key may weigh
   * more.
   */
  split(range: KeyRange, maxWeight: number): KeyRange[] {
    const pieces: KeyRange[] = [];
    let rest: KeyRange | null = { first: range.first, last: range.last };
    while (
      rest !== null && this.weight(rest) > maxWeight && keyCount(rest) > 1
    ) {
      const piece = this.#prefix(rest, maxWeight);
      pieces.push(piece);
      rest = remainder(rest, piece);
    }
    if (rest !== null) pieces.push(rest);
    return pieces;
  }

  /**
   * Returns moves from the overloaded servers to those with the least load, or,
   * if there are none, from the busiest servers to idle ones.
   */
  moves(ranges: readonly TrackedRange[]): Move[] {
    if (this.servers.length < 2) return [];
    const loads = this.loads(ranges);
    const speeds = this.#speeds();
    const fairLoad = this.#fairLoad(ranges);
    const limit = this.#overloadLimit(fairLoad);
    const moves: Move[] = [];
    for (
      const { first, last, server } of this.#movableByWeight(ranges, loads)
    ) {
      const from = server!;
      let rest: KeyRange | null = { first, last };
      // A move carries at most one fair load, so keys that have become busy may
      // need several moves.
      while (rest !== null && loads.get(from)! >= limit) {
        const excess = (loads.get(from)! - fairLoad) * speeds.get(from)!;
        if (excess < MIN_MOVE_SHARE * fairLoad) break;
        const { piece, destination } = this.#offload(
          from,
          rest,
          excess,
          fairLoad,
          loads,
          speeds,
        );
        // If a busy key is best left on its server, the other keys of that
        // server move away instead.
        if (destination !== null) moves.push({ piece, destination });
        rest = remainder(rest, piece);
      }
    }
    return moves.length > 0
      ? moves
      : this.#fillIdle(ranges, fairLoad, loads, speeds);
  }

  /**
   * Returns moves of whole ranges from the overloaded servers to others, which
   * do not increase the number of ranges. Ranges that weigh more than the
   * excess load of their server stay.
   */
  wholeMoves(ranges: readonly TrackedRange[]): Move[] {
    const loads = this.loads(ranges);
    const speeds = this.#speeds();
    const fairLoad = this.#fairLoad(ranges);
    const limit = this.#overloadLimit(fairLoad);
    const moves: Move[] = [];
    for (
      const { first, last, server } of this.#movableByWeight(ranges, loads)
    ) {
      const from = server!;
      if (loads.get(from)! < limit) continue;
      const piece = { first, last };
      const excess = (loads.get(from)! - fairLoad) * speeds.get(from)!;
      if (this.weight(piece) > excess) continue;
      const destination = this.#moveIndivisible(from, piece, loads, speeds);
      if (destination !== null) moves.push({ piece, destination });
    }
    return moves;
  }

  /** Speeds of the servers by their ids. */
  #speeds(): Map<string, number> {
    return new Map(this.servers.map(({ id, speed }) => [id, speed]));
  }

  /** Load of each server if all servers had the same. */
  #fairLoad(ranges: readonly TrackedRange[]): number {
    const total = ranges.reduce((sum, each) => sum + this.weight(each), 0);
    return total / this.servers.reduce((sum, { speed }) => sum + speed, 0);
  }

  /** Load above which keys move away from a server. */
  #overloadLimit(fairLoad: number): number {
    return Math.max(
      fairLoad * OVERLOAD_RATIO,
      fairLoad + this.#samplingError(fairLoad),
    );
  }

  /** Moves a small share from each of the busiest servers to idle ones. */
  #fillIdle(
    ranges: readonly TrackedRange[],
    fairLoad: number,
    loads: Map<string, number>,
    speeds: Map<string, number>,
  ): Move[] {
    const idle = [...loads].filter(([, load]) => load < IDLE_SHARE * fairLoad)
      .map(([id]) => id);
    if (idle.length === 0) return [];
    const moves: Move[] = [];
    const sources = this.#movableByWeight(ranges, loads).sort((a, b) =>
      loads.get(b.server!)! - loads.get(a.server!)!
    );
    const usedSources = new Set<string>();
    for (const range of sources) {
      const from = range.server!;
      const destination = idle.find((id) =>
        loads.get(id)! < IDLE_TARGET_SHARE * fairLoad
      );
      if (destination === undefined) break;
      if (usedSources.has(from) || loads.get(from)! < fairLoad) continue;
      const transfer = IDLE_TRANSFER_SHARE * fairLoad * speeds.get(from)!;
      const piece = this.#prefix(range, transfer);
      const weight = this.weight(piece);
      if (weight === 0 || weight > 2 * transfer) continue;
      usedSources.add(from);
      addLoad(loads, from, -weight / speeds.get(from)!);
      addLoad(loads, destination, weight / speeds.get(destination)!);
      moves.push({ piece, destination });
    }
    return moves;
  }

  /** Returns by how much a fair load may be exceeded by chance alone. */
  #samplingError(fairLoad: number): number {
    const count = this.samples.length;
    if (count < MIN_SAMPLES) return 0;
    return SIGNIFICANCE * Math.sqrt(fairLoad * count) / count;
  }

  /**
   * Proposes to move keys of up to `excess` weight from the start of `range` to
   * the server with the least load, and updates `loads` accordingly.
   */
  #offload(
    from: string,
    range: KeyRange,
    excess: number,
    fairLoad: number,
    loads: Map<string, number>,
    speeds: Map<string, number>,
  ): Proposal {
    const receiver = leastLoaded(loads, from);
    const spareWeight = (fairLoad - loads.get(receiver)!) *
      speeds.get(receiver)!;
    const smallest = MIN_MOVE_SHARE * fairLoad;
    const amount = Math.max(smallest, Math.min(excess, spareWeight));
    const piece = this.#prefix(range, amount);
    const weight = this.weight(piece);
    // Moving an indivisible piece to that server would only move the overload.
    if (weight > 2 * amount) {
      const destination = this.#moveIndivisible(from, piece, loads, speeds);
      return { piece, destination };
    }
    addLoad(loads, from, -weight / speeds.get(from)!);
    addLoad(loads, receiver, weight / speeds.get(receiver)!);
    return { piece, destination: receiver };
  }

  /**
   * Chooses a destination for a piece that overloads a server by itself, such
   * as one busy key, and updates `loads` accordingly. It is the server with the
   * lowest load after the move, usually the fastest one. Returns null if none
   * has a clearly lower load than the present server.
   */
  #moveIndivisible(
    from: string,
    piece: KeyRange,
    loads: Map<string, number>,
    speeds: Map<string, number>,
  ): string | null {
    const weight = this.weight(piece);
    let destination: string | null = null;
    let lowest = loads.get(from)! * MAX_RELATIVE_LOAD;
    for (const [id, load] of loads) {
      const newLoad = load + weight / speeds.get(id)!;
      if (id === from || newLoad >= lowest) continue;
      lowest = newLoad;
      destination = id;
    }
    if (destination === null) return null;
    addLoad(loads, from, -weight / speeds.get(from)!);
    loads.set(destination, lowest);
    return destination;
  }

  /**
   * Returns the ranges that eligible servers hold without an order in flight,
   * the heaviest first.
   */
  #movableByWeight(
    ranges: readonly TrackedRange[],
    loads: Map<string, number>,
  ): TrackedRange[] {
    return ranges
      .filter((each) =>
        each.state === "held" && each.order === null &&
        each.server !== null && loads.has(each.server)
      )
      .map((range) => ({ range, weight: this.weight(range) }))
      .sort((a, b) => b.weight - a.weight)
      .map(({ range }) => range);
  }

  /**
   * Returns the longest prefix of `range` that weighs at most `maxWeight`, or
   * its first key if that weighs more.
   */
  #prefix(range: KeyRange, maxWeight: number): KeyRange {
    let low = range.first;
    let high = range.last;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.weight({ first: range.first, last: middle }) <= maxWeight) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return { first: range.first, last: low };
  }
}

/**
 * Returns the server with the least load other than `from`. There must be two
 * or more.
 */
function leastLoaded(loads: Map<string, number>, from: string): string {
  let least: string | null = null;
  for (const [id, load] of loads) {
    if (id === from) continue;
    if (least === null || load < loads.get(least)!) least = id;
  }
  return least!;
}

function addLoad(loads: Map<string, number>, id: string, change: number): void {
  loads.set(id, loads.get(id)! + change);
}

/** Returns the part of a range after one of its pieces, or null. */
function remainder(range: KeyRange, piece: KeyRange): KeyRange | null {
  if (piece.last >= range.last) return null;
  return { first: piece.last + 1, last: range.last };
}
