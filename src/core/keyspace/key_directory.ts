/**
 * Finds the server that holds a key, from the newest known assignments.
 *
 * @module
 */
import {
  type AssignedRange,
  type Assignment,
  coversAllKeys,
} from "./assignment.ts";

/** Assignments of all services; see the module's comment. */
export class KeyDirectory {
  readonly #assignments = new Map<string, Assignment>();

  private constructor() {}

  /** Creates a directory without assignments. */
  static create(): KeyDirectory {
    return new KeyDirectory();
  }

  /**
   * Stores an assignment if it is newer than the known one of its service.
   * Returns whether it was stored.
   */
  apply(assignment: Assignment): boolean {
    const known = this.#assignments.get(assignment.service);
    if (known !== undefined && !isNewer(assignment, known)) return false;
    this.#assignments.set(assignment.service, assignment);
    return true;
  }

  /**
   * Applies changes to version `since` of an assignment. Returns false if the
   * known version is another one, to which they do not apply. For an unknown
   * service the changes have to contain all keys.
   */
  applyChanges(changes: Assignment, since: number): boolean {
    const known = this.#assignments.get(changes.service);
    if (known === undefined && coversAllKeys(changes.ranges)) {
      return this.apply(changes);
    }
    if (known?.term !== changes.term || known.version !== since) return false;
    const ranges = overlay(known.ranges, changes.ranges);
    this.#assignments.set(changes.service, { ...changes, ranges });
    return true;
  }

  /** All assignments. */
  get assignments(): Assignment[] {
    return [...this.#assignments.values()];
  }

  /**
   * Term and version of the oldest assignment. The term holder derives from it
   * which changes this VM lacks.
   */
  get position(): { term: number; version: number } {
    let oldest: Assignment | null = null;
    for (const assignment of this.#assignments.values()) {
      if (oldest === null || isNewer(oldest, assignment)) oldest = assignment;
    }
    return { term: oldest?.term ?? 0, version: oldest?.version ?? 0 };
  }

  /** Term and version of the known assignment of a service, as `term.version`. */
  versionOf(service: string): string | null {
    const known = this.#assignments.get(service);
    return known === undefined ? null : `${known.term}.${known.version}`;
  }

  /**
   * Returns the number of keys that `ranges` assign to another server than the
   * known assignment of a service; 0 if none is known.
   */
  countDiffering(service: string, ranges: readonly AssignedRange[]): number {
    const known = this.#assignments.get(service)?.ranges ?? [];
    let count = 0;
    for (const a of known) {
      for (const b of ranges) {
        const first = Math.max(a.first, b.first);
        const last = Math.min(a.last, b.last);
        if (first <= last && a.server !== b.server) count += last - first + 1;
      }
    }
    return count;
  }

  /**
   * Returns the range that contains `key`, or undefined if no assignment is
   * known.
   */
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

/**
 * Returns `ranges` with the keys of `changes` replaced by these changes. Both
 * are in ascending order.
 */
function overlay(
  ranges: readonly AssignedRange[],
  changes: readonly AssignedRange[],
): AssignedRange[] {
  const result: AssignedRange[] = [];
  let index = 0;
  for (const range of ranges) {
    let { first } = range;
    while (index < changes.length && changes[index].first <= range.last) {
      const change = changes[index];
      if (first < change.first) {
        result.push({ ...range, first, last: change.first - 1 });
      }
      first = change.last + 1;
      if (change.last > range.last) break;
      result.push(change);
      index += 1;
    }
    if (first <= range.last) result.push({ ...range, first });
  }
  return result;
}

function isNewer(a: Assignment, b: Assignment): boolean {
  return a.term === b.term ? a.version > b.version : a.term > b.term;
}
