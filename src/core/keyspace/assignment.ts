/**
 * Which backend server holds which keys of a service, as the term holder
 * records it. Keys are numbers; a range of them is the unit of ownership.
 *
 * @module
 */
import * as z from "zod";

/** Number of keys of a service: 0 to 65,535. */
export const KEY_COUNT = 65_536;

const key = z.number().int().min(0).max(KEY_COUNT - 1);

/** Keys next to each other, both ends included. */
export const keyRangeSchema = z.object({ first: key, last: key });

/** See {@linkcode keyRangeSchema}. */
export type KeyRange = z.infer<typeof keyRangeSchema>;

/** One range with its server. */
export const assignedRangeSchema = keyRangeSchema.extend({
  /** The only server that may hold the keys; null when none does. */
  server: z.string().nullable(),
  /** Its address, for orders after it has left the registry. */
  address: z.string().nullable(),
  /** Whether requests may be sent there; otherwise the keys are on the move. */
  isOpen: z.boolean(),
});

/** See {@linkcode assignedRangeSchema}. */
export type AssignedRange = z.infer<typeof assignedRangeSchema>;

/** All keys of one service: ranges in ascending order without gaps. */
export const assignmentSchema = z.object({
  service: z.string().min(1),
  /** Term of the holder that made it. */
  term: z.number().int().nonnegative(),
  /** Number of the holder's change, within the term. */
  version: z.number().int().nonnegative(),
  ranges: z.array(assignedRangeSchema),
});

/** See {@linkcode assignmentSchema}. */
export type Assignment = z.infer<typeof assignmentSchema>;

/** Number of keys in a range. */
export function keyCount(range: KeyRange): number {
  return range.last - range.first + 1;
}

/** Whether the ranges are ascending and hold every key once. */
export function coversAllKeys(ranges: readonly KeyRange[]): boolean {
  let next = 0;
  for (const { first, last } of ranges) {
    if (first !== next || last < first) return false;
    next = last + 1;
  }
  return next === KEY_COUNT;
}
