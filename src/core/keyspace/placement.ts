/**
 * Decides which server should hold which keys, from measured load.
 *
 * @module
 */
import { KEY_COUNT, keyCount, type KeyRange } from "./assignment.ts";
import type { HeldRange } from "./held_range.ts";
import { samplesIn } from "./key_load.ts";

/** Share of a range's weight that its number of keys makes, the rest is its
 * measured load: cold keys are spread too, but cheaply. */
const KEY_SHARE = 0.2;
/** Samples below which the measured load says little, so that only the number
 * of keys counts. */
const FEWEST_SAMPLES = 30;
/** A server is relieved when it carries this many times its fair share. A move
 * makes its keys wait for the work that runs on them, so small differences
 * stay. */
const OVERLOAD = 1.35;
/** How many standard deviations above its fair share the requests of a server
 * must be: a second's sample scatters, and chasing that moves keys for nothing. */
const SIGNIFICANCE = 2.2;
/** Share of its server's load below which the load of a new server must stay
 * for a piece that cannot be divided. */
const CLEAR_GAIN = 0.8;
/** Share of a server's fair share below which a move is not worth its orders. */
const SMALLEST_MOVE_SHARE = 0.15;

/** Share of its fair share below which a server counts as idle: it has just
 * joined, and no other need carry too much for it to get keys. */
const IDLE_SHARE = 0.3;
/** What one server gives an idle one at most in a look, and what the idle one
 * is brought to, as shares of a fair share. */
const GIFT_SHARE = 0.25;
const FED_SHARE = 0.75;

/** A server that may get keys. */
export interface Candidate {
  id: string;
  /** Relative speed; 1 is usual. */
  speed: number;
}

/** Keys of one server that should go to another. */
export interface Move {
  piece: KeyRange;
  destination: string;
}

/** Keys of one server, and where they should go, or null for nowhere. */
interface Proposal {
  piece: KeyRange;
  destination: string | null;
}

/** Weighs ranges for one decision. */
export class Placement {
  private constructor(
    private readonly samples: readonly number[],
    private readonly candidates: readonly Candidate[],
  ) {}

  /** Weighs by `samples`: ascending keys of recent requests. */
  static create(
    samples: readonly number[],
    candidates: readonly Candidate[],
  ): Placement {
    return new Placement(samples, candidates);
  }

  /** Share of all work that a range makes, 0 to 1. */
  weight(range: KeyRange): number {
    const keys = keyCount(range) / KEY_COUNT;
    if (this.samples.length < FEWEST_SAMPLES) return keys;
    const load = samplesIn(this.samples, range) / this.samples.length;
    return KEY_SHARE * keys + (1 - KEY_SHARE) * load;
  }

  /** Work of each candidate relative to its speed. */
  loads(ranges: readonly HeldRange[]): Map<string, number> {
    const loads = new Map(this.candidates.map(({ id }) => [id, 0]));
    for (const range of ranges) {
      const server = range.destination ?? range.server;
      if (server === null || !loads.has(server)) continue;
      loads.set(server, loads.get(server)! + this.weight(range));
    }
    for (const { id, speed } of this.candidates) {
      loads.set(id, loads.get(id)! / speed);
    }
    return loads;
  }

  /** The candidate that a range without one should go to. */
  choose(loads: Map<string, number>, range: KeyRange): string | null {
    let best: Candidate | null = null;
    let lowest = Infinity;
    const weight = this.weight(range);
    for (const candidate of this.candidates) {
      const load = loads.get(candidate.id)! + weight / candidate.speed;
      if (load >= lowest) continue;
      lowest = load;
      best = candidate;
    }
    if (best === null) return null;
    loads.set(best.id, lowest);
    return best.id;
  }

  /** Cuts a range into pieces that each make at most `most` of all work. */
  pieces(range: KeyRange, most: number): KeyRange[] {
    const pieces: KeyRange[] = [];
    let rest: KeyRange | null = { first: range.first, last: range.last };
    while (rest !== null && this.weight(rest) > most && keyCount(rest) > 1) {
      const piece = this.#prefix(rest, most);
      pieces.push(piece);
      rest = after(rest, piece);
    }
    if (rest !== null) pieces.push(rest);
    return pieces;
  }

  /** Moves from the servers that carry too much to those that carry least. */
  moves(ranges: readonly HeldRange[]): Move[] {
    const loads = this.loads(ranges);
    const speeds = new Map(
      this.candidates.map((each) => [each.id, each.speed]),
    );
    const totalSpeed = this.candidates.reduce(
      (sum, { speed }) => sum + speed,
      0,
    );
    if (this.candidates.length < 2) return [];
    const total = ranges.reduce((sum, each) => sum + this.weight(each), 0);
    const fair = total / totalSpeed;
    const limit = Math.max(fair * OVERLOAD, fair + this.#scatter(fair));
    const moves: Move[] = [];
    for (const { first, last, server } of this.#heaviestFirst(ranges, loads)) {
      const from = server!;
      let rest: KeyRange | null = { first, last };
      // Each move brings at most one fair share, and keys that have become busy
      // may make several.
      while (rest !== null && loads.get(from)! >= limit) {
        const excess = (loads.get(from)! - fair) * speeds.get(from)!;
        if (excess < SMALLEST_MOVE_SHARE * fair) break;
        const { piece, destination } = this.#relieve(
          from,
          rest,
          excess,
          fair,
          loads,
          speeds,
        );
        // A key that is best left where it is has the server to itself: the keys
        // beside it go.
        if (destination !== null) moves.push({ piece, destination });
        rest = after(rest, piece);
      }
    }
    return moves.length > 0
      ? moves
      : this.#feedIdle(ranges, fair, loads, speeds);
  }

