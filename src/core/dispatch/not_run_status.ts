/**
 * Statuses that promise a caller that its request has not run and never will.
 * Callers send such a request again even if it may run only once.
 *
 * @module
 */

/** Request timeout, misdirected, too many requests, and unavailable. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether callers take a response with this status as the promise that their
 * request has not run. It must not reach them unless that is certain: HTTP lets
 * a server use these statuses for a request that it has begun to run as well.
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
