/**
 * Limits the processes that the deployments of one test file run at a time.
 *
 * @module
 */

/** Deployment that waits for its processes. */
interface Waiting {
  processes: number;
  start: () => void;
}

/** See the module's comment. */
export class ProcessSlots {
  #running = 0;
  readonly #waiting: Waiting[] = [];

  private constructor(private readonly limit: number) {}

  /** Creates slots for `limit` processes, none of which is taken. */
  static create(limit: number): ProcessSlots {
    return new ProcessSlots(limit);
  }

  /**
   * Resolves once `processes` more may run, in the order of the calls, to a
   * function that returns their slots. A deployment that exceeds the limit runs
   * while no other one does.
   */
  async acquire(processes: number): Promise<() => void> {
    await new Promise<void>((resolve) => {
      this.#waiting.push({ processes, start: resolve });
      this.#startWaiting();
    });
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.#running -= processes;
      this.#startWaiting();
    };
  }

  #startWaiting(): void {
    for (
      let [next] = this.#waiting;
      next !== undefined;
      [next] = this.#waiting
    ) {
      const { processes, start } = next;
      if (this.#running > 0 && this.#running + processes > this.limit) return;
      this.#waiting.shift();
      this.#running += processes;
      start();
    }
  }
}
