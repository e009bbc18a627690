/**
 * The one loop of a process: merges the events of all adapters into one stream,
 * passes each to the core, and has its effects carried out before the next.
 *
 * @module
 */
import * as most from "most";
import type { Effect, Event, Router } from "../core/index.ts";

/** Name under which `most` listens. */
const EVENT = "event";

/**
 * What `most` takes events from. It is shaped as an `EventTarget` since `most`
 * passes on an `EventEmitter`'s events only after the stack has cleared, and
 * loses those that are emitted meanwhile.
 */
class EventOrigin {
  #listener: ((event: Event) => void) | null = null;

  addEventListener(_name: string, listener: (event: Event) => void): void {
    this.#listener = listener;
  }

  removeEventListener(): void {
    this.#listener = null;
  }

  /** Passes an event on at once. */
  emit(event: Event): void {
    this.#listener?.(event);
  }
}

/** Carries out effects. */
export abstract class EffectRunner {
  /** Carries out one effect; never throws. */
  abstract run(effect: Effect): void;
}

/** Takes events into the loop. */
export interface EventSink {
  push(event: Event): void;
}

/** See the module's comment. */
export class EventLoop implements EventSink {
  readonly #origin = new EventOrigin();
  readonly #waiting: Event[] = [];
  #running = false;

  private constructor() {}

  /** A loop that is not connected to a core yet. */
  static create(): EventLoop {
    return new EventLoop();
  }

  /** Lets `router` reduce all events from here on. */
  connect(router: Router, runner: EffectRunner): void {
    const origin = this.#origin as unknown as EventTarget;
    most.fromEvent(EVENT, origin)
      .map((event) => router.step(event as unknown as Event))
      .observe((effects) => {
        for (const effect of effects) runner.run(effect);
      });
  }

  /**
   * Takes in an event. One that arises while an effect is carried out waits
   * until the effects before it are done.
   */
  push(event: Event): void {
    this.#waiting.push(event);
    if (this.#running) return;
    this.#running = true;
    try {
      let next = this.#waiting.shift();
      while (next !== undefined) {
        this.#origin.emit(next);
        next = this.#waiting.shift();
      }
    } finally {
      this.#running = false;
    }
  }
}
