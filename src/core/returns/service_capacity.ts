/**
 * Estimates how many requests per second the servers of a service can run.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Requests per second that the servers of `service` can run, over the servers
 * that accept requests; 0 while no latency is known.
 */
export function serviceCapacity(
  fleet: Fleet,
  service: string,
  now: number,
): number {
  const meanLatency = fleet.meanLatency(service, now);
  let capacity = 0;
  for (const server of fleet.serversOf(service)) {
    const latency = server.latency ?? meanLatency;
    const isClosed = server.isLeaving || server.isBackedOff(now) ||
      server.isPaused(now);
    if (isClosed || latency <= 0) continue;
    capacity += server.entry.slots * MILLISECONDS_PER_SECOND / latency;
  }
  return capacity;
}
