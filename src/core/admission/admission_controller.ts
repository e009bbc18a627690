/**
 * Runs on the term holder and decides which requests of a service all VMs admit
 * while its demand exceeds the capacity of its servers.
 *
 * The threshold follows from the demand and the capacity, so that it takes
 * effect with the first reports of a rise. The capacity is then corrected by the
 * load that servers report: latencies that are wrong, and requests of VMs that
 * report no demand, show as waiting requests or as free slots.
 *
 * ```ts
 * controller.reported(address, report.demand ?? [], report.sentAt, now);
 * const { admissions, changes } = controller.advance(fleet, now);
 * ```
 *
 * @module
 */
import type { Fleet, TrackedServer } from "../fleet/index.ts";
import {
  MAXIMUM_SERVICE_ENTRIES,
  type PriorityDemand,
  type ServiceAdmission,
} from "../peers/peer_message.ts";
import { DemandLedger } from "./demand_ledger.ts";
import { type RankedDemand, thresholdFor } from "./request_rank.ts";

/** Time between two calculations, in milliseconds. */
const INTERVAL = 100;
/**
 * Time after the start of a term within which nothing is limited, in
 * milliseconds: one regular report of each VM.
 */
const START_TIME = 500;
/**
 * Share of the capacity that is admitted. With random arrivals, less leaves
 * slots free, and more lets waiting requests accumulate.
 */
const TARGET_UTILIZATION = 0.95;
/** Offered work from which a service is limited, as a share of its capacity. */
const LIMIT_START = 1.02;
/** Offered work below which a limit ends, as a share of the capacity. */
const LIMIT_END = 0.93;
/**
 * Offered work from which VMs report more often, as a share of the capacity.
 * It is below the start of a limit, so that the limit starts with recent
 * reports.
 */
const WATCH_START = 0.97;
/**
 * Time after a limit in which another one needs a demand beyond random
 * variation, in milliseconds.
 */
const RESTART_TIME = 3_000;
/**
 * Waiting requests per slot that do not lower the capacity. Random arrivals at
 * servers in use to {@linkcode TARGET_UTILIZATION} cause about as many.
 */
const USUAL_WAITING = 0.3;
/**
 * Waiting requests per slot from which a service is busy, even if its demand
 * seems to be within the capacity. VMs send a server with one waiting request
 * per slot no further ones, so that full servers state 0.75 with 4 slots.
 */
const NOTABLE_WAITING = 0.55;
/**
 * Time in which more than the usual waiting requests are to be completed, in
 * milliseconds.
 */
const BACKLOG_TIME = 1_000;
/**
 * Maximum share of the capacity that is reserved for requests that wait. It
 * bounds the effect of a backlog that remains after a burst.
 */
const MAXIMUM_BACKLOG_SHARE = 0.25;
/**
 * Share of the time between a latency and the target that admitted requests may
 * wait for a slot. The rest is left for the variation of work and servers.
 */
const WAIT_SHARE = 0.5;
/**
 * Maximum time of that wait, in multiples of the latency: VMs send a server no
 * more requests than that while the service is limited.
 */
const MAXIMUM_WAIT_FACTOR = 1.5;
/**
 * Maximum rate above the capacity that is admitted while requests may wait
 * longer, as a share of the capacity.
 */
const MAXIMUM_FILL_SHARE = 0.5;
/** Share of the demand from which the target of a priority counts. */
const NOTABLE_DEMAND_SHARE = 0.05;
/**
 * Lowest capacity of a service while its requests wait, as a share of that when
 * few waited. Latencies that are measured then include the wait at the server.
 */
const MINIMUM_BUSY_SHARE = 0.7;
/** Weight of a capacity in the moving average while few requests wait. */
const CALM_WEIGHT = 0.1;
/** Share of used slots below which most servers have free slots. */
const FULL_UTILIZATION = 0.88;
/**
 * Decrease of the correction per second for each waiting request per slot
 * beyond the usual. It is small, since the backlog of a rise, which lasts for
 * some seconds, does not show a wrong capacity.
 */
const DECREASE_GAIN = 0.4;
/**
 * Time for which a service is limited, or many requests wait although it is
 * not, before the correction decreases, in milliseconds: until then, requests
 * wait that arrived before the limit.
 */
