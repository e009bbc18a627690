/**
 * Tells which server holds a key, from the newest recorded assignments.
 *
 * @module
 */
import {
  type AssignedRange,
  type Assignment,
  coversAllKeys,
} from "./assignment.ts";

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

  /**
   * Takes changes of the version `since` of an assignment. False when another
   * version is known, on which they do not build. Of a service that is new here
   * they have to be the whole.
   */
  change(changes: Assignment, since: number): boolean {
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

/** Ranges in which `changes` take the place of what `ranges` say of their keys;
 * both are ascending. */
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
