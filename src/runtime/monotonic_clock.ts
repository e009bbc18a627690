/**
 * The monotonic clock of the process, in milliseconds.
 *
 * @module
 */

/** Milliseconds since some moment; never goes back. */
export function monotonicNow(): number {
  return performance.now();
}
