/**
 * The slots of a stand-in backend server: so many pieces of work run at a time,
 * a few wait, and the rest is shed.
 *
 * @module
 */

/** Work that waits for a slot. */
interface Waiting {
  start: () => void;
}

/** See the module's comment. */
export class WorkQueue {
  #running = 0;
  readonly #waiting: Waiting[] = [];

  private constructor(
    readonly slots: number,
    readonly capacity: number,
  ) {}

  /** `slots` run at a time and `capacity` wait. */
  static create(slots: number, capacity: number): WorkQueue {
    return new WorkQueue(slots, capacity);
  }

  /** Pieces of work that run now. */
  get running(): number {
    return this.#running;
  }

  /** Pieces of work that wait now. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Resolves to true once a slot is free, or to false when work is shed. */
  enter(): Promise<boolean> {
    if (this.#running < this.slots) {
      this.#running += 1;
      return Promise.resolve(true);
    }
    if (this.#waiting.length >= this.capacity) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.#waiting.push({ start: () => resolve(true) });
    });
  }

  /** Gives a slot back. */
  leave(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next.start();
  }
}
