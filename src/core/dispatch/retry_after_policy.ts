/**
 * When a refused caller should come back.
 *
 * A caller that is sent away for most of its time is answered late even if the
 * next server is idle. So one whose first attempt is refused early comes back
 * while an answer can still be within the target; one that was refused before
 * comes back late, when what was in its way has more likely passed. While a
 * keyed service shed half of its requests for 8 s, three of ten answers were late
 * for nothing but the pause.
 *
 * ```ts
 * advice.arrived(route, timeout);
 * const pause = advice.pause(request, now); // milliseconds
 * ```
 *
 * @module
 */
import type { Route } from "../catalog/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { PendingRequest } from "./request.ts";

/** Share of the time left after which a caller should come back that cannot be
 * answered within the target: the longest that callers honour is a third. */
const LATE_SHARE = 0.3;
/** Share of the time to spare within the target for which a caller stays away:
 * the rest is for its way and for a wait. */
const EARLY_SHARE = 0.5;
/** Least time to spare, as a share of the target, for an early return: with
 * less it would be late after all. */
const LEAST_SPARE_SHARE = 0.1;
/** Share of the longest timeout of a route that an attempt's may lack and still
 * count as a caller's first. */
const FIRST_TOLERANCE = 0.05;
/** How far returns are spread, as a share of the pause, so that callers that were
 * refused together do not come back together. */
const SPREAD = 0.3;
/** Shortest pause that a refused caller is asked for, in milliseconds. */
const SHORTEST_PAUSE = 20;

/** See the module's comment. */
export class RetryAdvice {
  /** Longest timeout that callers of a route have stated, in milliseconds: that
   * of their first attempts. */
  readonly #longest = new Map<string, number>();

  private constructor(private readonly context: DispatchContext) {}

  /** Advice that has seen no caller. */
  static create(context: DispatchContext): RetryAdvice {
    return new RetryAdvice(context);
  }

  /** A caller of `route` waits for `timeout` ms, or does not say (null). */
  arrived({ name }: Route, timeout: number | null): void {
    if (timeout === null) return;
    if (timeout > (this.#longest.get(name) ?? 0)) {
      this.#longest.set(name, timeout);
    }
  }

  /** Milliseconds after which the caller of a refused request should come back. */
  pause(request: PendingRequest, now: number): number {
    const mayBeInTime = this.#isFirst(request) && !request.isCrowdedOut;
    const pause = mayBeInTime
      ? this.#earlyPause(request, now) ?? latePause(request, now)
      : latePause(request, now);
    const spread = 1 - SPREAD * this.context.draw();
    return Math.max(SHORTEST_PAUSE, pause * spread);
  }

  /** The pause for an answer within the target; null when none can be. */
  #earlyPause(
    { arrivedAt, service, route }: PendingRequest,
    now: number,
  ): number | null {
    const usual = this.context.fleet.usualLatency(service, now);
    const spare = arrivedAt + route.targetLatency - now - usual;
    if (spare < LEAST_SPARE_SHARE * route.targetLatency) return null;
    return spare * EARLY_SHARE;
  }

  #isFirst({ arrival, route }: PendingRequest): boolean {
    if (arrival.timeout === null) return false;
    const longest = this.#longest.get(route.name) ?? 0;
    return arrival.timeout >= longest * (1 - FIRST_TOLERANCE);
  }
}

function latePause({ arrivedAt, arrival }: PendingRequest, now: number) {
  return (arrivedAt + (arrival.timeout ?? 0) - now) * LATE_SHARE;
}
