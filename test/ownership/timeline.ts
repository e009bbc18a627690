/**
 * Virtual time: steps run in order of their time, and of their planning.
 *
 * @module
 */

interface Step {
  at: number;
  order: number;
  run(): void;
}

/** See the module's comment. */
export class Timeline {
  now = 0;
  #count = 0;
  readonly #steps: Step[] = [];

  private constructor() {}

  /** A timeline at time 0. */
  static create(): Timeline {
    return new Timeline();
  }

  /** Plans `run` for `delay` milliseconds from now. */
  after(delay: number, run: () => void): void {
    this.#count += 1;
    const step = { at: this.now + delay, order: this.#count, run };
    let low = 0;
    let high = this.#steps.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#steps[middle].at <= step.at) low = middle + 1;
      else high = middle;
    }
    this.#steps.splice(low, 0, step);
  }

  /** Runs all steps up to `end`. */
  runUntil(end: number): void {
    while (this.#steps.length > 0 && this.#steps[0].at <= end) {
      const step = this.#steps.shift()!;
      this.now = step.at;
      step.run();
    }
    this.now = end;
  }
}
