/**
 * The clock of the process, in milliseconds. It includes time for which the
 * machine was suspended, since terms, hold times and deadlines continue to run
 * then.
 *
 * @module
 */
import { uptime } from "node:os";
import { type ClockJump, ElapsedClock } from "./elapsed_clock.ts";

const MILLISECONDS_PER_SECOND = 1_000;

const clock = ElapsedClock.create({
  steady: () => performance.now(),
  timeOfDay: () => Date.now(),
  uptime: () => uptime() * MILLISECONDS_PER_SECOND,
});

/** Milliseconds since an arbitrary start; never goes back. */
export function monotonicNow(): number {
  return clock.now();
}

/**
 * Calls `listener` when time has elapsed that the steady clock has not counted.
 * Returns a function that removes the listener.
 */
export function onClockJump(listener: (jump: ClockJump) => void): () => void {
  return clock.onJump(listener);
}
