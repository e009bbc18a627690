/**
 * Checks the arrivals at the servers of a service against the retry budget that
 * all VMs share.
 *
 * @module
 */
import type { RetryLimits } from "../../src/core/dispatch/index.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Returns by how many the repeats exceed the budget in the window in which they
 * exceed it most; at most 0 if they never do. `requests` are the times at which
 * callers sent requests, and `repeats` those at which requests reached a server
 * again, both in milliseconds.
 *
 * The requests are counted in the window, the one before it or the one half a
 * window before it, whichever has most, since a retry may follow its request
 * after some time.
 */
export function retryExcess(
  requests: readonly number[],
  repeats: readonly number[],
  { ratio, windowSeconds, minimum }: RetryLimits,
): number {
  const window = windowSeconds * MILLISECONDS_PER_SECOND;
  const sent = [...requests].sort((a, b) => a - b);
  const arrived = [...repeats].sort((a, b) => a - b);
  const countFrom = (times: readonly number[], from: number) =>
    firstIndex(times, from + window) - firstIndex(times, from);
  const excessFrom = (from: number) => {
    const windows = [from, from - window / 2, from - window];
    const count = Math.max(...windows.map((each) => countFrom(sent, each)));
    return countFrom(arrived, from) - ratio * count - minimum;
  };
  return Math.max(-Infinity, ...arrived.map(excessFrom));
}

/** Index of the first of the ascending `times` that is not before `from`. */
function firstIndex(times: readonly number[], from: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (times[middle] < from) low = middle + 1;
    else high = middle;
  }
  return low;
}
