/**
 * Which backend server holds which keys of a service, as recorded by the term
 * holder. Keys are numbers, and a range of them is the unit of ownership.
 *
 * @module
 */
import * as z from "zod";

/** Number of keys of a service: 0 to 65,535. */
export const KEY_COUNT = 65_536;

const key = z.number().int().min(0).max(KEY_COUNT - 1);

/** Schema of {@linkcode KeyRange}. */
export const keyRangeSchema = z.object({ first: key, last: key });

/** A range of adjacent keys, both ends included. */
export type KeyRange = z.infer<typeof keyRangeSchema>;

/** Schema of {@linkcode AssignedRange}. */
export const assignedRangeSchema = keyRangeSchema.extend({
  /** The only server that may hold the keys; null if there is none. */
  server: z.string().nullable(),
  /** Its address, for orders after it has left the registry. */
  address: z.string().nullable(),
  /** Whether requests may be sent to the server. Otherwise they wait. */
  isOpen: z.boolean(),
});

/** A range of keys with the server that it is assigned to. */
export type AssignedRange = z.infer<typeof assignedRangeSchema>;

/** Schema of {@linkcode Assignment}. */
export const assignmentSchema = z.object({
  service: z.string().min(1),
  /** Term of the term holder that made it. */
  term: z.number().int().nonnegative(),
  /** Number of the change within the term. */
  version: z.number().int().nonnegative(),
  ranges: z.array(assignedRangeSchema),
});

/** All keys of one service: ranges in ascending order without gaps. */
export type Assignment = z.infer<typeof assignmentSchema>;

/** An assignment as the store keeps it. */
export interface RecordedAssignment extends Assignment {
  /** Era of the store in which it was recorded; null if unknown. */
  era: number | null;
}

/** Schema of {@linkcode ConfirmedRange}. */
export const confirmedRangeSchema = keyRangeSchema.extend({
  service: z.string().min(1),
  /** The only server that may hold the keys; null if there is none. */
  server: z.string().min(1).nullable(),
  address: z.string().nullable(),
  /** Incarnation of the server when it was granted the keys; 0 if unknown. */
  incarnation: z.number().int().nonnegative(),
  /**
   * Whether the server itself has confirmed that it holds the keys. Otherwise it
   * is the only one that may hold them, also by a lease that is not known.
   */
  isHeld: z.boolean(),
  /** Milliseconds until the last lease of the keys ends, if `isHeld`. */
  remaining: z.number().nonnegative(),
});

/**
 * A range of which is proved, since the store has returned from a copy, which
 * server may hold the keys.
 */
export type ConfirmedRange = z.infer<typeof confirmedRangeSchema>;

/** Returns the number of keys in a range. */
export function keyCount(range: KeyRange): number {
  return range.last - range.first + 1;
}

/** Whether the ranges are ascending and contain every key once. */
export function coversAllKeys(ranges: readonly KeyRange[]): boolean {
  let next = 0;
  for (const { first, last } of ranges) {
    if (first !== next || last < first) return false;
    next = last + 1;
  }
  return next === KEY_COUNT;
}