const DECREASE_DELAY = 1_000;
/**
 * Increase of the correction per second for each unit of utilization below the
 * full one.
 */
const INCREASE_GAIN = 1.5;
/** Range of the correction of the capacity. */
const MINIMUM_CORRECTION = 0.2;
const MAXIMUM_CORRECTION = 2;
/**
 * Time in which the correction of a service within its capacity falls to a
 * third, in milliseconds.
 */
const CORRECTION_LIFETIME = 1_000;
/** Age up to which a server's load report counts, in milliseconds. */
const LOAD_LIFETIME = 600;
/**
 * Minimum share of a service's slots whose load must be known for it to correct
 * the capacity.
 */
const MINIMUM_KNOWN_SHARE = 0.15;
/** Change of the threshold from which it is announced or logged. */
const NOTABLE_CHANGE = 0.2;
/**
 * Time that the rates of the ledger cover on average, in seconds, from which
 * their random variation follows.
 */
const RATE_WINDOW = 0.35;
/**
 * Standard deviations by which a rate must change to be taken over at once.
 * Smaller changes are mostly random and are smoothed.
 */
const SIGNIFICANCE = 2;
/**
 * Share of the capacity by which demand must exceed it for a limit to start
 * although most servers have free slots.
 */
const MINIMUM_VARIATION = 0.6;
/** Weight of a rate in the moving average of smaller changes. */
const SMOOTHING_WEIGHT = 0.25;

/** Change of a service's admission, for the log. */
export interface AdmissionChange {
  service: string;
  /** Threshold, or null without one. */
  threshold: number | null;
  /** Requests per second that arrive, and that the servers can run. */
  offered: number;
  capacity: number;
  /** Expected wait of an admitted request, in milliseconds. */
  wait: number;
}

/** What the servers of a service can run, and how busy they are. */
interface ServiceCapacity {
  /** Requests per second according to their slots and latencies. */
  rate: number;
  slots: number;
  latency: number;
  /** Waiting requests per slot; null if too few loads are known. */
  waiting: number | null;
  /** Share of the slots in use; null if too few loads are known. */
  utilization: number | null;
}

/** Control state of one service. */
interface ServiceControl {
  /** Factor of the capacity that the reported loads have shown. */
  correction: number;
  isLimited: boolean;
  /** When the limit began. */
  limitedSince: number;
  /** When it was last limited; -Infinity before the first time. */
  limitedAt: number;
  /** When few requests waited at its servers for the last time. */
  lastCalmAt: number;
  /** Whether VMs report more often because of the service. */
  isWatched: boolean;
  /** Threshold that was last logged; null without one. */
  announced: number | null;
  /** Requests per second and slot while few wait; null if unknown. */
  calmRate: number | null;
}

function createControl(now: number): ServiceControl {
  return {
    correction: 1,
    isLimited: false,
    limitedSince: now,
    limitedAt: -Infinity,
    lastCalmAt: now,
    isWatched: false,
    announced: null,
    calmRate: null,
  };
}

