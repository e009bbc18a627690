// Simulates the clocks of a suspended machine. Tests load it before the program.
//
// While a machine is suspended, its monotonic clock stands still, but the time of day
// and the time since boot advance. While only a process is stopped by SIGSTOP, its
// monotonic clock advances as well. To simulate a suspension, performance.now() excludes
// the time of the first stop after a SIGUSR2.
"use strict";

/** A longer gap between two clock reads counts as a stop, in milliseconds. */
const MINIMUM_STOP = 100;
/** Interval between two clock reads, in milliseconds. */
const READ_INTERVAL = 10;

const monotonicNow = performance.now.bind(performance);
let suspendedTime = 0;
let isStopExpected = false;
let lastReadAt = monotonicNow();

performance.now = () => {
  const now = monotonicNow();
  if (isStopExpected && now - lastReadAt > MINIMUM_STOP) {
    suspendedTime += now - lastReadAt;
    isStopExpected = false;
  }
  lastReadAt = now;
  return now - suspendedTime;
};

process.on("SIGUSR2", () => {
  performance.now();
  isStopExpected = true;
});
setInterval(() => performance.now(), READ_INTERVAL).unref();
