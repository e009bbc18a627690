/**
 * Choices: where a request is sent now, or why it is not.
 *
 * @module
 */
import type { SiteService } from "../configuration/index.ts";
import type { Balancer, WatchedServer } from "../routing/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { Exchange } from "./exchange.ts";

/** Where to send a request, or why not now. */
export type Choice =
  | {
    kind: "send";
    server: WatchedServer;
    token: number | null;
    reason: string;
  }
  | { kind: "wait"; reason: string; patience: number }
  | { kind: "refuse"; reason: string; retryAfter: number };

/** How long a request waits for a lapsed view lease, in milliseconds. */
const LEASE_PATIENCE = 300;
/** When a refused caller may come back, in milliseconds. */
export const RETRY_AFTER = 1_000;

/** Chooses for a request: the owner of its key, or a balanced server. */
export function chooseServer(
  context: DispatchContext,
  service: SiteService,
  exchange: Exchange,
  balancer: Balancer,
): Choice {
  if (context.now < exchange.notBefore) {
    return wait("pause before retry", Infinity);
  }
  return exchange.slot === null
    ? chooseBalanced(context, service, exchange, balancer)
    : chooseOwner(context, service, exchange.slot);
}

function chooseOwner(
  context: DispatchContext,
  service: SiteService,
  index: number,
): Choice {
  if (context.now >= context.leaseUntil) {
    return wait("no view lease", LEASE_PATIENCE);
  }
  const slot = context.view.services[service.name]?.[index];
  if (slot === undefined || slot.server === null) {
    return wait("slot has no owner", Infinity);
  }
  const server = context.servers.find(slot.server);
  if (server === undefined || server.down) {
    return wait("owner is down", Infinity);
  }
  if (server.inFlight >= server.limit.current) {
    return wait("owner is busy", Infinity);
  }
  return {
    kind: "send",
    server,
    token: slot.token,
    reason: "owner of the key",
  };
}

function chooseBalanced(
  context: DispatchContext,
  service: SiteService,
  exchange: Exchange,
  balancer: Balancer,
): Choice {
  const usable = context.servers.usable(service.name);
  if (usable.length === 0) {
    const reason = "no backend server is up";
    return { kind: "refuse", reason, retryAfter: RETRY_AFTER };
  }
  const server = balancer.choose({
    servers: usable,
    tried: exchange.tried,
    availabilityZone: context.availabilityZone,
    draw: context.draw,
  });
  if (server === null) return wait("all are busy", Infinity);
  return { kind: "send", server, token: null, reason: "least work" };
}

function wait(reason: string, patience: number): Choice {
  return { kind: "wait", reason, patience };
}
