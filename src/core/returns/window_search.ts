/**
 * Finds the window in which a number of returns fits into the free capacity.
 *
 * @module
 */

/** A window, and the number of returns that it has room for. */
export interface WindowChoice {
  from: number;
  until: number;
  count: number;
}

/**
 * Finds a window of steps in which `needed` returns fit if they are spread
 * evenly. `free` has the requests that each step has room for. Of several
 * windows, chooses the one that ends `earliest` or the `longest`. If they fit
 * into none, returns the one with the most room. Null without any room.
 */
export function findWindow(
  free: readonly number[],
  needed: number,
  preference: "earliest" | "longest",
): WindowChoice | null {
  let best: WindowChoice | null = null;
  for (let from = 0; from < free.length; from++) {
    let room = Infinity;
    for (let until = from + 1; until <= free.length; until++) {
      room = Math.min(room, free[until - 1]);
      if (room <= 0) break;
      const count = Math.min(needed, room * (until - from));
      const choice = { from, until, count };
      if (best === null || isBetter(choice, best, preference)) best = choice;
    }
  }
  return best;
}

function isBetter(
  choice: WindowChoice,
  other: WindowChoice,
  preference: "earliest" | "longest",
): boolean {
  if (choice.count !== other.count) return choice.count > other.count;
  return preference === "earliest"
    ? choice.until < other.until
    : choice.until - choice.from > other.until - other.from;
}
