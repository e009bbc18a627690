/**
 * Decides when keys move for load balance, which servers may get keys, and how
 * many ranges a service may be divided into.
 *
 * @module
 */
import type { Fleet, TrackedServer } from "../fleet/index.ts";
import { DEMAND_WINDOW } from "./key_limits.ts";
import type { KeyLoads } from "./key_load.ts";
import { type EligibleServer, type Move, Placement } from "./placement.ts";
import type { RangeTable } from "./range_table.ts";

/** Interval between checks of the load balance, in milliseconds. */
const REBALANCE_INTERVAL = 300;
/**
 * Time without a new server after which the keys of a new service are assigned,
 * in milliseconds. It covers two reads of the registry without a change.
 * Without the delay, each key moved 1.2 times on average before the first
 * request.
 */
const INITIAL_ASSIGNMENT_DELAY = 950;
/** Bounds of the measured relative speed of a server. */
const MIN_SPEED = 0.35;
const MAX_SPEED = 2;
/**
 * Lower bound of the number of ranges of one service that may move at the same
 * time, and that number as a share of the servers. Requests for moving keys
 * wait until the running requests of these keys have ended.
 */
const MIN_CONCURRENT_MOVES = 6;
const CONCURRENT_MOVES_PER_SERVER = 0.25;
/**
 * Limits on the number of ranges of a service, because each range costs a
 * renewal. With few servers, each needs several ranges for an even load; with
 * many, most need no more than three. Above the limit only whole ranges move.
 */
const SMALL_SERVICE_RANGES_PER_SERVER = 6;
const LARGE_SERVICE_RANGES_PER_SERVER = 3;
const LARGE_SERVICE_EXTRA_RANGES = 64;
/**
 * Share of a server's rate limit that is planned for its keys. The rest is
 * headroom for variation in demand, as requests above the limit are refused.
 */
const LIMIT_UTILIZATION = 0.9;
/**
 * Lower bound of a speed derived from a rate limit. Loads are divided by
 * speeds, so this keeps them finite.
 */
const MIN_LIMITED_SPEED = 0.01;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Time after it was listed for which a server counts as new, in milliseconds. It
 * gets its keys step by step then, by its pace. Keys of other servers do not
 * move because of their pace, since a move costs more.
 */
const START_TIME = 5_000;

/** Plans the moves of all services; see the module's comment. */
export class KeyRebalancer {
  readonly #checkedAt = new Map<string, number>();

  private constructor(
    private readonly fleet: Fleet,
    private readonly loads: KeyLoads,
  ) {}

  /** Creates a rebalancer for the servers of `fleet` under `loads`. */
  static create(fleet: Fleet, loads: KeyLoads): KeyRebalancer {
    return new KeyRebalancer(fleet, loads);
  }

  /**
   * Returns whether a check of a service's load balance is due, and if so
   * records it as done. It is due at once when a server has stopped to refuse
   * requests, so that the server gets keys again.
   */
  tryStartCheck(service: string, now: number): boolean {
    const checkedAt = this.#checkedAt.get(service) ?? 0;
    const isDue = now >= checkedAt + REBALANCE_INTERVAL ||
      this.fleet.stated.takeRefusalEnd(service, now);
    if (!isDue) return false;
    this.#checkedAt.set(service, now);
    return true;
  }

  /**
   * Whether the keys of a new service may be assigned. On the first start,
   * servers join one after the other over several seconds. The first ones would
   * get all keys, and most of these would then move. The delay does not apply
   * once requests for the service have arrived.
   */
  mayAssignInitially(service: string, now: number): boolean {
    const isSettled =
      now - this.fleet.joinedAt(service) >= INITIAL_ASSIGNMENT_DELAY;
    return isSettled || !this.loads.of(service).isEmpty;
  }

  /**
   * Returns the moves that should start now. Servers in `suspects` get no keys
   * if there are others.
   */
  moves(table: RangeTable, suspects: Set<string>, now: number): Move[] {
    const moving = table.ranges.filter((each) => each.state !== "held").length;
    const { length: serverCount } = this.fleet.serversOf(table.service);
    const maxMoving = Math.max(
      MIN_CONCURRENT_MOVES,
      Math.ceil(CONCURRENT_MOVES_PER_SERVER * serverCount),
    );
    if (moving >= maxMoving) return [];
    const eligible = this.eligibleServers(table.service, suspects, now);
    const placement = this.placement(table.service, eligible, now);
    const maySplit = table.ranges.length <= maxRanges(eligible.length);
    const moves = maySplit
      ? placement.moves(table.ranges)
      : placement.wholeMoves(table.ranges);
    return moves.slice(0, maxMoving - moving);
  }