/** Result of a calculation. */
export interface AdmissionUpdate {
  admissions: readonly ServiceAdmission[];
  /** Notable changes of thresholds since the last calculation. */
  changes: readonly AdmissionChange[];
  /**
   * Whether the followers need this before their next reports: a threshold has
   * changed much, or they are to report more often.
   */
  isUrgent: boolean;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class AdmissionController {
  readonly #ledger = DemandLedger.create();
  readonly #controls = new Map<string, ServiceControl>();
  #demands: ReadonlyMap<string, readonly RankedDemand[]> = new Map();
  readonly #capacities = new Map<string, number>();
  #term = 0;
  #startedAt = -Infinity;
  #calculatedAt = -Infinity;

  private constructor(
    private readonly target: (service: string, priority: number) =>
      | number
      | null,
  ) {}

  /**
   * Creates a controller that knows no demand. `target` returns the shortest
   * target latency of a service's requests of a priority in milliseconds, or
   * null. Without targets, requests are not to wait.
   */
  static create(
    target: (service: string, priority: number) => number | null = () => null,
  ): AdmissionController {
    return new AdmissionController(target);
  }

  /** Requests per second that the servers of each service can run. */
  get capacities(): ReadonlyMap<string, number> {
    return this.#capacities;
  }

  /**
   * Starts without demand if `term` is a new term of this VM. What it knew as
   * the holder of an earlier one is outdated.
   */
  startTerm(term: number, now: number): void {
    if (term === this.#term) return;
    this.#term = term;
    this.#startedAt = now;
    this.#ledger.clear();
    this.#controls.clear();
    this.#capacities.clear();
  }

  /**
   * Records the demand that the VM at `address` reports. It was sent at
   * `sentAt` by the VM's clock.
   */
  reported(
    address: string,
    demands: readonly PriorityDemand[],
    sentAt: number,
    now: number,
  ): void {
    this.#ledger.record(address, demands, sentAt, now);
  }

  /**
   * Repeats the calculation for all services with demand; null if it is not due
   * yet.
   */
  advance(fleet: Fleet, now: number): AdmissionUpdate | null {
    const elapsed = now - this.#calculatedAt;
    if (elapsed < INTERVAL) return null;
    this.#calculatedAt = now;
    this.#demands = this.#smooth(this.#ledger.rates(now));
    const admissions: ServiceAdmission[] = [];
    const changes: AdmissionChange[] = [];
    let isUrgent = false;
    const services = new Set([
      ...this.#demands.keys(),
      ...this.#controls.keys(),
    ]);
    const seconds = Math.min(elapsed, 2 * INTERVAL) / 1_000;
    for (const service of services) {
      const capacity = measureCapacity(service, fleet, now);
      if (capacity === null || now - this.#startedAt < START_TIME) continue;
      const { admission, change, isNewlyWatched } = this.#control(
        service,
        capacity,
        seconds,
        now,
      );
      if (admission !== null) admissions.push(admission);
      if (change !== null) changes.push(change);
      isUrgent ||= change !== null || isNewlyWatched;
    }
    return {
      admissions: admissions.slice(0, MAXIMUM_SERVICE_ENTRIES),
      changes,
      isUrgent,
    };
  }

  /**
   * Returns the threshold that admits `share` of the requests of a service, or
   * null if its demand is unknown.
   */
  thresholdOfShare(service: string, share: number): number | null {
    const demands = this.#demands.get(service) ?? [];
    return thresholdFor(demands, share * total(demands));
  }

  /** Calculates the admission of a service. */
  #control(
    service: string,
    measured: ServiceCapacity,
    seconds: number,
    now: number,
  ): {
    admission: ServiceAdmission | null;
    change: AdmissionChange | null;
    isNewlyWatched: boolean;
  } {
    const control = this.#controls.get(service) ??
      createControl(now);
    this.#controls.set(service, control);
    const demands = this.#demands.get(service) ?? [];
    const offered = total(demands);
    const waiting = measured.waiting ?? 0;
    const allowed = this.#allowedWaiting(service, demands, measured.latency);
    this.#correct(control, measured, allowed, seconds, now);
    const rate = stableRate(control, measured) * control.correction;
    this.#capacities.set(service, rate);
    const usual = Math.max(USUAL_WAITING, allowed);
    const backlog = Math.max(0, waiting - usual) * measured.slots;
    const reserved = Math.min(
      rate * MAXIMUM_BACKLOG_SHARE,
      backlog * 1_000 / BACKLOG_TIME,
    );
    const fill = Math.min(
      rate * MAXIMUM_FILL_SHARE,
      Math.max(0, allowed - waiting) * measured.slots * 1_000 / BACKLOG_TIME,
    );
    const limit = control.isLimited
      ? LIMIT_END
      : LIMIT_START + restartMargin(control.limitedAt, offered, now);
    const { isLimited: wasLimited, isWatched: wasWatched } = control;
    const isCredible = wasLimited || !isDisproved(offered, rate, measured);
    // After a burst, a correction that is too low must not keep the limit.
    const hasEnded = offered < LIMIT_END * measured.rate &&
      waiting < USUAL_WAITING / 2;
    control.isLimited = offered > limit * rate && isCredible && !hasEnded;
    if (!wasLimited) control.limitedSince = now;
    if (control.isLimited) control.limitedAt = now;
    // What is reserved for waiting requests is not taken from the most urgent
    // ones: they would be refused for the sake of less urgent ones.
    const target = rate * TARGET_UTILIZATION + fill;
    const mostUrgent = Math.min(rate, mostUrgentRate(demands));
    const threshold = control.isLimited
      ? thresholdFor(demands, Math.max(mostUrgent, target - reserved))
      : null;
    const wait = Math.round(waiting * measured.latency);
    control.isWatched = control.isLimited || waiting > NOTABLE_WAITING ||
      (offered > WATCH_START * rate && isCredible);
    const isNewlyWatched = control.isWatched && !wasWatched;
    const admission = control.isWatched
      ? { service, ...(threshold === null ? {} : { threshold }), wait }
      : null;
    const isChanged = (threshold === null) !== (control.announced === null) ||
      Math.abs((threshold ?? 0) - (control.announced ?? 0)) >= NOTABLE_CHANGE;
    if (!isChanged) return { admission, change: null, isNewlyWatched };
    control.announced = threshold;
    const change = {
      service,
      threshold: threshold === null ? null : Number(threshold.toFixed(3)),
      offered: Math.round(offered),
      capacity: Math.round(rate),
      wait,
    };
    return { admission, change, isNewlyWatched };
  }

  /** Corrects the capacity of a service by the load of its servers. */
  #correct(
    control: ServiceControl,
    { waiting, utilization }: ServiceCapacity,
    allowed: number,
    seconds: number,
    now: number,
  ): void {
    if (waiting === null || utilization === null) return;
    const isFull = utilization >= FULL_UTILIZATION;
    const notable = Math.max(NOTABLE_WAITING, allowed);
    if (waiting < notable || !isFull) control.lastCalmAt = now;
    // Without a limit, free slots do not show a wrong capacity: demand is low.
    if (!control.isLimited && control.lastCalmAt === now) {
      const share = Math.min(1, seconds * 1_000 / CORRECTION_LIFETIME);
      control.correction += share * (1 - control.correction);
      return;
    }
    const usual = Math.max(USUAL_WAITING, allowed);
    const excess = Math.min(usual + 1 - USUAL_WAITING, waiting) - usual;
    const calmAt = control.isLimited
      ? control.limitedSince
      : control.lastCalmAt;
    let change = 0;
    // Free slots beside full servers are those of other keys.
    if (!isFull && excess <= 0) {
      change = INCREASE_GAIN * (FULL_UTILIZATION - utilization);
    } else if (isFull && excess > 0 && now - calmAt >= DECREASE_DELAY) {
      change = -DECREASE_GAIN * excess;
    }
    const correction = control.correction * Math.exp(change * seconds);
    control.correction = Math.min(
      MAXIMUM_CORRECTION,
      Math.max(MINIMUM_CORRECTION, correction),
    );
  }

