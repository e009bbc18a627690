/**
 * Runs on the term holder and plans when refused callers should return to an
 * overloaded service: at times at which free capacity is expected.
 *
 * A caller retries once, and a second refusal is final, so a return must find
 * free capacity. No time gets more returns than it has free capacity, the more
 * urgent priorities come first, and promised returns lower the free capacity.
 * A window that is longer than the callers can honour promises a return to a
 * part of them only: a VM draws a time in the window for each caller, and
 * promises no return if that is too late.
 *
 * ```ts
 * planner.observe("orders", 2, { arrived, returned, refused }, now);
 * planner.plan("orders", capacity, now); // [{ priority: 2, from, until }]
 * ```
 *
 * @module
 */
import {
  MAXIMUM_SERVICE_ENTRIES,
  type ReturnWindow,
  type ServiceAdmission,
} from "../peers/peer_message.ts";
import {
  DemandHistory,
  HISTORY_STEP,
  MEAN_REPORT_AGE,
  type ReportedDemand,
} from "./demand_history.ts";
import { PromisedReturns } from "./promised_returns.ts";
import { MAXIMUM_DELAY_SHARE } from "./return_policy.ts";
import { findWindow, type WindowChoice } from "./window_search.ts";

/** Time between two plans of a service, in milliseconds. */
const PLAN_INTERVAL = 250;
/**
 * Age of a plan for which its windows are computed, in milliseconds. VMs use it
 * at 375 ms on average: half of the plan interval and half of the report
 * interval. With 375 ms, 0.2 to 0.5 % fewer callers were served, and the number
 * of callers that were refused twice was the same.
 */
const PLAN_AGE = 250;
/**
 * Time for which the demand must stay below the capacity until a service is no
 * longer overloaded, in milliseconds.
 */
const RECOVERY_TIME = 1_000;
/**
 * Time before an overload whose mean demand is expected to return after it, and
 * the minimum of it that must be known, in milliseconds.
 */
const BASELINE_TIME = 5_000;
const MINIMUM_BASELINE_TIME = 2_000;
/**
 * Time before the detection of an overload in which the demand may have risen
 * already, in milliseconds.
 */
const DETECTION_TIME = 750;
/** Time between two searches for a period, in milliseconds. */
const PERIOD_INTERVAL = 1_000;
/** Time around a moment over which past demand is averaged, in milliseconds. */
const FORECAST_SMOOTHING = 500;
/**
 * Earliest return while no end of the overload is known, as a share of the
 * longest delay that callers honour: the later, the more likely is the end.
 */
const LATE_START = 0.6;
/**
 * Mean age of the returns in the present demand, in milliseconds: half of the
 * report interval until they are reported, and half of the interval over which
 * reports are counted.
 */
const RETURN_AGE = 500;
/** Minimum delay until a return, in milliseconds. */
const MINIMUM_DELAY = 100;
/**
 * Minimum of the refusals that a plan expects, as a share of the capacity. VMs
 * refuse some callers even if the demand is just below the capacity.
 */
const MINIMUM_REFUSALS = 0.02;
/** Maximum number of windows for one service in a message. */
const MAXIMUM_WINDOWS = 8;
/**
 * Start and end of the window of a priority without free capacity in its
 * callers' time, in milliseconds from now: no caller honours such a delay. A
 * priority without a window was not planned.
 */
const NO_CAPACITY_DELAY = 3_600_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** A window in this VM's time. */
interface PlannedWindow extends ReturnWindow {
  /** Part of the refused callers that is promised a return; 0 if none is. */
  share: number;
}

/** What the planner knows of a service. */
interface ServiceState {
  history: DemandHistory;
  promised: PromisedReturns;
  /** When the demand was last compared with the capacity. */
  updatedAt: number;
  /** Since when the demand exceeds the capacity; null if it does not. */
  overloadedSince: number | null;
  /** When the demand last exceeded the capacity. */
  exceededAt: number;
  /** Demand before the overload by priority; null if it is not known. */
  baseline: ReadonlyMap<number, number> | null;
  period: number | null;
  periodSoughtAt: number;
  plannedAt: number;
  windows: readonly PlannedWindow[];
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ReturnPlanner {
  readonly #services = new Map<string, ServiceState>();

  private constructor(
    private readonly timeout: (
      service: string,
      priority: number,
    ) => number | null,
  ) {}

  /**
   * Creates a planner that knows no demand. `timeout` returns the time in
   * milliseconds that the callers of a service and priority have; null if it is
   * not known.
   */
  static create(
    timeout: (service: string, priority: number) => number | null,
  ): ReturnPlanner {
    return new ReturnPlanner(timeout);
  }

  /** Forgets everything; called at the start of a term. */
  reset(): void {
    this.#services.clear();
  }

  /** Records what a VM has reported on a service and priority. */
  observe(
    service: string,
    priority: number,
    demand: ReportedDemand,
    now: number,
  ): void {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = createState();
      this.#services.set(service, state);
    }
    state.history.record(priority, demand, now);
    if (demand.refused > 0) {
      state.promised.reported(priority, demand.refused, now);
    }
  }