  /** Creates a placement from the recent requests of a service. */
  placement(
    service: string,
    servers: readonly EligibleServer[],
    now: number,
  ): Placement {
    const samples = this.loads.of(service).windowKeys(now);
    return Placement.create(samples, servers);
  }

  /**
   * Whether most servers of a service neither leave nor refuse requests, so
   * that they can take the keys of those that do.
   */
  hasSpareServers(service: string, now: number): boolean {
    const servers = this.fleet.serversOf(service);
    const { length } = servers.filter((each) =>
      !each.isLeaving && each.statements.refusesKeysUntil <= now
    );
    return length > servers.length / 2;
  }

  /** Whether some server of a service is not leaving. */
  hasStayingServers(service: string): boolean {
    return this.fleet.serversOf(service).some((each) => !each.isLeaving);
  }

  /**
   * Returns the servers that may get keys, with their speeds, which a rate
   * limit may reduce. Suspected, paused, warming and unresponsive servers, and
   * those that refuse requests, are included only if there are no others. If all
   * servers are leaving, those are returned that still get requests.
   */
  eligibleServers(
    service: string,
    suspects: Set<string>,
    now: number,
  ): EligibleServer[] {
    const meanLatency = this.fleet.meanLatency(service, now);
    const servers = this.fleet.serversOf(service);
    const staying = servers.filter((each) => !each.isLeaving);
    const usable = staying.length > 0
      ? staying
      : servers.filter((each) =>
        this.fleet.drainPolicy.isStillServing(each, now)
      );
    const healthy = usable.filter((each) =>
      !suspects.has(each.id) && !each.isPaused(now) &&
      !each.isWarming(now) && !each.isBackedOff(now) &&
      each.statements.refusesKeysUntil <= now &&
      !each.isUnresponsive(now, meanLatency)
    );
    const eligible = healthy.length > 0 ? healthy : usable;
    const meanDemand = this.#demand(service, now) / eligible.length;
    const isNew = (server: TrackedServer) => now - server.listedAt < START_TIME;
    // While most servers are new, none of them needs fewer keys than the others.
    const areMostNew = eligible.filter(isNew).length > eligible.length / 2;
    return eligible.map((server) => {
      const pace = isNew(server) && !areMostNew ? server.pace.at(now) : 1;
      const speed = relativeSpeed(server, meanLatency) * pace;
      const limit = server.rateLimit.current(now);
      return { id: server.id, speed: limitedSpeed(speed, limit, meanDemand) };
    });
  }

  /**
   * Returns the recent demand for the keys of a service, in requests per
   * second.
   */
  #demand(service: string, now: number): number {
    const { length } = this.loads.of(service).recentKeys(DEMAND_WINDOW, now);
    return length * MILLISECONDS_PER_SECOND / DEMAND_WINDOW;
  }
}

/**
 * Returns the maximum number of ranges of a service with this number of
 * servers.
 */
function maxRanges(serverCount: number): number {
  return Math.min(
    SMALL_SERVICE_RANGES_PER_SERVER * serverCount,
    LARGE_SERVICE_RANGES_PER_SERVER * serverCount + LARGE_SERVICE_EXTRA_RANGES,
  );
}

function relativeSpeed(server: TrackedServer, meanLatency: number): number {
  if (server.latency === null || meanLatency === 0) return 1;
  return Math.min(
    MAX_SPEED,
    Math.max(MIN_SPEED, meanLatency / server.latency),
  );
}

/**
 * Caps a relative speed according to the server's rate limit, if it has one.
 * Both `limit` and `meanDemand`, the mean demand per eligible server, are in
 * requests per second; a server of speed 1 is assumed to receive the mean
 * demand.
 */
function limitedSpeed(
  speed: number,
  limit: number | null,
  meanDemand: number,
): number {
  if (limit === null || meanDemand === 0) return speed;
  const fastest = LIMIT_UTILIZATION * limit / meanDemand;
  return Math.min(speed, Math.max(MIN_LIMITED_SPEED, fastest));
}
