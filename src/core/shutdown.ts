/**
 * The phases of a shutdown: new connections are accepted until the load
 * balancer routes to other VMs; the process then stops once no request is in
 * flight and all responses have been sent, or when the time limit is reached.
 *
 * @module
 */
import type { EntryEffect } from "./entry_effect.ts";
import type { ShutdownTiming } from "./entry_options.ts";

/**
 * Share of {@linkcode ShutdownTiming.closeAfter} after which new requests are
 * refused. A long request may be cut off by the forced stop. Callers tolerate
 * that only for requests of the first 3 s of the shutdown, so later ones are
 * refused. By this time the load balancer routes to other VMs.
 */
const REFUSAL_SHARE = 0.8;

/**
 * Time before the forced stop at which all pending requests are ended with a
 * response, in milliseconds: the responses still have to reach their callers.
 */
const FINAL_RESPONSE_TIME = 250;
/**
 * Maximum lateness for which the process stops earlier, in milliseconds. A
 * longer one is a stall, which is not likely to repeat in the last steps.
 */
const MAXIMUM_LATENESS = 500;
/** Maximum time between two steps during a shutdown, in milliseconds. */
const MAXIMUM_INTERVAL = 50;

/** See the module's comment. */
export class Shutdown {
  #startedAt: number | null = null;
  /** Whether new connections are no longer accepted. */
  #isClosed = false;
  #hasClosedCallers = false;
  #isStopped = false;
  /** Time by which steps may be late, in milliseconds. */
  #lateness = 0;
  /** Time of the last step. */
  #advancedAt = -Infinity;

  private constructor(private readonly timing: ShutdownTiming) {}

  /** Creates a shutdown that has not been requested. */
  static create(timing: ShutdownTiming): Shutdown {
    return new Shutdown(timing);
  }

  /** Whether the shutdown was requested. */
  get isStarted(): boolean {
    return this.#startedAt !== null;
  }

  /** Whether requests that arrive now are refused. */
  isRefusingRequests(now: number): boolean {
    if (this.#startedAt === null) return false;
    return now - this.#startedAt >= this.timing.closeAfter * REFUSAL_SHARE;
  }

  /**
   * Whether the forced stop is imminent. A request that is still pending then
   * would be cut off with its connection, and so would all responses queued
   * behind it.
   */
  isStopImminent(now: number): boolean {
    return now >= this.responsesEndAt;
  }

  /**
   * Time from which on the forced stop is imminent; Infinity before the
   * shutdown.
   */
  get responsesEndAt(): number {
    if (this.#startedAt === null) return Infinity;
    return this.#startedAt + this.#stopAfter - FINAL_RESPONSE_TIME;
  }

  /**
   * Sets by how much the steps of this process have been late recently. It
   * stops earlier by as much, so that it does not miss the time limit if the
   * last steps are late again.
   */
  setLateness(lateness: number): void {
    this.#lateness = Math.min(MAXIMUM_LATENESS, lateness);
  }

  /** When a step is due; Infinity before the shutdown. */
  nextAt(now: number): number {
    const startedAt = this.#startedAt;
    if (startedAt === null) return Infinity;
    const { closeAfter } = this.timing;
    const stopAfter = this.#stopAfter;
    const times = [closeAfter, stopAfter - FINAL_RESPONSE_TIME, stopAfter];
    return Math.min(
      now + MAXIMUM_INTERVAL,
      ...times.map((time) => startedAt + time)
        .filter((at) => at > this.#advancedAt),
    );
  }

  /** Time from the start to the forced stop, in milliseconds. */
  get #stopAfter(): number {
    const { closeAfter, stopAfter } = this.timing;
    return Math.max(closeAfter, stopAfter - this.#lateness);
  }

  /**
   * Starts the shutdown. All its times count from `requestedAt`, however late a
   * busy process handles the request. Returns false if it was started before.
   */
  start(requestedAt: number): boolean {
    if (this.#startedAt !== null) return false;
    this.#startedAt = requestedAt;
    return true;
  }

  /**
   * Records that all responses have been sent and that no further request can
   * arrive.
   */
  callersClosed(): void {
    this.#hasClosedCallers = true;
  }

  /**
   * Returns the effects that are due while `pending` requests are in flight.
   */
  advance(pending: number, now: number): EntryEffect[] {
    this.#advancedAt = now;
    if (this.#startedAt === null || this.#isStopped) return [];
    const effects: EntryEffect[] = [];
    const elapsed = now - this.#startedAt;
    if (elapsed >= this.timing.closeAfter && !this.#isClosed) {
      this.#isClosed = true;
      effects.push({ kind: "callers.close" });
    }
    // `pending` does not include requests that are still being read, nor
    // responses that are still being sent: for those, `callersClosed` has to be
    // called.
    const isIdle = this.#hasClosedCallers && pending === 0;
    if (!isIdle && elapsed < this.#stopAfter) return effects;
    this.#isStopped = true;
    const detail = { pending, lateness: Math.round(this.#lateness) };
    effects.push(
      { kind: "note", level: "info", decision: "shutdown.finished", detail },
      { kind: "process.stop" },
    );
    return effects;
  }
}
