/**
 * The one loop of a process: merges the events of all adapters into one stream,
 * passes each to the core, and has its effects carried out before the next.
 *
 * @module
 */
import { EventEmitter } from "node:events";
import * as most from "most";
import type { Effect, Event, Router } from "../core/index.ts";

/** Name under which sources emit events. */
const EVENT = "event";

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
  readonly #source = new EventEmitter();
  readonly #waiting: Event[] = [];
  #running = false;

  private constructor() {}

  /** A loop that is not connected to a core yet. */
  static create(): EventLoop {
    return new EventLoop();
  }

  /** Lets `router` reduce all events from here on. */
  connect(router: Router, runner: EffectRunner): void {
    most.fromEvent<Event>(EVENT, this.#source)
      .map((event) => router.step(event))
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
        this.#source.emit(EVENT, next);
        next = this.#waiting.shift();
      }
    } finally {
      this.#running = false;
    }
  }
}
