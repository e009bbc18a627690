/**
 * Selects the backend server for a request without a key, and limits the
 * requests that this VM sends to each server.
 *
 * @module
 */
import type { Fleet, TrackedServer } from "../fleet/index.ts";
import type { RateTokens } from "../rates/index.ts";
import type { ServerPaths } from "../reach/index.ts";

/**
 * Maximum number of requests of all VMs at a server, per slot of the server.
 * One runs and one waits, so that no slot is idle between requests and the
 * server's own queue never fills.
 */
const REQUESTS_PER_SLOT = 2;
/**
 * Maximum of the same while the service is above its capacity and the target
 * permits longer waits. Servers queue four requests per slot or more, but a load
 * that VMs do not know of may be there already.
 */
const MAXIMUM_REQUESTS_PER_SLOT = 3;
/** Share of the target latency for which requests may wait at a server then. */
const WAIT_SHARE = 0.5;
/**
 * Minimum of the limit on this VM's requests at a server, in multiples of the
 * VM's equal share of the slots. It exceeds 1, since callers are spread
 * unevenly over the VMs. The limit is higher if the server has just reported
 * its load, so that this VM may fill all slots, or if its load is unknown and
 * it has not just refused a request ({@linkcode UNKNOWN_LOAD_SHARE}).
 */
const LOCAL_SHARE_FACTOR = 4;
/** This VM's share of the slots while the number of VMs is unknown. */
const MINIMUM_SHARE = 1;
/**
 * Share of all slots of a server that this VM may fill while the load of the
 * server is unknown, unless the server has just refused a request. With 91 VMs,
 * most receive a server's load too rarely to know it. If each sent only one
 * request, a server whose keys have many requests would be idle while VMs
 * refuse callers of these keys.
 */
const UNKNOWN_LOAD_SHARE = 0.5;
/**
 * Time for which a refusal counts as recent, in milliseconds: about the
 * duration of the work that filled the server.
 */
const RECENT_REFUSAL_TIME = 500;
/** Maximum number of servers that one selection considers. */
const SAMPLE_SIZE = 24;
/**
 * Cost factor of a server in another availability zone: traffic between zones
 * is billed and has a higher latency.
 */
const REMOTE_ZONE_FACTOR = 1.7;
/**
 * Cost factor of a cold or rate-limited server that may receive a request now.
 * Its permitted requests are few, and the server is idle for each one that is
 * not used.
 */
const RESTRICTED_FACTOR = 0.5;
/**
 * Maximum random increase of a cost, as a share of it, so that VMs do not all
 * select the same server.
 */
const JITTER = 0.2;

/** Inputs of a server selection. */
export interface ChoiceContext {
  fleet: Fleet;
  /** Availability zone of this VM. */
  availabilityZone: string;
  /** Number of VMs that share the servers, or null when unknown. */
  vmCount: number | null;
  tokens: RateTokens;
  /** Paths of the connections to servers. */
  paths: ServerPaths;
  /** Whether no route to the service is more urgent than the request's. */
  isUrgent: boolean;
  /**
   * Maximum number of requests of all VMs at a server, per slot; the usual one
   * if left out.
   */
  requestsPerSlot?: number;
  /** Whether a server can take the bytes of the request's body now. */
  hasBodyRoom(server: TrackedServer): boolean;
  /** Returns a random number in [0, 1). */
  draw(): number;
}

/** Whether a server can accept one more request of this VM now. */
export function hasCapacity(
  server: TrackedServer,
  now: number,
  vmCount: number | null,
  requestsPerSlot = REQUESTS_PER_SLOT,
): boolean {
  const limit = server.entry.slots * requestsPerSlot;
  if (server.inFlight >= localLimit(server, now, vmCount)) return false;
  return server.load(now) < limit;
}

/**
 * Maximum number of requests of all VMs at a server, per slot, while its service
 * is above its capacity: `latency` is the mean of the service, and
 * `targetLatency` that of the request, in milliseconds.
 */
export function requestsPerSlotAbove(
  latency: number,
  targetLatency: number,
): number {
  const waits = latency > 0 ? WAIT_SHARE * targetLatency / latency : 0;
  return Math.min(
    MAXIMUM_REQUESTS_PER_SLOT,
    Math.max(REQUESTS_PER_SLOT, 1 + waits),
  );
}

