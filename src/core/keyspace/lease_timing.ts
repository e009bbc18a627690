/**
 * Lease durations of keys, in milliseconds, and the conditions that make them
 * safe together.
 *
 * A server holds its keys for the longest hold time that it was granted,
 * counted from the arrival of the grant on a clock that may run slow by at most
 * {@linkcode MAX_CLOCK_DRIFT}. A later grant with a shorter hold time does not
 * shorten the lease.
 *
 * The term holder sends grants only while its authority lasts, counted from the
 * time at which it sent its last confirmed membership call: the last call to
 * the store whose answer stated that it is the elected VM. So if a new term
 * holder fences its predecessor at time T, the predecessor's last grant expires
 * before `T + authority + longest hold time`, plus the timeout of an order and
 * the allowances for clock drift and delivery.
 *
 * @module
 */
import * as z from "zod";

/** Schema of {@linkcode LeaseTiming}. */
export const leaseTimingSchema = z.object({
  /**
   * Hold time of a grant while the store answers. It is short, so that the keys
   * of a lost server become free soon, but longer than a change of the term
   * holder takes.
   */
  hold: z.number().int().positive().default(2_200),
  /**
   * Hold time of a grant while the store does not answer. No key can move
   * during that time, so the lease only has to outlast the outage. Grants are
   * renewed until `authority` ends, so this value outlasts outages of 9 s. A
   * longer value would delay the reassignment of keys by as much, because a new
   * term holder that cannot reach a server has to assume that the server holds
   * its keys for the full time.
   */
  longHold: z.number().int().positive().default(7_000),
  /**
   * Longest hold time that servers accept. Longer hold times are reduced to it.
   */
  maximumHold: z.number().int().positive().default(10_000),
  /** Interval between renewals of a grant. */
  renewal: z.number().int().positive().default(600),
  /**
   * Time for which the term holder may send orders, counted from when it sent
   * its last confirmed membership call.
   */
  authority: z.number().int().positive().default(2_000),
  /**
   * Time without an answer from the store after which grants use `longHold`.
   */
  storeSilence: z.number().int().positive().default(1_100),
  /** Timeout of an order. After it the connection of the order is reset. */
  orderTimeout: z.number().int().positive().default(500),
});

/** Durations that determine the leases of keys, in milliseconds. */
export type LeaseTiming = z.infer<typeof leaseTimingSchema>;

/** Returns the timing with both hold times limited to what servers accept. */
export function capHoldTimes(timing: LeaseTiming): LeaseTiming {
  const { hold, longHold, maximumHold } = timing;
  return {
    ...timing,
    hold: Math.min(hold, maximumHold),
    longHold: Math.min(longHold, maximumHold),
  };
}

/**
 * Maximum relative drift of a server's clock: 2 % by the platform's contract.
 */
const MAX_CLOCK_DRIFT = 0.02;
/**
 * Allowance in milliseconds for the time that a grant may spend in buffers
 * after its connection was reset, and for the error in reading clocks. The
 * platform specifies 300 ms for both together.
 */
const DELIVERY_SLACK = 300;

/**
 * Returns the latest time at which a lease can end whose grant was sent at
 * `sentAt` and got no answer.
 */
export function unansweredGrantEnd(
  sentAt: number,
  hold: number,
  timing: LeaseTiming,
): number {
  return answeredGrantEnd(sentAt + timing.orderTimeout, hold);
}

/**
 * Returns the latest time at which a lease can end whose grant was answered at
 * `answeredAt`.
 */
export function answeredGrantEnd(answeredAt: number, hold: number): number {
  return answeredAt + hold * (1 + MAX_CLOCK_DRIFT) + DELIVERY_SLACK;
}

/**
 * Returns the time until which the term holder may renew grants after the store
 * has returned from a copy. `confirmedAt` is when it sent its last confirmed
 * membership call. These leases end before {@linkcode predecessorGrantsEnd} of
 * any successor, since each successor claims its term after that call.
 */
export function confirmationEnd(
  confirmedAt: number,
  { authority, hold, longHold }: LeaseTiming,
): number {
  return confirmedAt + authority + Math.max(0, longHold - hold);
}

/**
 * Returns the latest time at which the last lease can end that a term holder
 * fenced at `fencedAt` has granted.
 */
export function predecessorGrantsEnd(
  fencedAt: number,
  timing: LeaseTiming,
): number {
  return unansweredGrantEnd(
    fencedAt + timing.authority,
    timing.longHold,
    timing,
  );
}
