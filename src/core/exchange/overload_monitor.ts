/**
 * Runs on the term holder and detects overloaded servers of keyed services from
 * the reports of all VMs. A VM that sends a server one request every few
 * seconds cannot detect by itself that the server is at capacity.
 *
 * @module
 */
import {
  AdmissionController,
  type AdmissionUpdate,
} from "../admission/index.ts";
import type { ClusterState } from "../cluster_state.ts";
import {
  DEMAND_WINDOW,
  findOverloads,
  type KeyLimit,
  type KeyLoads,
  type ServerOverload,
  type TermHolder,
} from "../keyspace/index.ts";
import {
  MAXIMUM_RATE_LIMITS,
  type OverloadState,
  type PriorityDemand,
} from "../peers/index.ts";

/**
 * Time between two checks, in milliseconds: half of the time between two
 * reports of a follower.
 */
const CHECK_INTERVAL = 250;
/**
 * Number of requests from which a server's load is published, in multiples of
 * its slots. A server with fewer requests has free slots by the time other VMs
 * receive its load.
 */
const LOAD_THRESHOLD = 2;
/**
 * Factor by which the share that a limit on keys admits must be below that of
 * the service for the limit to count besides it.
 */
const COMMON_SHARE_FACTOR = 1.4;
/** Maximum number of server loads in one answer; bounds its size. */
const MAXIMUM_LOADS = 64;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class OverloadMonitor {
  #current: OverloadState = {
    limits: [],
    loads: [],
    rates: [],
    admissions: [],
  };
  #checkedAt = -Infinity;
  readonly #controller: AdmissionController;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly loads: KeyLoads,
  ) {
    // Servers run requests in the order of their arrival, so that less urgent
    // requests that wait there would delay the more urgent ones.
    this.#controller = AdmissionController.create((service, priority) =>
      clusterState.catalog.hasOnePriority(service)
        ? clusterState.catalog.shortestTarget(service, priority)
        : null
    );
  }

  /** Creates a monitor that has not checked yet. */
  static create(clusterState: ClusterState, loads: KeyLoads): OverloadMonitor {
    return new OverloadMonitor(clusterState, loads);
  }

  /** Result of the last check. */
  get current(): OverloadState {
    return this.#current;
  }

  /**
   * Records the demand that the VM at `address` has reported at `sentAt` of its
   * own clock.
   */
  demandReported(
    address: string,
    demand: readonly PriorityDemand[],
    sentAt: number,
    now: number,
  ): void {
    if (!this.clusterState.features.admitsByPriority) return;
    this.#controller.reported(address, demand, sentAt, now);
  }

  /** Requests per second that the servers of each service can run. */
  get capacities(): ReadonlyMap<string, number> {
    return this.#controller.capacities;
  }

  /**
   * Repeats the calculation of the admissions if it is due, and applies them on
   * this VM. Returns true if the followers need them before their next reports.
   */
  advanceAdmissions(holder: TermHolder, now: number): boolean {
    const { admission, features, fleet } = this.clusterState;
    if (!features.admitsByPriority) return false;
    this.#controller.startTerm(holder.term, now);
    const update = this.#controller.advance(fleet, now);
    if (update === null) return false;
    const { admissions } = update;
    this.#current = { ...this.#current, admissions };
    admission.replace(admissions, now);
    this.#logAdmissions(update);
    return update.isUrgent;
  }

  #logAdmissions({ changes }: AdmissionUpdate): void {
    for (const change of changes) {
      this.clusterState.logDecision("admission.changed", { ...change });
    }
  }

  /**
   * Repeats the check if it is due, and applies the resulting limits on this
   * VM. The followers receive them with the holder's answers.
   */
  advance(holder: TermHolder, now: number): void {
    if (now - this.#checkedAt < CHECK_INTERVAL) return;
    this.#checkedAt = now;
    const { catalog, fleet, keyLimits } = this.clusterState;
    const services = catalog.keyedServices.map(({ name }) => name);
    const overloads = services.flatMap((service) => {
      const keys = this.loads.of(service).recentKeys(DEMAND_WINDOW, now);
      const ranges = holder.ranges(service);
      return findOverloads(service, ranges, keys, DEMAND_WINDOW, fleet, now)
        .filter((each) => this.#isConfirmed(each, now));
    });
    const limits = overloads.flatMap((each) => each.limits)
      .map((limit) => this.#withThreshold(limit));
    const loads = services.flatMap((service) =>
      this.#loadsAtCapacity(service, now)
    )
      .slice(0, MAXIMUM_LOADS);
    this.#logChanges(overloads, limits, now);
    const rates = fleet.reportedRateLimits(now).slice(0, MAXIMUM_RATE_LIMITS);
    const { admissions } = this.#current;
    this.#current = { limits, loads, rates, admissions };
    keyLimits.replace(limits, now);
  }

  /**
   * Adds the threshold that admits the share of a limit, if this VM admits by
   * priority. The keys are assumed to have the priorities of their service.
   *
   * While the service is limited, so are nearly all of its servers, since keys
   * count when they are requested. Only servers with clearly more demand than
   * the others get a lower threshold: the shares of the others differ at random,
   * and the lower of two thresholds would leave slots free at each of them.
   */
  #withThreshold(limit: KeyLimit): KeyLimit {
    if (!this.clusterState.features.admitsByPriority) return limit;
    const { service, share } = limit;
    const threshold = this.#controller.thresholdOfShare(service, share);
    if (threshold === null) return limit;
    const admission = this.#current.admissions.find((each) =>
      each.service === service
    );
    const common = admission?.threshold ?? Infinity;
    const raised = this.#controller.thresholdOfShare(
      service,
      share * COMMON_SHARE_FACTOR,
    );
    const isCommon = raised === null || raised >= common;
    return {
      ...limit,
      threshold: isCommon && common < Infinity
        ? Math.max(threshold, common)
        : threshold,
    };
  }

  /**
   * Whether a server's overload is to be limited. The capacity follows from a
   * latency that VMs measure, and the demand from requests that may have waited
   * for a VM, so both can be wrong for a moment: no limit begins while the
   * server itself reports free slots. Under a limit it has free slots at times,
   * as has another server to which the keys move, so these don't end it.
   */
  #isConfirmed({ server, limits }: ServerOverload, now: number): boolean {
    const { limits: previous } = this.#current;
    const isLimited = limits.some((limit) =>
      previous.some((each) => isSame(each, limit))
    );
    if (isLimited) return true;
    return !this.clusterState.fleet.get(server)?.hasFreeSlots(now);
  }

  /**
   * Logs each range whose limit begins or ends, and what a limit that begins
   * derives from.
   */
  #logChanges(
    overloads: readonly ServerOverload[],
    limits: readonly KeyLimit[],
    now: number,
  ): void {
    const { limits: previous } = this.#current;
    for (const overload of overloads) {
      for (const limit of overload.limits) {
        if (previous.some((each) => isSame(each, limit))) continue;
        const detail = { ...limit, ...this.#basis(overload, now) };
        this.clusterState.logDecision("keys.limited", detail);
      }
    }
    for (const { service, first, last } of previous) {
      if (limits.some((each) => isSame(each, { service, first }))) continue;
      this.clusterState.logDecision("keys.unlimited", { service, first, last });
    }
  }

  /**
   * Returns what the limits of a server derive from, for the log: its demand
   * and capacity in the window, its latency with the latest samples of it, and
   * its latest load report. Times are milliseconds.
   */
  #basis({ server: id, demand, capacity }: ServerOverload, now: number) {
    const server = this.clusterState.fleet.get(id);
    const origin = server?.latencyOrigin ?? null;
    const load = server?.latestLoadReport(now) ?? null;
    return {
      server: id,
      slots: server?.entry.slots ?? null,
      demand,
      capacity: Math.round(capacity),
      latency: rounded(server?.latency ?? null),
      measuredBy: origin?.vm ?? null,
      sample: rounded(origin?.mean ?? null),
      samples: origin?.count ?? 0,
      sampleAge: rounded(origin === null ? null : now - origin.at),
      load: load?.requests ?? null,
      loadAge: rounded(load?.age ?? null),
    };
  }

  /**
   * Loads of the service's servers that have reached the threshold for
   * publication.
   */
  #loadsAtCapacity(service: string, now: number): OverloadState["loads"] {
    return this.clusterState.fleet.serversOf(service).flatMap((server) => {
      const reportedLoad = server.latestLoadReport(now);
      const minimum = server.entry.slots * LOAD_THRESHOLD;
      if (reportedLoad === null || reportedLoad.requests < minimum) return [];
      return [{ server: server.id, ...reportedLoad }];
    });
  }
}

/** Whether two limits apply to ranges that begin at the same key. */
function isSame(
  a: Pick<KeyLimit, "service" | "first">,
  b: Pick<KeyLimit, "service" | "first">,
): boolean {
  return a.service === b.service && a.first === b.first;
}

function rounded(value: number | null): number | null {
  return value === null ? null : Math.round(value);
}
