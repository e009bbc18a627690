/**
 * Admission control of a stand-in backend server: a fixed number of requests
 * runs concurrently, a bounded number waits in a queue, and the rest is
 * refused.
 *
 * @module
 */

/** A request that waits for a slot. */
interface QueuedWork {
  start: () => void;
}

/** See the module's comment. */
export class WorkQueue {
  #running = 0;
  readonly #waiting: QueuedWork[] = [];

  private constructor(
    readonly slots: number,
    readonly capacity: number,
  ) {}

  /**
   * Creates a queue in which up to `slots` requests run and up to `capacity`
   * wait.
   */
  static create(slots: number, capacity: number): WorkQueue {
    return new WorkQueue(slots, capacity);
  }

  /** Number of requests that are running. */
  get running(): number {
    return this.#running;
  }

  /** Number of requests that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /**
   * Resolves to true when a slot has been acquired, or to false if the queue is
   * full and the request must be refused.
   */
  acquire(): Promise<boolean> {
    if (this.#running < this.slots) {
      this.#running += 1;
      return Promise.resolve(true);
    }
    if (this.#waiting.length >= this.capacity) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.#waiting.push({ start: () => resolve(true) });
    });
  }

  /** Releases a slot; the request that has waited longest acquires it. */
  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next.start();
  }
}
