/**
 * When keys move for the balance of load, which servers may get keys, and how
 * many ranges a service is divided into.
 *
 * @module
 */
import type { Fleet, TrackedServer } from "../fleet/index.ts";
import { DEMAND_WINDOW } from "./key_limits.ts";
import type { KeyLoads } from "./key_load.ts";
import { type Candidate, type Move, Placement } from "./placement.ts";
import type { RangeTable } from "./range_table.ts";

/** Pause between looks at the balance of load, in milliseconds. */
const BALANCE_INTERVAL = 300;
/** Time without a new server after which keys are given out for the first time,
 * in milliseconds: two reads of the registry without news. Without it keys moved
 * 1.2 times over before the first request. */
const FIRST_PAUSE = 950;
/** Bounds of the measured relative speed of a server. */
const SLOWEST = 0.35;
const FASTEST = 2;
/** Ranges of one service that may be on the move at a time, at least, and as a
 * share of its servers. Keys wait while they move, for as long as the work that
 * runs on them. */
const FEWEST_MOVES = 6;
const MOVES_PER_SERVER = 0.25;
/** Ranges of a service above which none is split: each costs a renewal. Few
 * servers need several each to be even; of many, most need no more than three.
 * At the limit no move begins, however uneven the load is. */
const RANGES_OF_FEW = 6;
const RANGES_OF_MANY = 3;
const SPARE_RANGES = 64;
/** Share of a server's rate limit that is planned for its keys; the rest is
 * headroom for variation in demand, as requests above the limit are refused. */
const LIMIT_UTILIZATION = 0.9;
/** Lower bound of a speed derived from a rate limit. Loads are divided by speeds,
 * so this keeps them finite. */
const SLOWEST_LIMITED = 0.01;
/** Milliseconds in a second. */
const SECOND = 1_000;

/** See the module's comment. */
export class KeyBalance {
  readonly #lookedAt = new Map<string, number>();

  private constructor(
    private readonly fleet: Fleet,
    private readonly loads: KeyLoads,
  ) {}

  /** The balance of the servers of `fleet` under `loads`. */
  static create(fleet: Fleet, loads: KeyLoads): KeyBalance {
    return new KeyBalance(fleet, loads);
  }

  /** Whether a look at a service is due; notes that it is taken. */
  takeTurn(service: string, now: number): boolean {
    const lookedAt = this.#lookedAt.get(service) ?? 0;
    if (now < lookedAt + BALANCE_INTERVAL) return false;
    this.#lookedAt.set(service, now);
    return true;
  }

  /**
   * Whether keys that nobody ever held may be given out: at a first start servers
   * join one after the other for seconds, and those that come early would get all
   * keys, most of which would then move. Not while callers wait for them.
   */
  mayBegin(service: string, now: number): boolean {
    const isSettled = now - this.fleet.joinedAt(service) >= FIRST_PAUSE;
    return isSettled || !this.loads.of(service).isEmpty;
  }

  /** Moves that should begin now. */
  moves(table: RangeTable, suspects: Set<string>, now: number): Move[] {
    const moving = table.ranges.filter((each) => each.state !== "held").length;
    const { length: servers } = this.fleet.of(table.service);
    const most = Math.max(FEWEST_MOVES, Math.ceil(MOVES_PER_SERVER * servers));
    if (moving >= most) return [];
    const candidates = this.candidates(table.service, suspects, now);
    if (table.ranges.length > mostRanges(candidates.length)) return [];
    const placement = this.placement(table.service, candidates, now);
    return placement.moves(table.ranges).slice(0, most - moving);
  }

  /** Weighs keys by the requests of the last seconds. */
  placement(
    service: string,
    candidates: readonly Candidate[],
    now: number,
  ): Placement {
    const samples = this.loads.of(service).sorted(now);
    return Placement.create(samples, candidates);
  }

  /** Servers that may get keys, with their speeds as measured and limited; `suspects` only
   * where there is no other. */
  candidates(
    service: string,
    suspects: Set<string>,
    now: number,
  ): Candidate[] {
    const usual = this.fleet.usualLatency(service, now);
    const usable = this.fleet.of(service).filter((each) => !each.isLeaving);
    const sound = usable.filter((each) =>
      !suspects.has(each.id) && !each.isPaused(now) &&
      !each.isWarming(now) &&
      !each.isSilent(now, usual)
    );
    const candidates = sound.length > 0 ? sound : usable;
    const meanDemand = this.#demand(service, now) / candidates.length;
    return candidates.map((server) => {
      const speed = relativeSpeed(server, usual);
      const limit = server.rate.current(now);
      return { id: server.id, speed: limitedSpeed(speed, limit, meanDemand) };
    });
  }

  /** Recent demand for the keys of a service, in requests per second. */
  #demand(service: string, now: number): number {
    const { length } = this.loads.of(service).newest(DEMAND_WINDOW, now);
    return length * SECOND / DEMAND_WINDOW;
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

/** Caps a relative speed according to the server's rate limit, if it has one.
 * Both `limit` and `meanDemand`, the mean demand per candidate, are in requests
 * per second; a server of speed 1 is assumed to receive the mean demand. */
function limitedSpeed(
  speed: number,
  limit: number | null,
  meanDemand: number,
): number {
  if (limit === null || meanDemand === 0) return speed;
  const fastest = LIMIT_UTILIZATION * limit / meanDemand;
  return Math.min(speed, Math.max(SLOWEST_LIMITED, fastest));
}
