/**
 * Positions order all views of a site: first by term, then by version.
 *
 * A term is the log offset of the record that started it, so two holders can
 * never number views alike.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode Position}. */
export const positionSchema = z.object({
  term: z.number().int().nonnegative(),
  version: z.number().int().nonnegative(),
});

/** Where a view stands in the total order of a site's views. */
export type Position = z.infer<typeof positionSchema>;

/** The position before every view. */
export const ORIGIN: Position = { term: 0, version: 0 };

/** Negative when `a` is older than `b`, zero when equal, else positive. */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.version - b.version;
}

/** The newer of two positions. */
export function laterPosition(a: Position, b: Position): Position {
  return comparePositions(a, b) >= 0 ? a : b;
}

/** Bits of a token that count the grants of one term. */
const GRANT_BITS = 20;

/**
 * The fencing token of the `grant`-th grant of a term. Tokens of a later term
 * are greater than all of an earlier one, so tokens only grow.
 *
 * @example
 * ```ts
 * fencingToken(7, 1) > fencingToken(6, 1_000); // true
 * ```
 */
export function fencingToken(term: number, grant: number): number {
  if (grant >= 2 ** GRANT_BITS) {
    throw new RangeError(
      `term ${term} has used up its grants: claim a new term`,
    );
  }
  return term * 2 ** GRANT_BITS + grant;
}
