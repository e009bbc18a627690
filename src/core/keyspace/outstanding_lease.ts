/**
 * Time for which servers may still hold keys by the grants of one term holder.
 * Without it the next term holder would have to assume the longest possible
 * leases.
 *
 * @module
 */
import * as z from "zod";
import { keyRangeSchema } from "./assignment.ts";

/** Schema of {@linkcode OutstandingLease}. */
export const outstandingLeaseSchema = keyRangeSchema.extend({
  service: z.string(),
  /**
   * Milliseconds from now until no server can hold the keys any more if no
   * grant follows; 0 if none can now.
   */
  remaining: z.number().nonnegative(),
});

/** A range of keys with the remaining time of its lease. */
export type OutstandingLease = z.infer<typeof outstandingLeaseSchema>;
