/**
 * Where a request can go: for a key the one server that holds it, otherwise the
 * server that promises the earliest answer.
 *
 * @module
 */
import type { TrackedServer } from "../fleet/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { PendingRequest } from "./request.ts";
import { chooseServer, hasRoom } from "./server_choice.ts";

/** A draining server keeps its keys for this long in milliseconds while they
 * are moved; then nothing more is sent to it. */
const DRAINING_KEYS_TIME = 700;

/** Where a request can go now. */
export type Placing =
  | { kind: "server"; server: TrackedServer }
  /** Not now, maybe later; `isBrief` when it is known to change soon. */
  | { kind: "wait"; reason: string; isBrief: boolean };

/** A wait for room, or for a server that is lost: nobody knows how long. */
function waitForLong(reason: string): Placing {
  return { kind: "wait", reason, isBrief: false };
}

/** A wait for keys that are on their way from one server to another. */
function waitBriefly(reason: string): Placing {
  return { kind: "wait", reason, isBrief: true };
}

/** See the module's comment. */
export class RequestPlacing {
  private constructor(private readonly context: DispatchContext) {}

  /** Placing upon what `context` knows. */
  static create(context: DispatchContext): RequestPlacing {
    return new RequestPlacing(context);
  }

  /** Where `request` can go now. */
  place(request: PendingRequest, now: number): Placing {
    const { fleet, availabilityZone, draw } = this.context;
    if (request.key !== null) {
      return this.#placeKeyed(request, request.key, now);
    }
    const context = { fleet, availabilityZone, vms: this.context.vms(), draw };
    const server = chooseServer(request.service, request.tried, now, context);
    if (server !== null) return { kind: "server", server };
    return waitForLong("no server has room");
  }

  #placeKeyed(request: PendingRequest, key: number, now: number): Placing {
    const { fleet, directory } = this.context;
    if (now < request.retryAt) {
      return waitBriefly("the key's server refused");
    }
    const range = directory.find(request.service, key);
    if (range === undefined) {
      return waitForLong("no assignment of keys is known");
    }
    if (!range.isOpen || range.server === null) {
      return waitBriefly("the key is on the move");
    }
    const server = fleet.get(range.server);
    if (server === undefined) {
      return waitForLong("the key's server is gone");
    }
    const drainingSince = server.drainingSince ?? Infinity;
    if (now > drainingSince + DRAINING_KEYS_TIME) {
      return waitBriefly("the key's server is leaving");
    }
    if (hasRoom(server, now, this.context.vms())) {
      return { kind: "server", server };
    }
    return waitForLong("the key's server has no room");
  }
}
