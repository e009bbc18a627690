/**
 * Request ids of non-idempotent work that this VM has taken in lately. A second
 * request with the same id is refused: the first may have run.
 *
 * @module
 */

/** Ids are remembered for at least this long, in milliseconds. */
const WINDOW = 120_000;
/** Most ids of one generation; more than these end it early. */
const MAXIMUM_IDS = 200_000;

/** Two generations of ids, of which the older is dropped as a whole. */
export class RecentIds {
  #younger = new Set<string>();
  #older = new Set<string>();
  #turnedAt = 0;

  private constructor() {}

  /** Remembers nothing yet. */
  static create(): RecentIds {
    return new RecentIds();
  }

  /** Remembers the id; false when it was known already. */
  add(id: string, now: number): boolean {
    if (this.#younger.has(id) || this.#older.has(id)) return false;
    const isOld = now >= this.#turnedAt + WINDOW;
    if (isOld || this.#younger.size >= MAXIMUM_IDS) {
      this.#older = this.#younger;
      this.#younger = new Set();
      this.#turnedAt = now;
    }
    this.#younger.add(id);
    return true;
  }
}
