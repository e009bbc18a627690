/**
 * Where a request can go: for a key the one server that holds it, otherwise the
 * server that promises the earliest answer.
 *
 * @module
 */
import type { TrackedServer } from "../fleet/index.ts";
import type { Hold } from "../quarantine/index.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { RefusedRanges } from "./range_backoff.ts";
import type { PendingRequest } from "./request.ts";
import { chooseServer, hasRoom } from "./server_choice.ts";

/** A draining server keeps its keys for this long in milliseconds while they
 * are moved; then nothing more is sent to it. */
const DRAINING_KEYS_TIME = 700;

/** The same for a server whose zone is evacuated, of which many keys move. With the
 * second after which all VMs know of it, it stays within the 5 s that operators
 * grant. */
const EVACUATED_KEYS_TIME = 3_200;

/** Where a request can go now. */
export type Placing =
  | { kind: "server"; server: TrackedServer }
  /** Not at all: only a share of the requests for its key has room. */
  | { kind: "refuse"; reason: string; share: number; age: number }
  /** Not at all for a while: servers have ended under it. */
  | { kind: "hold"; hold: Hold }
  /** Not now, and no wait would help: another copy of it runs, under which a server
   * has ended, all servers are leaving, or a rate limit is reached (`isCrowded`). */
  | { kind: "deny"; reason: string; isCrowded: boolean }
  /** Not now, maybe later; `isBrief` when it is known to change soon, `isOwn` when
   * it waits for nothing that others wait for, `until` when time alone changes it
   * (Infinity otherwise). */
  | {
    kind: "wait";
    reason: string;
    isBrief: boolean;
    isOwn: boolean;
    until: number;
  };

/** A placing that lets a request wait. */
export type Wait = Placing & { kind: "wait" };

/** A wait for room, or for a server that is lost: nobody knows how long. */
function waitForLong(reason: string): Placing {
  return {
    kind: "wait",
    reason,
    isBrief: false,
    isOwn: false,
    until: Infinity,
  };
}

/** A wait for keys that are on their way from one server to another. */
function waitBriefly(reason: string, until = Infinity): Placing {
  return { kind: "wait", reason, isBrief: true, isOwn: false, until };
}

/** A wait for something that concerns this request alone. */
function waitForOwn(reason: string, until: number): Placing {
  return { kind: "wait", reason, isBrief: true, isOwn: true, until };
}

/** Waiting would not help; `isCrowded` if a rate limit is the cause. */
function deny(reason: string, isCrowded = false): Placing {
  return { kind: "deny", reason, isCrowded };
}

/** See the module's comment. */
export class RequestPlacing {
  private constructor(
    private readonly context: DispatchContext,
    private readonly refusedRanges: RefusedRanges,
  ) {}

  /** Placing upon what `context` knows, but for ranges that were refused. */
  static create(
    context: DispatchContext,
    refusedRanges: RefusedRanges,
  ): RequestPlacing {
    return new RequestPlacing(context, refusedRanges);
  }

  /** Where `request` can go now. */
  place(request: PendingRequest, now: number): Placing {
    const { fleet, availabilityZone, draw, quarantine } = this.context;
    const hold = quarantine.hold(request.arrival.fingerprint, now);
    if (hold !== null) return { kind: "hold", hold };
    if (now < request.restUntil) {
      return waitForOwn("its server broke off", request.restUntil);
    }
    const obstacle = this.#obstacle(request, now);
    if (obstacle !== null) return obstacle;
    if (request.key !== null) {
      return this.#placeKeyed(request, request.key, now);
    }
    const { cold, tokens } = this.context;
    const vms = this.context.vms();
    const isUrgent = this.#isUrgent(request);
    const context = {
      fleet,
      availabilityZone,
      vms,
      cold,
      tokens,
      isUrgent,
      draw,
    };
    const server = chooseServer(request.service, request.tried, now, context);
    if (server !== null) return { kind: "server", server };
    const servers = fleet.of(request.service);
    const usable = servers.filter((each) => !each.isLeaving);
    if (servers.length > 0 && usable.length === 0) {
      return deny("all servers of the service are leaving");
    }
    const isDenied = (server: TrackedServer) =>
      tokens.deniedUntil(server, now) >= request.waitEnd;
    if (usable.length > 0 && usable.every(isDenied)) {
      return deny("all servers of the service limit their requests", true);
    }
    return waitForLong("no server has room");
  }

