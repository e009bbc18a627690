/**
 * Decides which probes this VM sends. Each server is probed by one VM, unless
 * that VM's own requests have just shown that it works; a VM also probes the
 * servers that it takes for down, to learn of their return. Where the one VM is
 * lost together with a server, unanswered requests give the server away.
 *
 * @module
 */
import type { SiteConfiguration } from "../configuration/index.ts";
import type { Effect } from "../effect.ts";
import type { Membership } from "../membership/index.ts";
import type { OwnershipTiming } from "../ownership/timing.ts";
import type { ServerWatch, WatchedServer } from "./server_watch.ts";

/** Time between probes of a server that is down, in milliseconds. */
const DOWN_INTERVAL = 300;
/** Time between probes of a server without keys: nobody waits for its slots. */
const UNKEYED_INTERVAL = 500;

/** Who probes, when, and under which timing. */
export interface ProbeInput {
  now: number;
  vm: string;
  membership: Membership;
  timing: OwnershipTiming;
  configuration: SiteConfiguration;
  servers: ServerWatch;
}

/** Sends the probes that are due. */
export function sendProbes(input: ProbeInput, out: Effect[]): void {
  const { servers, membership, vm, now, timing } = input;
  const rank = membership.members.findIndex((each) => each.vm === vm);
  const size = membership.members.length;
  let index = 0;
  for (const server of servers.all()) {
    const isOwn = rank >= 0 && index++ % size === rank;
    const interval = server.down || server.lost
      ? DOWN_INTERVAL
      : isOwn
      ? ownInterval(input, server)
      : Infinity;
    const lastSign = Math.max(server.probedAt, server.succeededAt);
    if (now < lastSign + interval) continue;
    out.push(probe(server, now, timing));
  }
}

function ownInterval(
  { configuration, timing }: ProbeInput,
  { service }: WatchedServer,
): number {
  const isKeyed = configuration.services.get(service)?.key !== undefined;
  return isKeyed ? timing.probeInterval : UNKEYED_INTERVAL;
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
