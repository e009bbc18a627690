/**
 * Tells which server holds a key, from the newest recorded assignments.
 *
 * @module
 */
import type { AssignedRange, Assignment } from "./assignment.ts";

/** See the module's comment. */
export class KeyDirectory {
  readonly #assignments = new Map<string, Assignment>();

  private constructor() {}

  /** A directory that knows no assignment. */
  static create(): KeyDirectory {
    return new KeyDirectory();
  }

  /** Takes a newer assignment; one of an older term is ignored. */
  apply(assignment: Assignment): boolean {
    const known = this.#assignments.get(assignment.service);
    if (known !== undefined && assignment.term < known.term) return false;
    this.#assignments.set(assignment.service, assignment);
    return true;
  }

  /** The range that holds `key`, or undefined when nothing is recorded. */
  find(service: string, key: number): AssignedRange | undefined {
    const ranges = this.#assignments.get(service)?.ranges ?? [];
    let low = 0;
    let high = ranges.length - 1;
    while (low <= high) {
      const middle = (low + high) >> 1;
      const range = ranges[middle];
      if (key < range.first) high = middle - 1;
      else if (key > range.last) low = middle + 1;
      else return range;
    }
    return undefined;
  }
}
