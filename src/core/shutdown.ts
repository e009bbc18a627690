/**
 * The steps of a shutdown: new connections are taken until the balancer has
 * turned to other VMs; then the process stops when nothing is in flight and all
 * answers were sent, or when its time is over.
 *
 * @module
 */
import type { EntryEffect } from "./entry_effect.ts";
import type { ShutdownTiming } from "./entry_options.ts";

/** Share of the time before the close after which new requests are turned away:
 * what is taken later and runs for long would be cut off at the end by force, which
 * callers bear only of requests of the first 3 s. By then the balancer has turned to
 * other VMs. */
const TURN_AWAY_SHARE = 0.8;

/** Time before the end in which nothing waits any more, in milliseconds: what
 * callers are told instead has to reach them. */
const PARTING_TIME = 250;

/** See the module's comment. */
export class Shutdown {
  #startedAt: number | null = null;
  #isClosed = false;
  #areCallersClosed = false;
  #isStopped = false;

  private constructor(private readonly timing: ShutdownTiming) {}

  /** A shutdown that nobody has asked for. */
  static create(timing: ShutdownTiming): Shutdown {
    return new Shutdown(timing);
  }

  /** Whether it was asked for. */
  get isStarted(): boolean {
    return this.#startedAt !== null;
  }

  /** Whether requests that come now are turned away. */
  isTurningAway(now: number): boolean {
    if (this.#startedAt === null) return false;
    return now - this.#startedAt >= this.timing.closeAfter * TURN_AWAY_SHARE;
  }

  /** Whether its time is all but over: what is not answered by now would be cut with
   * its connection, and with it all answers that stand behind. */
  isEnding(now: number): boolean {
    if (this.#startedAt === null) return false;
    return now - this.#startedAt >= this.timing.stopAfter - PARTING_TIME;
  }

  /** It was asked for at `askedAt`; false when it was before. The end by force
   * counts from then, however late a busy process sees it. */
  start(askedAt: number): boolean {
    if (this.#startedAt !== null) return false;
    this.#startedAt = askedAt;
    return true;
  }

  /** Nothing is due to any caller, and no request comes any more. */
  callersClosed(): void {
    this.#areCallersClosed = true;
  }

  /** Takes the steps that are due while `pending` requests are in flight. */
  advance(pending: number, now: number): EntryEffect[] {
    if (this.#startedAt === null || this.#isStopped) return [];
    const effects: EntryEffect[] = [];
    const elapsed = now - this.#startedAt;
    if (elapsed >= this.timing.closeAfter && !this.#isClosed) {
      this.#isClosed = true;
      effects.push({ kind: "callers.close" });
    }
    // What the callers' side still reads or sends does not count as pending.
    const isIdle = this.#areCallersClosed && pending === 0;
    if (!isIdle && elapsed < this.timing.stopAfter) return effects;
    this.#isStopped = true;
    const detail = { pending };
    effects.push(
      { kind: "note", level: "info", decision: "shutdown.finished", detail },
      { kind: "process.stop" },
    );
    return effects;
  }
}
