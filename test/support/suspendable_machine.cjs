// Loaded before the program in a test that suspends its machine. A stopped process
// sees its steady clock go on; one whose machine is suspended does not, while the
// time of day and the time since the machine's start go on in both. So the steady
// clock of this process leaves out the stop that follows a SIGUSR2.
"use strict";

/** Time between two looks from which the process was stopped, in milliseconds. */
const SHORTEST_STOP = 100;
/** Pause between two looks, in milliseconds. */
const INTERVAL = 10;

const steady = performance.now.bind(performance);
let suspended = 0;
let isNext = false;
let lookedAt = steady();

performance.now = () => {
  const now = steady();
  if (isNext && now - lookedAt > SHORTEST_STOP) {
    suspended += now - lookedAt;
    isNext = false;
  }
  lookedAt = now;
  return now - suspended;
};

process.on("SIGUSR2", () => {
  performance.now();
  isNext = true;
});
setInterval(() => performance.now(), INTERVAL).unref();