  /**
   * Returns how many requests may wait for each slot of a service: as many as
   * the shortest target of those that it receives permits.
   */
  #allowedWaiting(
    service: string,
    demands: readonly RankedDemand[],
    latency: number,
  ): number {
    const offered = total(demands);
    let allowed = Infinity;
    for (const { priority, arrived } of demands) {
      if (arrived < offered * NOTABLE_DEMAND_SHARE) continue;
      const target = this.target(service, priority);
      if (target === null) return 0;
      allowed = Math.min(allowed, WAIT_SHARE * (target / latency - 1));
    }
    return allowed === Infinity
      ? 0
      : Math.min(MAXIMUM_WAIT_FACTOR, Math.max(0, allowed));
  }

  /**
   * Returns the rates of all services with small changes smoothed; see
   * {@linkcode SIGNIFICANCE}.
   */
  #smooth(
    rates: ReadonlyMap<string, readonly RankedDemand[]>,
  ): Map<string, RankedDemand[]> {
    const smoothed = new Map<string, RankedDemand[]>();
    for (const [service, demands] of rates) {
      const previous = this.#demands.get(service) ?? [];
      const smoothedDemands = demands.map((demand) => {
        const last = previous.find((each) => each.priority === demand.priority);
        return last === undefined ? demand : smoothedDemand(last, demand);
      });
      smoothed.set(service, smoothedDemands);
    }
    return smoothed;
  }
}