  /** What keeps a request from running beside copies of it, or null: one under which
   * a server has ended runs alone. */
  #obstacle(request: PendingRequest, now: number): Placing | null {
    const { quarantine, permits } = this.context;
    const { fingerprint, id } = request.arrival;
    if (quarantine.ends(fingerprint) === 0) return null;
    const { whole } = fingerprint;
    const left = request.deadline - now;
    const permission = permits.check(whole, id, left, now);
    switch (permission.kind) {
      case "granted":
        return null;
      case "asked":
        return waitForOwn("its permit to run alone", permission.until);
      case "denied": {
        const reason = "a backend server has ended under this request, and " +
          "another copy of it runs";
        return deny(reason);
      }
    }
  }

  /** Whether no route to the service has a more urgent priority than the request's. */
  #isUrgent({ route, service }: PendingRequest): boolean {
    return this.context.catalog.isMostUrgent(route, service);
  }

  /** Share of the requests for a key that its server has room for. Where that has
   * just stated its load here, the load says more. */
  #shareWithRoom(
    service: string,
    key: number,
    server: string | null,
    now: number,
  ): number {
    const { fleet, keyLimits } = this.context;
    if (server !== null && fleet.get(server)?.isLoadKnown(now)) return 1;
    return keyLimits.share(service, key, now);
  }

  #placeKeyed(request: PendingRequest, key: number, now: number): Placing {
    const { fleet, directory } = this.context;
    const range = directory.find(request.service, key);
    if (range === undefined) {
      return waitForLong("no assignment of keys is known");
    }
    // Also while it is on the move: all that wait would come to it at once.
    const share = this.#shareWithRoom(request.service, key, range.server, now);
    if (request.chance >= share) {
      const reason = "the key is asked for more than its server can do";
      const age = this.context.keyLimits.age(now);
      return { kind: "refuse", reason, share, age };
    }
    if (!range.isOpen || range.server === null) {
      return waitBriefly("the key is on the move");
    }
    const until = Math.max(
      this.refusedRanges.until(range),
      request.refusal?.server === range.server ? request.refusal.until : 0,
    );
    if (now < until) return waitBriefly("the key's server refused", until);
    const server = fleet.get(range.server);
    if (server === undefined) {
      return waitForLong("the key's server is gone");
    }
    if (now > lastKeysAt(server)) {
      return waitBriefly("the key's server is leaving");
    }
    if (!this.context.cold.mayTake(server, now)) {
      return waitForLong("the key's server is cold");
    }
    if (!hasRoom(server, now, this.context.vms())) {
      return waitForLong("the key's server has no room");
    }
    return this.#admit(request, server, now);
  }

  /** Places a keyed request on its server if the server's rate limit allows it. */
  #admit(request: PendingRequest, server: TrackedServer, now: number): Placing {
    const { tokens } = this.context;
    const admission = tokens.check(server, this.#isUrgent(request), now);
    switch (admission.kind) {
      case "ready":
        return { kind: "server", server };
      case "asked": {
        const reason =
          "a token for the key's server, which limits its requests";
        return waitBriefly(reason, admission.until);
      }
      case "denied":
        return deny("the key's server limits its requests", true);
    }
  }
}

/** When a server that leaves is sent requests for its keys last. */
function lastKeysAt({ drainingSince, evacuatedSince }: TrackedServer): number {
  return Math.min(
    (drainingSince ?? Infinity) + DRAINING_KEYS_TIME,
    (evacuatedSince ?? Infinity) + EVACUATED_KEYS_TIME,
  );
}
