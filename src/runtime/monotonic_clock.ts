/**
 * The monotonic clock of the process, in milliseconds.
 *
 * @module
 */
import { uptime } from "node:os";
import { ElapsedClock } from "./elapsed_clock.ts";

/** Milliseconds in a second. */
const SECOND = 1_000;

const clock = ElapsedClock.create({
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  uptime: () => uptime() * SECOND,
});

/** Milliseconds since some moment; never goes back. */
export function monotonicNow(): number {
  return clock.now();
}
