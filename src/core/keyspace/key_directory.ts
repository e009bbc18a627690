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

  /** Takes an assignment unless a newer one is known. */
  apply(assignment: Assignment): boolean {
    const known = this.#assignments.get(assignment.service);
    if (known !== undefined && !isNewer(assignment, known)) return false;
    this.#assignments.set(assignment.service, assignment);
    return true;
  }

  /** All assignments. */
  get assignments(): Assignment[] {
    return [...this.#assignments.values()];
  }

  /** The oldest state among the services: what the holder may have to tell. */
  get position(): { term: number; version: number } {
    let oldest: Assignment | null = null;
    for (const assignment of this.#assignments.values()) {
      if (oldest === null || isNewer(oldest, assignment)) oldest = assignment;
    }
    return { term: oldest?.term ?? 0, version: oldest?.version ?? 0 };
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

function isNewer(a: Assignment, b: Assignment): boolean {
  return a.term === b.term ? a.version > b.version : a.term > b.term;
}
