/**
 * Decides on each VM when a refused caller should return, from the windows that
 * the term holder has planned.
 *
 * ```ts
 * policy.receive(admissions, now);
 * policy.choose(refusedCaller, draw, now); // { kind: "return", delay, ... }
 * ```
 *
 * @module
 */
import type { ReturnWindow, ServiceAdmission } from "../peers/peer_message.ts";

/** Time for which the windows of an answer apply, in milliseconds. */
const WINDOW_LIFETIME = 1_200;
/**
 * Longest delay that a caller honours, as a share of its remaining time. It is
 * a third; the rest covers the time that the refusal takes to reach the caller.
 */
export const MAXIMUM_DELAY_SHARE = 0.32;
/** Minimum delay, in milliseconds. */
const MINIMUM_DELAY = 20;

/** A caller that is refused since its service cannot run all requests. */
export interface RefusedCaller {
  service: string;
  priority: number;
  /** Time until the caller needs a response, in milliseconds. */
  remaining: number;
  /**
   * The same for a caller with the timeout of the route, for which windows are
   * planned.
   */
  routeRemaining: number;
  /** Whether it was refused before; a second refusal is final. */
  isReturn: boolean;
}

/** When a refused caller should return. Times are milliseconds from now. */
export type ReturnChoice =
  | { kind: "return"; delay: number; from: number; until: number }
  /** No free capacity is expected in the caller's time. */
  | { kind: "none" };

/** Numbers of returns of one service since the start of this process. */
export interface ReturnCounts {
  /** Callers that were promised a return. */
  promised: number;
  /** Callers that have returned. */
  returned: number;
  /** Returns that were refused since the service cannot run all requests. */
  refusedAgain: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ReturnPolicy {
  #windows = new Map<string, readonly ReturnWindow[]>();
  #receivedAt = -Infinity;
  readonly #counts = new Map<string, ReturnCounts>();

  private constructor() {}

  /** Creates a policy without windows. */
  static create(): ReturnPolicy {
    return new ReturnPolicy();
  }

  /** Counts by service, of the services with any. */
  get counts(): ReadonlyMap<string, ReturnCounts> {
    return this.#counts;
  }

  /**
   * Replaces the windows by those of the term holder's latest answer, which
   * also lists services without planned returns.
   */
  receive(
    admissions: readonly Pick<ServiceAdmission, "service" | "returns">[],
    now: number,
  ): void {
    this.#receivedAt = now;
    this.#windows = new Map(
      admissions.flatMap(({ service, returns }) =>
        returns === undefined ? [] : [[service, returns] as const]
      ),
    );
  }

  /** Records the arrival of a caller that was refused before. */
  returned(service: string): void {
    this.#countsOf(service).returned += 1;
  }

  /**
   * Chooses when a refused caller should return; null if no returns are planned
   * for its service and priority, or only later than its own timeout permits.
   * `draw` returns a random number in [0, 1).
   *
   * A draw beyond the reach of callers with the timeout of the route promises no
   * return. A draw that only a shorter timeout excludes is repeated in the part
   * of the window that the caller can honour.
   */
  choose(
    { service, priority, remaining, routeRemaining, isReturn }: RefusedCaller,
    draw: () => number,
    now: number,
  ): ReturnChoice | null {
    if (isReturn) this.#countsOf(service).refusedAgain += 1;
    if (now - this.#receivedAt >= WINDOW_LIFETIME) return null;
    const windows = this.#windows.get(service);
    if (windows === undefined) return null;
    const window = windows.find((each) => each.priority === priority);
    if (window === undefined) return null;
    if (isReturn) return { kind: "none" };
    const from = Math.max(MINIMUM_DELAY, this.#receivedAt + window.from - now);
    const until = this.#receivedAt + window.until - now;
    const reach = remaining * MAXIMUM_DELAY_SHARE;
    const routeReach = routeRemaining * MAXIMUM_DELAY_SHARE;
    if (until < from || from > routeReach) return { kind: "none" };
    if (from > reach) return null;
    let delay = from + draw() * (until - from);
    if (delay > routeReach) return { kind: "none" };
    if (delay > reach) delay = from + draw() * (reach - from);
    this.#countsOf(service).promised += 1;
    return { kind: "return", delay, from, until };
  }

  #countsOf(service: string): ReturnCounts {
    let counts = this.#counts.get(service);
    if (counts === undefined) {
      counts = { promised: 0, returned: 0, refusedAgain: 0 };
      this.#counts.set(service, counts);
    }
    return counts;
  }
}