  /** Moves a little from each of the busiest servers to those that are idle. */
  #feedIdle(
    ranges: readonly HeldRange[],
    fair: number,
    loads: Map<string, number>,
    speeds: Map<string, number>,
  ): Move[] {
    const idle = [...loads].filter(([, load]) => load < IDLE_SHARE * fair)
      .map(([id]) => id);
    if (idle.length === 0) return [];
    const moves: Move[] = [];
    const donors = this.#heaviestFirst(ranges, loads).sort((a, b) =>
      loads.get(b.server!)! - loads.get(a.server!)!
    );
    const used = new Set<string>();
    for (const range of donors) {
      const from = range.server!;
      const destination = idle.find((id) => loads.get(id)! < FED_SHARE * fair);
      if (destination === undefined) break;
      if (used.has(from) || loads.get(from)! < fair) continue;
      const gift = GIFT_SHARE * fair * speeds.get(from)!;
      const piece = this.#prefix(range, gift);
      const weight = this.weight(piece);
      if (weight === 0 || weight > 2 * gift) continue;
      used.add(from);
      shift(loads, from, -weight / speeds.get(from)!);
      shift(loads, destination, weight / speeds.get(destination)!);
      moves.push({ piece, destination });
    }
    return moves;
  }

  /** What a share of `fair` may exceed itself by through chance alone. */
  #scatter(fair: number): number {
    const count = this.samples.length;
    if (count < FEWEST_SAMPLES) return 0;
    return SIGNIFICANCE * Math.sqrt(fair * count) / count;
  }

  /** Takes up to `excess` off the front of `range` for the idlest server. */
  #relieve(
    from: string,
    range: KeyRange,
    excess: number,
    fair: number,
    loads: Map<string, number>,
    speeds: Map<string, number>,
  ): Proposal {
    const receiver = idlest(loads, from);
    const room = (fair - loads.get(receiver)!) * speeds.get(receiver)!;
    const smallest = SMALLEST_MOVE_SHARE * fair;
    const amount = Math.max(smallest, Math.min(excess, room));
    const piece = this.#prefix(range, amount);
    const weight = this.weight(piece);
    // What cannot be divided would only move the overload.
    if (weight > 2 * amount) {
      const destination = this.#improve(from, piece, loads, speeds);
      return { piece, destination };
    }
    shift(loads, from, -weight / speeds.get(from)!);
    shift(loads, receiver, weight / speeds.get(receiver)!);
    return { piece, destination: receiver };
  }

  /**
   * Moves a piece that alone overloads a server, such as one busy key, to where
   * it would be done clearly sooner: to the fastest server, as a rule.
   */
  #improve(
    from: string,
    piece: KeyRange,
    loads: Map<string, number>,
    speeds: Map<string, number>,
  ): string | null {
    const weight = this.weight(piece);
    let destination: string | null = null;
    let lowest = loads.get(from)! * CLEAR_GAIN;
    for (const [id, load] of loads) {
      const after = load + weight / speeds.get(id)!;
      if (id === from || after >= lowest) continue;
      lowest = after;
      destination = id;
    }
    if (destination === null) return null;
    shift(loads, from, -weight / speeds.get(from)!);
    loads.set(destination, lowest);
    return destination;
  }

  #heaviestFirst(
    ranges: readonly HeldRange[],
    loads: Map<string, number>,
  ): HeldRange[] {
    return ranges
      .filter((each) =>
        each.state === "held" && each.order === null &&
        each.server !== null && loads.has(each.server)
      )
      .map((range) => ({ range, weight: this.weight(range) }))
      .sort((a, b) => b.weight - a.weight)
      .map(({ range }) => range);
  }

  /** The longest prefix of `range` that weighs at most `most`; one key at least. */
  #prefix(range: KeyRange, most: number): KeyRange {
    let low = range.first;
    let high = range.last;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.weight({ first: range.first, last: middle }) <= most) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return { first: range.first, last: low };
  }
}

/** The server with the least load but `from`; there are two or more. */
function idlest(loads: Map<string, number>, from: string): string {
  let idlest: string | null = null;
  for (const [id, load] of loads) {
    if (id === from) continue;
    if (idlest === null || load < loads.get(idlest)!) idlest = id;
  }
  return idlest!;
}

function shift(loads: Map<string, number>, id: string, change: number): void {
  loads.set(id, loads.get(id)! + change);
}

/** What is left of a range behind a piece of it, or null. */
function after(range: KeyRange, piece: KeyRange): KeyRange | null {
  if (piece.last >= range.last) return null;
  return { first: piece.last + 1, last: range.last };
}
