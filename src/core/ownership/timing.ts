/**
 * Durations on which exclusive ownership and its recovery rest, in
 * milliseconds.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode OwnershipTiming}; each default is in use today. */
export const ownershipTimingSchema = z.strictObject({
  /** How long a view lease lasts from the moment its renewal was asked for. */
  lease: z.number().int().positive().default(600),
  /** Time between two renewals. */
  renewal: z.number().int().positive().default(200),
  /** Bound on the relative difference of two clocks' rates. */
  drift: z.number().min(0).max(0.5).default(0.01),
  /** A server must start a request within this time of its dispatch. */
  startWindow: z.number().int().positive().default(200),
  /** Bound on the difference of two wall clocks. */
  clockError: z.number().int().nonnegative().default(20),
  /** A term holder unheard for this long may be replaced. */
  holderTimeout: z.number().int().positive().default(500),
  /** Claims of a term by different members are this far apart. */
  claimSpacing: z.number().int().nonnegative().default(200),
  /** A member unheard for this long is left out of the membership. */
  memberTimeout: z.number().int().positive().default(3_000),
  /** Time between two probes of one backend server by the same VM. */
  probeInterval: z.number().int().positive().default(100),
  /** A probe unanswered for this long has failed. */
  probeTimeout: z.number().int().positive().default(120),
});

/** See {@linkcode ownershipTimingSchema}. */
export type OwnershipTiming = z.infer<typeof ownershipTimingSchema>;

/** The timing that is in use unless settings differ. */
export const DEFAULT_TIMING: OwnershipTiming = ownershipTimingSchema.parse({});

/** The longest that another process's lease may last by this one's clock. */
export function leaseBound(timing: OwnershipTiming): number {
  return timing.lease * (1 + timing.drift);
}
