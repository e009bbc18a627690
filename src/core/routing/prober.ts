/**
 * Decides which probes this VM sends. Each server is probed by two VMs; a VM
 * also probes the servers that it takes for down, to learn of their return.
 *
 * @module
 */
import type { Effect } from "../effect.ts";
import type { Membership } from "../membership/index.ts";
import type { OwnershipTiming } from "../ownership/timing.ts";
import type { ServerWatch, WatchedServer } from "./server_watch.ts";

/** VMs that probe the same server. */
const PROBERS_PER_SERVER = 2;
/** Time between probes of a server that is down, in milliseconds. */
const DOWN_INTERVAL = 300;

/** Who probes, when, and under which timing. */
export interface ProbeInput {
  now: number;
  vm: string;
  membership: Membership;
  timing: OwnershipTiming;
  servers: ServerWatch;
}

/** Sends the probes that are due. */
export function sendProbes(input: ProbeInput, out: Effect[]): void {
  const { servers, membership, vm, now, timing } = input;
  const rank = membership.members.findIndex((each) => each.vm === vm);
  const size = membership.members.length;
  let index = 0;
  for (const server of servers.all()) {
    const isOwn = isAssigned(index++, rank, size);
    const interval = server.down || server.lost
      ? DOWN_INTERVAL
      : isOwn
      ? timing.probeInterval
      : Infinity;
    if (now < server.probedAt + interval) continue;
    out.push(probe(server, now, timing));
  }
}

/** Probes a server now. */
export function probe(
  server: WatchedServer,
  now: number,
  timing: OwnershipTiming,
): Effect {
  server.probedAt = now;
  return {
    kind: "server.probe",
    server: server.id,
    address: server.address,
    timeout: timing.probeTimeout,
  };
}

function isAssigned(server: number, rank: number, size: number): boolean {
  if (rank < 0) return false;
  const distance = ((rank - server) % size + size) % size;
  return distance < PROBERS_PER_SERVER;
}
