/**
 * The pace of one server that has started or recovered: the share of a usual
 * server's requests that it should receive from all VMs together, from 0 to 1.
 *
 * It doubles while the server responds as usual or, however slow it is, no
 * slower than at the pace before. It is halved at once when responses become
 * slower or fail. A fixed ramp would be too slow for a server that is warm at
 * once and too fast for one that is not.
 *
 * ```ts
 * const pace = ServerPace.create(now);
 * pace.observe({ count: 3, mean: 120, failures: 0, requestsPerSlot: 0.5 });
 * if (pace.advance(usualLatency, now)) publish(pace.value);
 * ```
 *
 * @module
 */

/**
 * Pace of a server that has just started or recovered. A server that is four
 * times slower than usual can bear it, and two steps lead to the full pace.
 */
export const INITIAL_PACE = 0.25;
/**
 * Lowest pace, so that a server has requests to show that it recovers, and four
 * steps lead from it to the full pace.
 */
const MINIMUM_PACE = 0.0625;
/**
 * Time between two steps, in milliseconds. VMs learn of a step up to half a
 * second later, and a server that is warm at once should be used within a
 * second.
 */
const STEP_INTERVAL = 200;
/**
 * Time after which the pace is doubled without a response and without a
 * failure, in milliseconds: an idle server shows nothing.
 */
const IDLE_STEP_INTERVAL = 300;
/** Ratio to the usual latency up to which a response counts as usual. */
const USUAL_LATENCY_RATIO = 1.5;
/**
 * Ratio to the latency at the pace before up to which it has not become slower.
 * Latencies of a few responses vary by about this much.
 */
const STABLE_LATENCY_RATIO = 1.4;
/**
 * Deviations of the mean of some responses that are put down to chance. Work
 * varies by about its mean.
 */
const LATENCY_DEVIATIONS = 1.5;
/** Share of failed requests from which a server counts as failing. */
const FAILING_SHARE = 0.2;
/**
 * Number of requests per slot from which a server counts as full: as many wait
 * as run.
 */
const FULL_REQUESTS_PER_SLOT = 2;

/** What VMs have seen of a server since the last observation. */
export interface PaceObservation {
  /** Number of measured responses, and their mean latency in milliseconds. */
  count: number;
  mean: number;
  /** Number of failed requests. */
  failures: number;
  /** Requests at the server for each slot; null if it has not stated them. */
  requestsPerSlot: number | null;
}

/** Why a pace was changed last. */
export type PaceReason =
  | "started"
  | "usual"
  | "idle"
  | "failing"
  | "slower"
  | "full";

/** See the module's comment. Times are milliseconds. */
export class ServerPace {
  #value: number;
  #reason: PaceReason = "started";
  #steppedAt: number;
  /** Mean latency at the pace before; null if it is not known. */
  #formerLatency: number | null = null;
  #latencySum = 0;
  #responses = 0;
  #failures = 0;
  #requestsPerSlot: number | null = null;

  private constructor(value: number, now: number) {
    this.#value = value;
    this.#steppedAt = now;
  }

  /** Creates the pace of a server that has started or recovered at `now`. */
  static create(now: number, value = INITIAL_PACE): ServerPace {
    return new ServerPace(value, now);
  }

  /** The pace, from 0 to 1. */
  get value(): number {
    return this.#value;
  }

  /** Why it has changed last. */
  get reason(): PaceReason {
    return this.#reason;
  }

  /** Adds what a VM has seen of the server. */
  observe({ count, mean, failures, requestsPerSlot }: PaceObservation): void {
    this.#latencySum += count * mean;
    this.#responses += count;
    this.#failures += failures;
    this.#requestsPerSlot = requestsPerSlot ?? this.#requestsPerSlot;
  }

  /**
   * Changes the pace if that is due; returns whether it has changed.
   * `usualLatency` is that of the server before or of its service, in
   * milliseconds; 0 if none is known.
   */
  advance(usualLatency: number, now: number): boolean {
    const elapsed = now - this.#steppedAt;
    const problem = this.#problem(usualLatency);
    if (problem !== null) {
      // Observations between two steps belong to the same pace.
      if (elapsed < STEP_INTERVAL) return false;
      return this.#step(this.#value / 2, problem, now);
    }
    const hasResponses = this.#responses > 0;
    const interval = hasResponses ? STEP_INTERVAL : IDLE_STEP_INTERVAL;
    if (elapsed < interval) return false;
    return this.#step(this.#value * 2, hasResponses ? "usual" : "idle", now);
  }

  /** Why the pace has to fall, or null. */
  #problem(usualLatency: number): PaceReason | null {
    const requests = this.#responses + this.#failures;
    if (this.#failures > FAILING_SHARE * requests) return "failing";
    if ((this.#requestsPerSlot ?? 0) >= FULL_REQUESTS_PER_SLOT) return "full";
    if (this.#responses === 0) return null;
    const latency = this.#latencySum / this.#responses;
    const former = this.#formerLatency;
    const chance = LATENCY_DEVIATIONS / Math.sqrt(this.#responses);
    const isUsual = latency <= usualLatency * (USUAL_LATENCY_RATIO + chance);
    const isStable = former === null ||
      latency <= former * (STABLE_LATENCY_RATIO + chance);
    return isUsual || isStable ? null : "slower";
  }

  #step(value: number, reason: PaceReason, now: number): boolean {
    const next = Math.min(1, Math.max(MINIMUM_PACE, value));
    const hasChanged = next !== this.#value || reason !== this.#reason;
    if (this.#responses > 0) {
      this.#formerLatency = this.#latencySum / this.#responses;
    }
    this.#value = next;
    this.#reason = reason;
    this.#steppedAt = now;
    this.#latencySum = 0;
    this.#responses = 0;
    this.#failures = 0;
    this.#requestsPerSlot = null;
    return hasChanged;
  }
}
