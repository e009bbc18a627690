/**
 * Leases that servers may still have from the grants of a previous term holder.
 * Without this report, the next term holder would have to assume the longest
 * possible leases.
 *
 * @module
 */
import * as z from "zod";
import { keyRangeSchema } from "./assignment.ts";

/** Schema of {@linkcode OutstandingLease}. */
export const outstandingLeaseSchema = keyRangeSchema.extend({
  service: z.string(),
  /**
   * Milliseconds until the last lease of the keys ends if no further grant is
   * sent; 0 if no server can hold them now.
   */
  remaining: z.number().nonnegative(),
});

/** A range of keys with the remaining time of its lease. */
export type OutstandingLease = z.infer<typeof outstandingLeaseSchema>;