  /**
   * Returns the windows of a service whose servers run `capacity` requests per
   * second, in milliseconds from now. A priority without free capacity in its
   * callers' time has a window that no caller can honour, and one that is not
   * planned has none. Null if the service is not overloaded, or the demand
   * before the overload is not known.
   */
  plan(service: string, capacity: number, now: number): ReturnWindow[] | null {
    const state = this.#services.get(service);
    if (state === undefined || capacity <= 0) return null;
    if (now - state.updatedAt >= HISTORY_STEP) {
      state.updatedAt = now;
      updateOverload(state, capacity, now);
    }
    if (state.overloadedSince === null) return null;
    if (now - state.periodSoughtAt >= PERIOD_INTERVAL) {
      state.periodSoughtAt = now;
      state.period = state.history.period(now);
    }
    if (state.period === null && state.baseline === null) return null;
    if (now - state.plannedAt >= PLAN_INTERVAL) {
      state.plannedAt = now;
      state.windows = this.#createWindows(service, state, capacity, now);
    }
    return state.windows.filter(({ until }) => until > now)
      .map(({ priority, from, until }) => ({
        priority,
        from: Math.max(0, from - now),
        until: until - now,
      }));
  }

  /**
   * Adds the windows of services with a threshold to their admissions: callers
   * of the others are refused for other reasons. `capacities` has the requests
   * per second that the servers of each service run. The result fits into one
   * message.
   */
  addWindows(
    admissions: readonly ServiceAdmission[],
    capacities: ReadonlyMap<string, number>,
    now: number,
  ): ServiceAdmission[] {
    const complete = new Map(admissions.map((each) => [each.service, each]));
    for (const [service, capacity] of capacities) {
      const returns = this.plan(service, capacity, now);
      const admission = complete.get(service);
      if (returns === null || admission?.threshold === undefined) continue;
      complete.set(service, { ...admission, returns });
    }
    return [...complete.values()].slice(0, MAXIMUM_SERVICE_ENTRIES);
  }

  /** Plans the windows of a service, and records the returns they promise. */
  #createWindows(
    service: string,
    state: ServiceState,
    capacity: number,
    now: number,
  ): PlannedWindow[] {
    const windows: PlannedWindow[] = [];
    const refusals = expectedRefusals(state, capacity, now);
    for (const [priority, rate] of refusals) {
      const timeout = this.timeout(service, priority);
      if (timeout === null || windows.length === MAXIMUM_WINDOWS) continue;
      const needed = rate * PLAN_INTERVAL / MILLISECONDS_PER_SECOND;
      const reach = timeout * MAXIMUM_DELAY_SHARE;
      const choice = chooseWindow(
        state,
        priority,
        capacity,
        needed,
        reach,
        now,
      );
      if (choice === null) {
        // Nothing shows that the overload lasts, so callers return late, unless
        // the more urgent ones need the whole capacity.
        const mayEnd = state.period === null &&
          rankBound(state, priority, capacity, now) > 0;
        windows.push(
          mayEnd
            ? lateWindow(priority, reach, now)
            : noCapacityWindow(priority, now),
        );
        continue;
      }
      const { from, until, count } = choice;
      state.promised.add(priority, from, until, count, now);
      const share = count / needed;
      const end = from + (until - from) / share;
      windows.push({ priority, from, until: end, share });
    }
    return windows;
  }
}

function createState(): ServiceState {
  return {
    history: DemandHistory.create(),
    promised: PromisedReturns.create(),
    updatedAt: -Infinity,
    overloadedSince: null,
    exceededAt: -Infinity,
    baseline: null,
    period: null,
    periodSoughtAt: -Infinity,
    plannedAt: -Infinity,
    windows: [],
  };
}

/** Detects the start and the end of an overload. */
function updateOverload(
  state: ServiceState,
  capacity: number,
  now: number,
): void {
  const { history } = state;
  let demand = 0;
  for (const priority of history.priorities) {
    const { fresh, returned } = history.recent(priority, now);
    demand += fresh + returned;
  }
  if (demand > capacity) {
    state.exceededAt = now;
    if (state.overloadedSince === null) {
      state.overloadedSince = now;
      state.baseline = baselineOf(history, now);
    }
  } else if (now - state.exceededAt >= RECOVERY_TIME) {
    state.overloadedSince = null;
    state.windows = [];
  }
}

