/**
 * Computes the retry delay that a refused caller receives.
 *
 * A caller that waits for most of its timeout before it retries exceeds the
 * target latency even if the next server is idle. A caller whose first attempt
 * is refused early therefore receives a short delay, with which the response
 * can still meet the target. A caller that was refused before receives a long
 * one, after which the cause of the refusal has more likely passed. With long
 * delays only, three of ten responses of a keyed service that shed half of its
 * requests for 8 s were late just because of the delay.
 *
 * ```ts
 * policy.recordTimeout(route, timeout, now);
 * const { delay } = policy.choose(request, now); // milliseconds
 * ```
 *
 * With the feature `schedulesReturns`, the delays of callers that are refused
 * because their service cannot run all requests are those that the term holder
 * has planned, if it has.
 *
 * @module
 */
import { type Route, timeoutOf } from "../catalog/index.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { PendingRequest } from "./request.ts";

/**
 * Delay for a caller whose response cannot meet the target, as a share of its
 * remaining time. Callers honour a delay of at most a third of their remaining
 * time.
 */
const LATE_RETRY_SHARE = 0.3;
/**
 * Delay for a caller whose response can meet the target, as a share of the
 * slack: the time that is left within the target latency, less the mean latency
 * of the service. The rest of the slack is left for the network and for
 * queueing.
 */
const EARLY_RETRY_SHARE = 0.5;
/**
 * Minimum slack for a short delay, as a share of the target latency. With less
 * the response would be late anyway.
 */
const MINIMUM_SLACK_SHARE = 0.1;
/**
 * A request counts as the first attempt of its caller if its timeout is shorter
 * than the longest timeout of its route by at most this share of the longest.
 */
const FIRST_ATTEMPT_TOLERANCE = 0.05;
/**
 * A request counts as the return of a refused caller if its timeout is below
 * this share of the longest one of its route. Callers whose requests wait for
 * others on their connection state up to 0.15 less with the first attempt, and
 * planned returns come after a fifth of the time or more.
 */
const RETURN_SHARE = 0.82;
/**
 * Minimum timeout of a return, as a share of the longest of its route. A caller
 * that is refused within a fifth of its time and returns after a third of the
 * rest has 0.53 left. A shorter timeout is that of another kind of caller.
 */
const MINIMUM_RETURN_SHARE = 0.52;
/**
 * Time without a first attempt after which the longest timeout of a route is
 * replaced, in milliseconds.
 */
const LONGEST_TIMEOUT_LIFETIME = 60_000;
/**
 * Maximum random reduction of a delay, as a share of it, so that callers that
 * were refused together do not retry together.
 */
const JITTER = 0.3;
/** Minimum delay, in milliseconds. */
const MINIMUM_DELAY = 20;

/**
 * Delay while this VM has no path to servers that other VMs reach, in
 * milliseconds: another VM can accept the request immediately.
 */
const ELSEWHERE_DELAY = 20;

/** When a refused caller should retry. */
export interface RetryDelay {
  /** Milliseconds after the refusal. */
  delay: number;
  /**
   * Window from which the delay was drawn, as `FROM-UNTIL` in milliseconds
   * after the refusal, or `none` if no free capacity is expected in the
   * caller's time. Null without a plan.
   */
  window: string | null;
}

/** The part of the dispatcher's dependencies that the policy uses. */
export type RetryAfterContext = Pick<
  DispatchContext,
  "fleet" | "directory" | "paths" | "demand" | "returns" | "features" | "draw"
>;

/** Longest timeout of a route's callers, in milliseconds. */
interface LongestTimeout {
  timeout: number;
  /** When a request with about this timeout last arrived. */
  seenAt: number;
}

/** See the module's comment. */
export class RetryAfterPolicy {
  /**
   * Longest timeout that callers of each route have sent recently. It is the
   * timeout of first attempts, since retries have less time left.
   */
  readonly #longestTimeouts = new Map<string, LongestTimeout>();

  private constructor(private readonly context: RetryAfterContext) {}

  /** Creates a policy that knows no timeouts. */
  static create(context: RetryAfterContext): RetryAfterPolicy {
    return new RetryAfterPolicy(context);
  }

  /** Records the timeout in milliseconds, or null, that a caller sent. */
  recordTimeout({ name }: Route, timeout: number | null, now: number): void {
    if (timeout === null) return;
    const longest = this.#longestTimeouts.get(name);
    if (
      longest === undefined || timeout > longest.timeout ||
      now - longest.seenAt >= LONGEST_TIMEOUT_LIFETIME
    ) {
      this.#longestTimeouts.set(name, { timeout, seenAt: now });
    } else if (isNear(timeout, longest.timeout)) longest.seenAt = now;
  }

