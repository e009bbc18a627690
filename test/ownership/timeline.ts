/**
 * Virtual time: tasks run in order of their due time, and those of the same
 * time in the order in which they were scheduled.
 *
 * @module
 */

interface Task {
  at: number;
  order: number;
  run(): void;
}

/** See the module's comment. */
export class Timeline {
  now = 0;
  #taskCount = 0;
  readonly #tasks: Task[] = [];

  private constructor() {}

  /** Creates a timeline at time 0. */
  static create(): Timeline {
    return new Timeline();
  }

  /** Schedules `run` in `delay` milliseconds. */
  after(delay: number, run: () => void): void {
    this.#taskCount += 1;
    const task = { at: this.now + delay, order: this.#taskCount, run };
    let low = 0;
    let high = this.#tasks.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#tasks[middle].at <= task.at) low = middle + 1;
      else high = middle;
    }
    this.#tasks.splice(low, 0, task);
  }

  /** Runs all tasks that are due by `end`. */
  runUntil(end: number): void {
    while (this.#tasks.length > 0 && this.#tasks[0].at <= end) {
      const task = this.#tasks.shift()!;
      this.now = task.at;
      task.run();
    }
    this.now = end;
  }
}