/** Mean demand by priority before an overload that was detected now. */
function baselineOf(
  history: DemandHistory,
  now: number,
): ReadonlyMap<number, number> | null {
  const until = now - DETECTION_TIME;
  if (history.age(until) < MINIMUM_BASELINE_TIME) return null;
  return new Map(history.priorities.map((priority) => [
    priority,
    history.freshBetween(priority, until - BASELINE_TIME, until),
  ]));
}

/**
 * First attempts that are refused per second, by priority, the most urgent
 * first: what exceeds the capacity, by rank, or what follows from the reported
 * promises if that is more.
 */
function expectedRefusals(
  { history, windows }: ServiceState,
  capacity: number,
  now: number,
): [priority: number, rate: number][] {
  let left = capacity;
  return history.priorities.map((priority) => {
    const { fresh, returned, promised } = history.recent(priority, now);
    left = Math.max(0, left - returned);
    const excess = Math.max(0, fresh - left);
    left = Math.max(0, left - fresh);
    const share = windows.find((each) => each.priority === priority)?.share ??
      0;
    const observed = share === 0 ? 0 : promised / share;
    const rate = Math.max(excess, Math.min(observed, fresh));
    return [priority, Math.max(rate, MINIMUM_REFUSALS * capacity)];
  });
}

/** A window beyond the time of all callers: no free capacity is expected. */
function noCapacityWindow(priority: number, now: number): PlannedWindow {
  const end = now + NO_CAPACITY_DELAY;
  return { priority, from: end, until: end, share: 0 };
}

/** The latest window that callers of a priority honour. */
function lateWindow(
  priority: number,
  reach: number,
  now: number,
): PlannedWindow {
  const until = now + PLAN_AGE + reach;
  const from = until - (1 - LATE_START) * reach;
  return { priority, from, until, share: 1 };
}

/**
 * Chooses the window in which `needed` callers of a priority return, or fewer
 * if there is not enough free capacity; null if there is none.
 */
function chooseWindow(
  state: ServiceState,
  priority: number,
  capacity: number,
  needed: number,
  reach: number,
  now: number,
): WindowChoice | null {
  const isEndKnown = state.period !== null;
  const from = PLAN_AGE +
    Math.max(MINIMUM_DELAY, isEndKnown ? 0 : LATE_START * reach);
  const start = now + from;
  const steps = Math.floor((PLAN_AGE + reach - from) / HISTORY_STEP);
  const unknown = unknownReturns(state, now);
  const bound = isEndKnown
    ? Infinity
    : rankBound(state, priority, capacity, now);
  const free = Array.from({ length: Math.max(0, steps) }, (_, i) => {
    const time = start + i * HISTORY_STEP;
    const demand = forecast(state, priority, time, now);
    return Math.min(capacity - demand, bound) - unknown -
      state.promised.rateAt(time, now);
  });
  const choice = findWindow(
    free.map((rate) => rate * HISTORY_STEP / MILLISECONDS_PER_SECOND),
    needed,
    isEndKnown ? "earliest" : "longest",
  );
  if (choice === null) return null;
  return {
    from: start + choice.from * HISTORY_STEP,
    until: start + choice.until * HISTORY_STEP,
    count: choice.count,
  };
}

/**
 * Capacity that returns of a priority find if the overload goes on: what the
 * more urgent requests leave.
 */
function rankBound(
  { history }: ServiceState,
  priority: number,
  capacity: number,
  now: number,
): number {
  let bound = capacity;
  for (const each of history.priorities) {
    if (each >= priority) break;
    const { fresh, returned } = history.recent(each, now);
    bound -= fresh + returned;
  }
  return bound;
}

/**
 * Expected first attempts per second at `time` that a return of a priority must
 * not displace: those of its own and the more urgent priorities.
 */
function forecast(
  { history, period, baseline }: ServiceState,
  priority: number,
  time: number,
  now: number,
): number {
  const margin = FORECAST_SMOOTHING / 2;
  const known = now - MEAN_REPORT_AGE - margin;
  const periods = period === null
    ? 0
    : Math.max(1, Math.ceil((time - known) / period));
  const middle = time - periods * (period ?? 0);
  let demand = 0;
  for (const each of history.priorities) {
    if (each > priority) break;
    if (period === null) {
      demand += baseline?.get(each) ?? 0;
    } else {
      demand += history.freshBetween(each, middle - margin, middle + margin);
    }
  }
  return demand;
}

/**
 * Returns per second that arrive without a known promise. A former term holder
 * may have planned them, or they follow refusals without a window.
 */
function unknownReturns(
  { history, promised }: ServiceState,
  now: number,
): number {
  let returned = 0;
  for (const priority of history.priorities) {
    returned += history.recent(priority, now).returned;
  }
  const known = promised.rateAt(now - RETURN_AGE, now);
  return Math.max(0, returned - known);
}