  /**
   * Chooses when the caller of a refused request should retry. If the request
   * cannot be served before the end of a backoff, it is then.
   */
  choose(request: PendingRequest, now: number): RetryDelay {
    const { paths } = this.context;
    if (paths.isCutOff(now) && !paths.relays.isEmpty) {
      return { delay: ELSEWHERE_DELAY, window: null };
    }
    const backoffEnd = this.#backoffEnd(request, now);
    if (backoffEnd !== null) return { delay: backoffEnd - now, window: null };
    return this.#plannedDelay(request, now) ??
      { delay: this.#unplannedDelay(request, now), window: null };
  }

  /**
   * Delay that the term holder has planned; null without a plan. Without free
   * capacity in the caller's time, it is the whole of this time, so that the
   * caller does not return in vain.
   */
  #plannedDelay(request: PendingRequest, now: number): RetryDelay | null {
    const { features, returns, demand, draw } = this.context;
    if (!features.schedulesReturns || !request.mayReturn) return null;
    if (!request.lacksCapacity) return null;
    const { service, route, arrival, arrivedAt } = request;
    const { priority } = route;
    const end = arrival.timeout === null
      ? request.deadline
      : arrivedAt + arrival.timeout;
    const remaining = Math.max(0, end - now);
    const routeEnd = arrivedAt + timeoutOf(route);
    const routeRemaining = Math.max(0, routeEnd - now);
    const isReturn = this.isReturn(request);
    const caller = { service, priority, remaining, routeRemaining, isReturn };
    const choice = returns.choose(caller, draw, now);
    if (choice === null) return null;
    if (choice.kind === "none") {
      return { delay: Math.max(MINIMUM_DELAY, remaining), window: "none" };
    }
    demand.refused(service, priority);
    const { delay, from, until } = choice;
    return { delay, window: `${Math.round(from)}-${Math.round(until)}` };
  }

  /** Delay without a plan, in milliseconds. */
  #unplannedDelay(request: PendingRequest, now: number): number {
    const canMeetTarget = this.#isFirstAttempt(request) && !request.isShed;
    const delay = canMeetTarget
      ? this.#earlyDelay(request, now) ?? lateDelay(request, now)
      : lateDelay(request, now);
    const jitter = 1 - JITTER * this.context.draw();
    return Math.max(MINIMUM_DELAY, delay * jitter);
  }

  /**
   * End of the backoff of the key's server, or the first end of the backoffs of
   * all servers; null if there is no such backoff.
   */
  #backoffEnd({ service, key }: PendingRequest, now: number): number | null {
    const servers = key === null
      ? this.context.fleet.serversOf(service)
      : this.#owner(service, key);
    const staying = servers.filter((each) => !each.isLeaving);
    if (staying.length === 0) return null;
    const ends = staying.map(({ statements }) => statements.backoffUntil);
    const first = Math.min(...ends);
    return first > now ? first : null;
  }

  /** The server of a key, if requests for the key are sent to it. */
  #owner(service: string, key: number): TrackedServer[] {
    const { fleet, directory } = this.context;
    const range = directory.find(service, key);
    const server = range?.isOpen ? fleet.get(range.server ?? "") : undefined;
    return server === undefined ? [] : [server];
  }

  /**
   * Delay with which a response can meet the target latency, in milliseconds;
   * null if none can.
   */
  #earlyDelay(
    { arrivedAt, service, route }: PendingRequest,
    now: number,
  ): number | null {
    const meanLatency = this.context.fleet.meanLatency(service, now);
    // Time within the target latency for the delay, the network and queueing.
    const slack = arrivedAt + route.targetLatency - now - meanLatency;
    if (slack < MINIMUM_SLACK_SHARE * route.targetLatency) return null;
    return slack * EARLY_RETRY_SHARE;
  }

  /**
   * Whether callers of a route have time for another whole attempt after a
   * refusal; see {@linkcode Features.minimumTimeRatio}.
   */
  leavesTimeToReturn(route: Route): boolean {
    const { minimumTimeRatio } = this.context.features;
    if (minimumTimeRatio === 0) return true;
    const { timeout = 0 } = this.#longestTimeouts.get(route.name) ?? {};
    return timeout >= minimumTimeRatio * timeoutOf(route);
  }

  /** Whether a request seems to be the retry of a caller that was refused. */
  isReturn(request: PendingRequest): boolean {
    const { timeout } = request.arrival;
    if (timeout === null) return false;
    const share = timeout / this.#longestTimeout(request);
    return share >= MINIMUM_RETURN_SHARE && share < RETURN_SHARE;
  }

  /**
   * Whether a request seems to be the first attempt of its caller, not a retry.
   */
  #isFirstAttempt(request: PendingRequest): boolean {
    const { timeout } = request.arrival;
    return timeout !== null && isNear(timeout, this.#longestTimeout(request));
  }

  /**
   * Timeout of first attempts like a request, in milliseconds; 0 if it is not
   * known. It is at most that of the route, if that has one, unless the request
   * itself has more: one caller with much time would otherwise make the first
   * attempts of others seem to be returns.
   */
  #longestTimeout({ arrival, route }: PendingRequest): number {
    const { timeout = 0 } = this.#longestTimeouts.get(route.name) ?? {};
    const isLimited = route.timeout > 0 &&
      (arrival.timeout ?? 0) <= route.timeout;
    return isLimited ? Math.min(timeout, route.timeout) : timeout;
  }
}

/** Whether a timeout is that of a first attempt if these have `longest`. */
function isNear(timeout: number, longest: number): boolean {
  return timeout >= longest * (1 - FIRST_ATTEMPT_TOLERANCE);
}

/**
 * Delay for a caller whose response cannot meet the target latency, in
 * milliseconds.
 */
function lateDelay({ arrivedAt, arrival }: PendingRequest, now: number) {
  return (arrivedAt + (arrival.timeout ?? 0) - now) * LATE_RETRY_SHARE;
}
