/**
 * The one loop of an entry process: every event goes through one stream into
 * the reducer, and its effects are carried out before the next one.
 *
 * @module
 */
import * as most from "most";
import type { Entry } from "../core/entry.ts";
import type { EntryEffect } from "../core/entry_effect.ts";
import type { EntryEvent, Occurrence } from "../core/entry_event.ts";
import { monotonicNow, onClockJump } from "./monotonic_clock.ts";

/** Name under which `most` listens. */
const EVENT = "event";
/** Shortest time for which the timer is set, in milliseconds. */
const SHORTEST_PAUSE = 1;

/**
 * What `most` takes events from. It is shaped as an `EventTarget` since `most`
 * passes on an `EventEmitter`'s events only after the stack has cleared, and
 * loses those that are emitted meanwhile.
 */
class EventOrigin {
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

/** Takes occurrences into the loop. */
export interface OccurrenceSink {
  push(occurrence: Occurrence): void;
}

/** Carries out effects; never throws. */
export interface EffectHandler {
  handle(effect: EntryEffect): void;
}

/** See the module's comment. */
export class EntryLoop implements OccurrenceSink {
  readonly #origin = new EventOrigin();
  readonly #waiting: Occurrence[] = [];
  #isRunning = false;
  #timer: NodeJS.Timeout | null = null;
  #timerAt = Infinity;
  #isStopped = false;
  readonly #ignoreClock: () => void;

  private constructor(private readonly entry: Entry) {
    this.#ignoreClock = onClockJump((jump) =>
      this.#waiting.unshift({ kind: "clock.jumped", ...jump })
    );
  }

  /** A loop around `entry`. */
  static create(entry: Entry): EntryLoop {
    return new EntryLoop(entry);
  }

  /** Lets `handler` carry out all effects from here on. */
  connect(handler: EffectHandler): void {
    const origin = this.#origin as unknown as EventTarget;
    most.fromEvent(EVENT, origin)
      .map((event) => this.entry.step(event as unknown as EntryEvent))
      .observe((effects) => {
        for (const effect of effects) handler.handle(effect);
      });
  }

  /** Takes in an occurrence; one that arises meanwhile waits its turn. */
  push(occurrence: Occurrence): void {
    this.#waiting.push(occurrence);
    if (this.#isRunning || this.#isStopped) return;
    this.#isRunning = true;
    try {
      while (this.#waiting.length > 0) {
        // A jump that this look finds goes first: nothing is decided upon what was
        // believed before it.
        const now = monotonicNow();
        this.#origin.emit({ ...this.#waiting.shift()!, now });
      }
    } finally {
      this.#isRunning = false;
    }
    this.#setTimer();
  }

  /** Takes nothing in any more. */
  stop(): void {
    this.#isStopped = true;
    this.#ignoreClock();
    if (this.#timer !== null) clearTimeout(this.#timer);
  }

  /** Keeps one timer for the next moment at which the core has to look. */
  #setTimer(): void {
    const now = monotonicNow();
    const at = this.entry.nextAt(now);
    if (this.#timer !== null) {
      if (this.#timerAt <= at) return;
      clearTimeout(this.#timer);
    }
    this.#timerAt = at;
    const pause = Math.max(SHORTEST_PAUSE, at - now);
    this.#timer = setTimeout(() => {
      this.#timer = null;
      this.push({ kind: "timer" });
    }, pause);
  }
}