/** Maximum requests of this VM at a server now. */
function localLimit(
  server: TrackedServer,
  now: number,
  vmCount: number | null,
): number {
  const { slots } = server.entry;
  const share = vmCount === null
    ? MINIMUM_SHARE
    : Math.ceil(slots * LOCAL_SHARE_FACTOR / vmCount);
  if (server.isLoadKnown(now)) return Math.max(share, slots);
  if (now - server.refusedAt < RECENT_REFUSAL_TIME) return share;
  return Math.max(share, Math.ceil(slots * UNKNOWN_LOAD_SHARE));
}

/**
 * Selects the server with the lowest expected cost among those with capacity
 * that were not tried. Servers that have requested a backoff are not
 * considered. Paused and unresponsive servers, and those that only this VM does
 * not reach, are considered only if there are no others. Returns null if no server has capacity.
 */
export function chooseServer(
  service: string,
  tried: readonly string[],
  now: number,
  context: ChoiceContext,
): TrackedServer | null {
  const { fleet, vmCount, tokens, paths } = context;
  const meanLatency = fleet.meanLatency(service, now);
  const usable = sample(fleet.serversOf(service), context.draw).filter((
    server,
  ) =>
    !server.isLeaving && !server.isBackedOff(now) && !tried.includes(server.id)
  );
  const healthy = usable.filter((server) =>
    !server.isPaused(now) && !server.isUnresponsive(now, meanLatency) &&
    !paths.isDetoured(server.id, now)
  );
  const pool = healthy.length > 0 ? healthy : usable;
  const { requestsPerSlot } = context;
  const candidates = withPace(
    pool.filter((server) =>
      hasCapacity(server, now, vmCount, requestsPerSlot) &&
      context.hasBodyRoom(server)
    ),
    now,
    context.draw,
  );
  let best: TrackedServer | null = null;
  let lowest = Infinity;
  let unpermitted: TrackedServer | null = null;
  let lowestUnpermitted = Infinity;
  for (const server of candidates) {
    const cost = expectedCost(server, meanLatency, now, context);
    if (tokens.isReady(server, now)) {
      if (cost >= lowest) continue;
      lowest = cost;
      best = server;
    } else if (tokens.mayRequest(server, context.isUrgent, now)) {
      if (cost >= lowestUnpermitted) continue;
      lowestUnpermitted = cost;
      unpermitted = server;
    }
  }
  // A token that is granted too late for this request is available to a later
  // one, for which the server is likely to be the best one too.
  if (unpermitted !== null && lowestUnpermitted < lowest) {
    tokens.check(unpermitted, context.isUrgent, now);
    if (tokens.isReady(unpermitted, now)) return unpermitted;
  }
  return best;
}

/**
 * Leaves out each server with a probability of one minus its pace, relative to
 * the highest one: if all servers have just started, none is left out.
 */
function withPace(
  servers: readonly TrackedServer[],
  now: number,
  draw: () => number,
): readonly TrackedServer[] {
  const paces = servers.map((server) => server.pace.at(now));
  if (paces.every((pace) => pace === 1)) return servers;
  const highest = Math.max(...paces);
  return servers.filter((_, i) =>
    paces[i] === highest || draw() < paces[i] / highest
  );
}

/** Expected cost of a request at a server. */
function expectedCost(
  server: TrackedServer,
  meanLatency: number,
  now: number,
  { availabilityZone, tokens, draw }: ChoiceContext,
): number {
  const isSameZone = server.entry.availabilityZone === availabilityZone;
  return (server.cost(now, meanLatency) + 1) *
    (isSameZone ? 1 : REMOTE_ZONE_FACTOR) *
    (tokens.isLimited(server, now) ? RESTRICTED_FACTOR : 1) *
    (1 + JITTER * draw());
}

/**
 * Takes up to {@linkcode SAMPLE_SIZE} consecutive servers from a random
 * position. A sample is nearly as good as all servers, at a cost independent of
 * their number.
 */
function sample(
  servers: readonly TrackedServer[],
  draw: () => number,
): readonly TrackedServer[] {
  if (servers.length <= SAMPLE_SIZE) return servers;
  const start = Math.floor(draw() * servers.length);
  const end = start + SAMPLE_SIZE;
  if (end <= servers.length) return servers.slice(start, end);
  return [...servers.slice(start), ...servers.slice(0, end - servers.length)];
}
