/**
 * Virtual time: actions in the order of their moments.
 *
 * @module
 */

/** An action at a moment. */
interface Entry {
  at: number;
  order: number;
  action: () => void;
}

/** A queue of actions; those of one moment run in the order they were added. */
export class Timeline {
  #now = 0;
  #added = 0;
  readonly #heap: Entry[] = [];

  private constructor() {}

  /** A timeline at moment zero. */
  static create(): Timeline {
    return new Timeline();
  }

  /** Milliseconds since the start. */
  get now(): number {
    return this.#now;
  }

  /** Runs `action` after `delay` milliseconds. */
  after(delay: number, action: () => void): void {
    this.#push({ at: this.#now + delay, order: this.#added++, action });
  }

  /** Runs everything up to `end`. */
  runUntil(end: number): void {
    while (this.#heap.length > 0 && this.#heap[0].at <= end) {
      const entry = this.#pop();
      this.#now = entry.at;
      entry.action();
    }
    this.#now = end;
  }

  #push(entry: Entry): void {
    const heap = this.#heap;
    let index = heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent], entry)) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = entry;
  }

  #pop(): Entry {
    const heap = this.#heap;
    const top = heap[0];
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right], heap[child])) {
        child = right;
      }
      if (isBefore(last, heap[child])) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
    return top;
  }
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.at < b.at || a.at === b.at && a.order < b.order;
}
