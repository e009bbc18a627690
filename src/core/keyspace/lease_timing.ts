/**
 * Times of key leases, in milliseconds, and why they are safe together.
 *
 * A server holds keys for the longest hold that it was granted, counted from the
 * grant's arrival on a clock that may run {@linkcode CLOCK_DRIFT} slow; a later
 * grant for a shorter time takes nothing away. The
 * holder sends grants only while its authority lasts, counted from the sending
 * of its last confirmed membership call. So a successor that has fenced the
 * older holder at time T knows that the last grant of that holder runs out
 * before `T + AUTHORITY + longest hold`, all with drift and delay.
 *
 * @module
 */
import * as z from "zod";

/** Schema of {@linkcode LeaseTiming}. */
export const leaseTimingSchema = z.object({
  /** Hold time of a grant while the store answers. Short, so that the keys of a
   * lost server are free soon; longer than a change of the holder takes. */
  hold: z.number().int().positive().default(2_200),
  /** Hold time once the store is silent: no key can move then, so holds only
   * need to outlast the outage. Outages of 9 s are outlasted; longer holds
   * would keep the keys of a server that a successor cannot reach as much
   * longer, since it has to assume them. */
  longHold: z.number().int().positive().default(7_000),
  /** Longest hold that servers accept; the others are cut to it. */
  maximumHold: z.number().int().positive().default(10_000),
  /** Pause between renewals of a grant. */
  renewal: z.number().int().positive().default(600),
  /** Time after the sending of a confirmed membership call for which the
   * holder may send orders. */
  authority: z.number().int().positive().default(2_000),
  /** Silence of the store after which grants get the long hold. */
  storeSilence: z.number().int().positive().default(1_100),
  /** Time after which an unanswered order's connection is reset. */
  orderTimeout: z.number().int().positive().default(500),
});

/** See {@linkcode leaseTimingSchema}. */
export type LeaseTiming = z.infer<typeof leaseTimingSchema>;

/** Timing whose holds are no longer than servers accept. */
export function withinMaximum(timing: LeaseTiming): LeaseTiming {
  const { hold, longHold, maximumHold } = timing;
  return {
    ...timing,
    hold: Math.min(hold, maximumHold),
    longHold: Math.min(longHold, maximumHold),
  };
}

/** A server's clock may run this much slow, as a share (2 % by its contract). */
const CLOCK_DRIFT = 0.02;
/** Time that a grant may spend in buffers after its connection was reset, with
 * the reading of clocks; the platform states 300 ms for both. */
const DELIVERY_SLACK = 300;

/** When a grant that was sent at `sentAt` and not answered runs out at last. */
export function unansweredEnd(
  sentAt: number,
  hold: number,
  timing: LeaseTiming,
): number {
  return answeredEnd(sentAt + timing.orderTimeout, hold);
}

/** When a grant that was answered at `answeredAt` runs out at last. */
export function answeredEnd(answeredAt: number, hold: number): number {
  return answeredAt + hold * (1 + CLOCK_DRIFT) + DELIVERY_SLACK;
}

/** When the last grant of a holder that was fenced at `fencedAt` runs out. */
export function predecessorEnd(fencedAt: number, timing: LeaseTiming): number {
  return unansweredEnd(fencedAt + timing.authority, timing.longHold, timing);
}
