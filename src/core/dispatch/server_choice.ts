/**
 * Chooses a backend server for a request.
 *
 * @module
 */
import type { Fleet, TrackedServer } from "../fleet/index.ts";
import type { RateTokens } from "../rates/index.ts";
import type { ColdAdmission } from "./cold_admission.ts";

/** Requests of all VMs that one server should have at most, in multiples of
 * the requests that it runs at a time: one set runs, one waits, so that no slot
 * idles between two requests and the server's own queue never fills. */
const LOAD_PER_SLOT = 2;
/** Requests that this VM alone may have at a server whose load it does not know,
 * in multiples of its part of the server's slots: callers are spread unevenly
 * over VMs. Where the server has just stated its load, it may fill its slots. */
const OWN_SHARE = 4;
/** The same as a share of the slots, unless the server has just refused: of 91
 * VMs most hear of a server too seldom to know its load, and one request of each
 * would leave a server with busy keys idle beside VMs that refuse callers. */
const UNKNOWN_SHARE = 0.5;
/** Time for which a refusal counts as just given, in milliseconds: about as long
 * as the work that filled the server. */
const REFUSAL_LIFETIME = 500;
/** Servers that one choice looks at. */
const SAMPLE_SIZE = 24;
/** Number of VMs assumed until the group is known. */
const ASSUMED_VMS = 8;
/** How much more a server in another availability zone may seem to cost. Its
 * bytes are paid for, and a hop takes longer. */
const FAR_FACTOR = 1.7;
/** Cost factor of a cold or rate-limited server that may receive a request now. Its
 * permitted requests are few, and each unused one leaves it idle. */
const RESTRICTED_FACTOR = 0.5;
/** Random share added to costs, so that VMs do not all choose alike. */
const JITTER = 0.2;

/** What a choice is made upon. */
export interface ChoiceContext {
  fleet: Fleet;
  availabilityZone: string;
  /** Number of VMs that share the servers, or null when unknown. */
  vms: number | null;
  cold: ColdAdmission;
  tokens: RateTokens;
  /** Whether no route to the service has a more urgent priority than the request's. */
  isUrgent: boolean;
  /** A number in [0, 1). */
  draw(): number;
}

/** Whether a server can take one more request of this VM now. */
export function hasRoom(
  server: TrackedServer,
  now: number,
  vms: number | null,
): boolean {
  const limit = server.entry.slots * LOAD_PER_SLOT;
  if (server.inFlight >= mostOfOwn(server, now, vms)) return false;
  return server.load(now) < limit;
}

/** Requests that this VM may have at a server. */
function mostOfOwn(
  server: TrackedServer,
  now: number,
  vms: number | null,
): number {
  const { slots } = server.entry;
  const part = Math.ceil(slots * OWN_SHARE / (vms ?? ASSUMED_VMS));
  if (server.isLoadKnown(now)) return Math.max(part, slots);
  if (now - server.refusedAt < REFUSAL_LIFETIME) return part;
  return Math.max(part, Math.ceil(slots * UNKNOWN_SHARE));
}

/**
 * The server where an answer is expected first, among those with room that were
 * not tried. Servers that failed or are silent come last. Null when none has
 * room.
 */
export function chooseServer(
  service: string,
  tried: readonly string[],
  now: number,
  context: ChoiceContext,
): TrackedServer | null {
  const { fleet, vms, cold, tokens } = context;
  const usual = fleet.usualLatency(service, now);
  const usable = sample(fleet.of(service), context.draw).filter((server) =>
    !server.isLeaving && !tried.includes(server.id)
  );
  const sound = usable.filter((server) =>
    !server.isPaused(now) && !server.isSilent(now, usual)
  );
  const pool = sound.length > 0 ? sound : usable;
  const candidates = pool.filter((server) =>
    hasRoom(server, now, vms) && cold.mayTake(server, now)
  );
  requestToken(candidates, now, context);
  let best: TrackedServer | null = null;
  let lowest = Infinity;
  for (const server of candidates) {
    if (!tokens.isReady(server, now)) continue;
    const isRestricted = cold.isCold(server, now) ||
      tokens.isLimited(server, now);
    const isNear = server.entry.availabilityZone === context.availabilityZone;
    const cost = (server.cost(now, usual) + 1) * (isNear ? 1 : FAR_FACTOR) *
      (isRestricted ? RESTRICTED_FACTOR : 1) *
      (1 + JITTER * context.draw());
    if (cost >= lowest) continue;
    lowest = cost;
    best = server;
  }
  return best;
}

/** Asks for a token for one rate-limited server. A token that is granted too late for
 * the request being placed is available to a later one. */
function requestToken(
  servers: readonly TrackedServer[],
  now: number,
  { tokens, isUrgent }: ChoiceContext,
): void {
  const next = servers.find((each) => tokens.mayAsk(each, isUrgent, now));
  if (next !== undefined) tokens.check(next, isUrgent, now);
}

/** So many neighbours in the list from a random place on: a few choices are
 * nearly as good as all, and cost the same whatever the number of servers. */
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