/**
 * Measures the capacity of a service and the load of its servers; null if no
 * latency of a server is known.
 */
function measureCapacity(
  service: string,
  fleet: Fleet,
  now: number,
): ServiceCapacity | null {
  const latency = fleet.meanLatency(service, now);
  if (latency === 0) return null;
  let rate = 0;
  let slots = 0;
  let known = 0;
  let waiting = 0;
  let used = 0;
  for (const server of fleet.serversOf(service)) {
    if (!takesRequests(server, now)) continue;
    const { slots: ownSlots } = server.entry;
    const limit = server.rateLimit.current(now) ?? Infinity;
    rate += Math.min(limit, ownSlots * 1_000 / (server.latency ?? latency));
    slots += ownSlots;
    const load = server.latestLoadReport(now);
    if (load === null || load.age > LOAD_LIFETIME) continue;
    known += ownSlots;
    waiting += Math.max(0, load.requests - ownSlots);
    used += Math.min(ownSlots, load.requests);
  }
  if (rate === 0) return null;
  const isKnown = known >= MINIMUM_KNOWN_SHARE * slots;
  return {
    rate,
    slots,
    latency,
    waiting: isKnown ? waiting / known : null,
    utilization: isKnown ? used / known : null,
  };
}

/**
 * Returns the requests per second that a service can run: the measured rate, but
 * while requests wait not much less than before.
 */
function stableRate(
  control: ServiceControl,
  { rate, slots, waiting }: ServiceCapacity,
): number {
  const perSlot = rate / slots;
  if (waiting === null || waiting < USUAL_WAITING) {
    const last = control.calmRate ?? perSlot;
    control.calmRate = last + CALM_WEIGHT * (perSlot - last);
  }
  const lowest = MINIMUM_BUSY_SHARE * (control.calmRate ?? 0) * slots;
  return Math.max(rate, lowest);
}

/** Returns the moving average of a demand, or the demand if it differs much. */
function smoothedDemand(
  last: RankedDemand,
  { priority, arrived, returned }: RankedDemand,
): RankedDemand {
  const change = arrived - last.arrived;
  const deviation = Math.sqrt(Math.max(arrived, last.arrived) / RATE_WINDOW);
  const isNotable = Math.abs(change) > SIGNIFICANCE * deviation;
  const weight = isNotable ? 1 : SMOOTHING_WEIGHT;
  return {
    priority,
    arrived: last.arrived + weight * change,
    returned: last.returned + weight * (returned - last.returned),
  };
}

/**
 * Additional demand, as a share of the capacity, from which a service is limited
 * again soon after a limit. Requests that still wait at its servers then support
 * a demand that only random variation has raised.
 */
function restartMargin(limitedAt: number, offered: number, now: number) {
  return now - limitedAt > RESTART_TIME ? 0 : variationOf(offered);
}

/** Random variation of a rate of requests per second, as a share of it. */
function variationOf(rate: number): number {
  return SIGNIFICANCE / Math.sqrt(rate * RATE_WINDOW);
}

/**
 * Whether the load of the servers contradicts that `offered` requests per
 * second exceed `rate`: the excess is within random variation or the error of a
 * latency, and most servers have free slots.
 */
function isDisproved(
  offered: number,
  rate: number,
  { utilization }: ServiceCapacity,
): boolean {
  if (utilization === null) return false;
  const variation = Math.max(MINIMUM_VARIATION, variationOf(offered));
  const isSmall = offered < rate * (1 + variation);
  return isSmall && utilization < FULL_UTILIZATION;
}

/** Requests per second of the most urgent priority. */
function mostUrgentRate(demands: readonly RankedDemand[]): number {
  let mostUrgent: RankedDemand | null = null;
  for (const each of demands) {
    if (mostUrgent === null || each.priority < mostUrgent.priority) {
      mostUrgent = each;
    }
  }
  return mostUrgent?.arrived ?? 0;
}

/** Whether a server counts in the capacity of its service. */
function takesRequests(server: TrackedServer, now: number): boolean {
  return !server.isLeaving && !server.isBackedOff(now) && !server.isPaused(now);
}

function total(demands: readonly RankedDemand[]): number {
  return demands.reduce((sum, { arrived }) => sum + arrived, 0);
}
