/**
 * The clock by which the process reckons, in milliseconds. It counts the time for
 * which the machine is suspended: terms, holds and deadlines go on then.
 *
 * @module
 */
import { uptime } from "node:os";
import { type ClockJump, ElapsedClock } from "./elapsed_clock.ts";

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

/** Calls `listener` when time has gone by that the steady clock has not counted.
 * Returns how to stop that. */
export function onClockJump(listener: (jump: ClockJump) => void): () => void {
  return clock.onJump(listener);
}
