/**
 * The event loop of an entry process. It passes every event through one stream
 * to the core, and executes the effects that the core returns before it
 * processes the next event.
 *
 * @module
 */
import * as most from "most";
import type { Entry } from "../core/entry.ts";
import type { EntryEffect } from "../core/entry_effect.ts";
import type { EntryEvent, UntimedEvent } from "../core/entry_event.ts";
import { monotonicNow, onClockJump } from "./monotonic_clock.ts";

/** Name of the event that `most` subscribes to. */
const EVENT_NAME = "event";
/** Minimum delay of the timer, in milliseconds. */
const MINIMUM_TIMER_DELAY = 1;

/**
 * Source of the event stream. It implements `EventTarget`, since `most`
 * forwards the events of an `EventEmitter` only after the call stack has
 * cleared, and loses events that are emitted before that.
 */
class LoopEventTarget {
  #listener: ((event: EntryEvent) => void) | null = null;

  addEventListener(_: string, listener: (event: EntryEvent) => void): void {
    this.#listener = listener;
  }

  removeEventListener(): void {
    this.#listener = null;
  }

  emit(event: EntryEvent): void {
    this.#listener?.(event);
  }
}

/** Accepts events for the loop. */
export interface EventSink {
  push(event: UntimedEvent): void;
}

/** Executes effects. */
export interface EffectHandler {
  /** Executes one effect; never throws. */
  handle(effect: EntryEffect): void;
}

/** See the module's comment. */
export class EntryLoop implements EventSink {
  readonly #eventTarget = new LoopEventTarget();
  readonly #queue: UntimedEvent[] = [];
  #isRunning = false;
  #timer: NodeJS.Timeout | null = null;
  #timerAt = Infinity;
  #isStopped = false;
  readonly #unsubscribeClock: () => void;

  private constructor(private readonly entry: Entry) {
    this.#unsubscribeClock = onClockJump((jump) =>
      this.#queue.unshift({ kind: "clock.jumped", ...jump })
    );
  }

  /** Creates a loop around `entry`. */
  static create(entry: Entry): EntryLoop {
    return new EntryLoop(entry);
  }

  /** Executes all effects with `handler` from now on. */
  connect(handler: EffectHandler): void {
    const target = this.#eventTarget as unknown as EventTarget;
    most.fromEvent(EVENT_NAME, target)
      .map((event) => this.entry.step(event as unknown as EntryEvent))
      .observe((effects) => {
        for (const effect of effects) handler.handle(effect);
      });
  }

  /**
   * Processes an event, or queues it if it is pushed while another one is
   * processed.
   */
  push(event: UntimedEvent): void {
    this.#queue.push(event);
    if (this.#isRunning || this.#isStopped) return;
    this.#isRunning = true;
    try {
      while (this.#queue.length > 0) {
        // Reading the clock may put a clock jump at the front of the queue. It
        // is processed first, so that nothing is decided from state that
        // predates the jump.
        const now = monotonicNow();
        this.#eventTarget.emit({ ...this.#queue.shift()!, now });
      }
    } finally {
      this.#isRunning = false;
    }
    this.#setTimer();
  }

  /** Stops the loop, which then ignores all further events. */
  stop(): void {
    this.#isStopped = true;
    this.#unsubscribeClock();
    if (this.#timer !== null) clearTimeout(this.#timer);
  }

  /** Sets one timer for the next time at which the core has to run. */
  #setTimer(): void {
    const now = monotonicNow();
    const at = this.entry.nextAt(now);
    if (this.#timer !== null) {
      if (this.#timerAt <= at) return;
      clearTimeout(this.#timer);
    }
    this.#timerAt = at;
    const delay = Math.max(MINIMUM_TIMER_DELAY, at - now);
    this.#timer = setTimeout(() => {
      this.#timer = null;
      this.push({ kind: "timer" });
    }, delay);
  }
}
