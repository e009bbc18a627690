/**
 * Decides whether a request can be sent now, and to which server: a request
 * with a key to the server that owns the key, others to the server with the
 * lowest expected cost.
 *
 * @module
 */
import type { AdmissionDenial, AdmissionRequest } from "../admission/index.ts";
import type { TrackedServer } from "../fleet/index.ts";
import type { QuarantinedRequest } from "../quarantine/index.ts";
import { hasBodyRoom } from "./body_room.ts";
import type { CopiesInFlight } from "./copies_in_flight.ts";
import type { DispatchContext } from "./dispatch_context.ts";
import type { RangeBackoff } from "./range_backoff.ts";
import type { PendingRequest } from "./request.ts";
import {
  chooseServer,
  hasCapacity,
  requestsPerSlotAbove,
} from "./server_choice.ts";

/** Reason given when a request has reached its crash limit. */
const CRASH_LIMIT_REACHED = "backend servers have ended under this request, " +
  "and no copy of it has been answered";

/** Reason given when this VM has no path to any server. */
const CUT_OFF = "no backend server can be reached from this VM";

/**
 * Longest time for which a request is queued and then refused because it is not
 * admitted, as a share of its target latency.
 */
const HELD_SHARE = 1 / 8;

/**
 * Time that must be left for a response if its request is sent while this VM is
 * stopping, as a multiple of the usual latency.
 */
const LATENCY_MARGIN = 1.5;

/** Whether and where a request can be sent now. */
export type DispatchPlan =
  | { kind: "server"; server: TrackedServer }
  /**
   * Refused because the key is overloaded: only `share` of its requests is
   * admitted, according to a limit that is `age` milliseconds old.
   */
  | { kind: "shed"; reason: string; share: number; age: number }
  /** Refused on arrival because its service has more urgent requests. */
  | { kind: "unadmitted"; denial: AdmissionDenial }
  /**
   * Refused because the request is quarantined: servers crashed while they ran
   * it.
   */
  | { kind: "quarantined"; quarantined: QuarantinedRequest }
  /**
   * Refused because waiting would not help: the request has crashed a server
   * and another copy of it is running, it has reached its crash limit, no server
   * can be reached, all
   * servers are leaving or have requested a backoff, or a rate limit is reached
   * (`isRateLimited`).
   */
  | { kind: "refuse"; reason: string; isRateLimited: boolean }
  /** Refused because this VM stops before a response is expected. */
  | { kind: "stopping" }
  /** Cannot be sent now, but may be later. */
  | {
    kind: "wait";
    /** The condition that blocks the request. */
    reason: string;
    /** Whether the condition is expected to end soon. */
    isTransient: boolean;
    /** Whether the condition affects only this request. */
    isRequestSpecific: boolean;
    /** Whether the condition is that all servers that may run it are busy. */
    lacksCapacity: boolean;
    /**
     * Whether servers have capacity, but not for the bytes of the request's
     * body; false if omitted.
     */
    lacksBodyRoom?: boolean;
    /** When the condition ends by itself; Infinity if it does not. */
    until: number;
  };

/** A plan to queue a request. */
export type WaitPlan = DispatchPlan & { kind: "wait" };

/**
 * A wait of unknown duration, for example until the server of a key is listed
 * again. The request is checked again at `until`.
 */
function openEndedWait(reason: string, until = Infinity): DispatchPlan {
  return {
    kind: "wait",
    reason,
    isTransient: false,
    isRequestSpecific: false,
    lacksCapacity: false,
    until,
  };
}

/** A wait until a server that may run the request has capacity. */
function capacityWait(reason: string): DispatchPlan {
  return {
    kind: "wait",
    reason,
    isTransient: false,
    isRequestSpecific: false,
    lacksCapacity: true,
    until: Infinity,
  };
}

/** A wait that is expected to end soon, for example while a key moves. */
function transientWait(reason: string, until = Infinity): DispatchPlan {
  return {
    kind: "wait",
    reason,
    isTransient: true,
    isRequestSpecific: false,
    lacksCapacity: false,
    until,
  };
}

/**
 * A wait until a server can take the bytes of the request's body. It is no sign
 * of overload: one large request may be in flight to an idle server.
 */
function bodyRoomWait(reason: string): DispatchPlan {
  return {
    kind: "wait",
    reason,
    isTransient: true,
    isRequestSpecific: false,
    lacksCapacity: false,
    lacksBodyRoom: true,
    until: Infinity,
  };
}

/** A wait for a condition that affects only this request. */
function requestSpecificWait(reason: string, until: number): DispatchPlan {
  return {
    kind: "wait",
    reason,
    isTransient: true,
    isRequestSpecific: true,
    lacksCapacity: false,
    until,
  };
}

/**
 * A wait until `until`, when a token for the cold server of the request's key
 * may be available, or a refusal if that is too late.
 */
function waitForColdServer(
  { waitEnd }: PendingRequest,
  until: number,
): DispatchPlan {
  const reason = "the key's server is cold";
  return until < waitEnd ? openEndedWait(reason, until) : refusal(reason, true);
}

/** What the admission of a request depends on. */
function admissionRequest(
  { service, rank, arrivedAt, deadline, route }: PendingRequest,
): AdmissionRequest {
  const { targetLatency } = route;
  return { service, rank, arrivedAt, deadline, targetLatency };
}

/** A refusal of a request for which waiting would not help. */
function refusal(reason: string, isRateLimited = false): DispatchPlan {
  return { kind: "refuse", reason, isRateLimited };
}

/** See the module's comment. */
export class DispatchPlanner {
  private constructor(
    private readonly context: DispatchContext,
    private readonly rangeBackoff: RangeBackoff,
    private readonly copies: CopiesInFlight,
  ) {}

  /**
   * Creates a planner that observes the delays in `rangeBackoff`, and sends
   * `copies` of a request to the same server.
   */
  static create(
    context: DispatchContext,
    rangeBackoff: RangeBackoff,
    copies: CopiesInFlight,
  ): DispatchPlanner {
    return new DispatchPlanner(context, rangeBackoff, copies);
  }

  /**
   * Decides whether a request that has just arrived is admitted; null if it is.
   * A server that has just stated free slots to this VM permits one more
   * request. A quarantined request is left to {@linkcode plan}, which refuses it
   * with the reason that its caller needs.
   */
  planArrival(
    request: PendingRequest,
    now: number,
  ): DispatchPlan & { kind: "unadmitted" } | null {
    const { admission, fleet, paths, quarantine } = this.context;
    if (!this.#admitsByPriority(request)) return null;
    const meanLatency = fleet.meanLatency(request.service, now);
    const described = admissionRequest(request);
    const denial = admission.check(described, meanLatency, now);
    if (denial === null || paths.isCutOff(now)) return null;
    const { fingerprint } = request.arrival;
    if (quarantine.quarantinedRequest(fingerprint, now) !== null) return null;
    const isPermitted = this.#possibleServers(request).some((server) =>
      server.takeFreeSlotStatement(now)
    );
    return isPermitted ? null : { kind: "unadmitted", denial };
  }

  /**
   * Decides the same for a request that has been queued since its arrival: one
   * of the start of a burst would otherwise take a slot from a more urgent one.
   * It is not refused if it has waited for long, or may have reached a server.
   */
  planQueued(
    request: PendingRequest,
    now: number,
  ): DispatchPlan & { kind: "unadmitted" } | null {
    const { arrivedAt, route, sentCount, mayHaveRun } = request;
    const isRecent = now - arrivedAt <= route.targetLatency * HELD_SHARE;
    return isRecent && sentCount === 0 && !mayHaveRun
      ? this.planArrival(request, now)
      : null;
  }

  /**
   * Extends the time that a request may wait for a server with room if an
   * admission in force permits it. Other conditions do not end sooner because
   * the request is admitted.
   */
  extendWait(request: PendingRequest, now: number): void {
    const { admission, fleet } = this.context;
    if (!this.#admitsByPriority(request)) return;
    const meanLatency = fleet.meanLatency(request.service, now);
    const described = admissionRequest(request);
    const end = admission.waitEnd(described, meanLatency, now);
    if (end === null) return;
    request.capacityWaitEnd = Math.max(request.capacityWaitEnd, end);
  }

  /**
   * Maximum number of requests per slot of a server while the request's service
   * is above its capacity; undefined for the usual one.
   */
  #requestsPerSlot(request: PendingRequest, now: number): number | undefined {
    const { admission, catalog, fleet } = this.context;
    const { service, route } = request;
    if (!this.#admitsByPriority(request)) return undefined;
    if (!admission.isLimited(service, now)) return undefined;
    if (!catalog.hasOnePriority(service)) return undefined;
    const latency = fleet.meanLatency(service, now);
    return requestsPerSlotAbove(latency, route.targetLatency);
  }

  /** Whether admission by priority applies to a request. */
  #admitsByPriority({ mayReturn }: PendingRequest): boolean {
    return this.context.features.admitsByPriority && mayReturn;
  }

  /** Servers that can run a request: the owner of its key, or all. */
  #possibleServers({ service, key }: PendingRequest): readonly TrackedServer[] {
    const { fleet, directory } = this.context;
    if (key === null) return fleet.serversOf(service);
    const owner = fleet.get(directory.find(service, key)?.server ?? "");
    return owner === undefined ? [] : [owner];
  }

  /** Decides whether and where `request` can be sent now. */
  plan(request: PendingRequest, now: number): DispatchPlan {
    const plan = this.#planWhileRunning(request, now);
    const isOpen = plan.kind === "server" || plan.kind === "wait";
    if (!isOpen) return plan;
    const server = plan.kind === "server" ? plan.server : null;
    const isAnswered = this.#isAnsweredBeforeStop(request, server, now);
    return isAnswered ? plan : { kind: "stopping" };
  }

  /**
   * Whether a request that is sent now usually has a response before this VM
   * stops; `server` is null if it is not known where it will be sent. Any server
   * would be cut off while it runs the request otherwise.
   */
  #isAnsweredBeforeStop(
    { service }: PendingRequest,
    server: TrackedServer | null,
    now: number,
  ): boolean {
    const responsesEndAt = this.context.responsesEndAt();
    if (responsesEndAt === Infinity) return true;
    const latency = server?.latency ??
      this.context.fleet.meanLatency(service, now);
    return now + latency * LATENCY_MARGIN <= responsesEndAt;
  }

  /** The plan while this VM is not stopping. */
  #planWhileRunning(request: PendingRequest, now: number): DispatchPlan {
    const { fleet, availabilityZone, draw, quarantine } = this.context;
    const quarantined = quarantine.quarantinedRequest(
      request.arrival.fingerprint,
      now,
    );
    if (quarantined !== null) return { kind: "quarantined", quarantined };
    if (this.context.paths.isCutOff(now)) return refusal(CUT_OFF);
    if (now < request.retryNotBefore) {
      return requestSpecificWait(
        "its server broke off",
        request.retryNotBefore,
      );
    }
    const blocked = this.#checkPermit(request, now);
    if (blocked !== null) return blocked;
    if (request.key !== null) {
      return this.#planKeyed(request, request.key, now);
    }
    const { tokens, paths } = this.context;
    const vmCount = this.#vmCount;
    const isUrgent = this.#isUrgent(request);
    const context = {
      fleet,
      availabilityZone,
      vmCount,
      tokens,
      paths,
      isUrgent,
      requestsPerSlot: this.#requestsPerSlot(request, now),
      hasBodyRoom: (server: TrackedServer) =>
        this.#hasBodyRoom(request, server),
      draw,
    };
    const server = this.#sharedServer(request, now) ??
      chooseServer(request.service, request.tried, now, context);
    if (server !== null) return { kind: "server", server };
    const servers = fleet.serversOf(request.service);
    const staying = servers.filter((each) => !each.isLeaving);
    if (servers.length > 0 && staying.length === 0) {
      return refusal("all servers of the service are leaving");
    }
    const usable = staying.filter((each) => !each.isBackedOff(now));
    if (staying.length > 0 && usable.length === 0) {
      return refusal("all servers of the service have requested a backoff");
    }
    const isTokenDenied = (server: TrackedServer) =>
      tokens.deniedUntil(server, now) >= request.waitEnd;
    if (usable.length > 0 && usable.every(isTokenDenied)) {
      return refusal("all servers of the service limit their requests", true);
    }
    const isBodyTooLarge = usable.some((server) =>
      !this.#hasBodyRoom(request, server) && hasCapacity(server, now, vmCount)
    );
    return isBodyTooLarge
      ? bodyRoomWait("no server can take the body now")
      : capacityWait("no server has room");
  }

  /**
   * Checks the permit of a request that has crashed a server or is on trial,
   * since only one copy of it may run at a time. Returns null if the request may
   * run.
   *
   * No copy may run between the last allowed crash and the quarantine: only the
   * copies that are in progress can still clear the request. A further one
   * would crash another server, and a small service would have none left.
   */
  #checkPermit(request: PendingRequest, now: number): DispatchPlan | null {
    const { quarantine, permits } = this.context;
    const { fingerprint, id } = request.arrival;
    if (!quarantine.needsPermit(fingerprint)) return null;
    if (quarantine.hasReachedLimit(fingerprint)) {
      return refusal(CRASH_LIMIT_REACHED);
    }
    const { complete } = fingerprint;
    const remaining = request.deadline - now;
    const permission = permits.check(complete, id, remaining, now);
    switch (permission.kind) {
      case "granted":
        return null;
      case "asked":
        return requestSpecificWait("its permit to run alone", permission.until);
      case "denied": {
        const reason = "a backend server has ended under this request, and " +
          "another copy of it runs";
        return refusal(reason);
      }
    }
  }

  /**
   * Returns the server to which a copy of `request` was sent, if it can take
   * another one; otherwise null.
   */
  #sharedServer(request: PendingRequest, now: number): TrackedServer | null {
    const { fleet, tokens } = this.context;
    const id = this.copies.sharedServer(request);
    const server = id === null ? undefined : fleet.get(id);
    if (server === undefined || request.tried.includes(server.id)) return null;
    const meanLatency = fleet.meanLatency(request.service, now);
    const isHealthy = !server.isLeaving && !server.isBackedOff(now) &&
      !server.isPaused(now) && !server.isUnresponsive(now, meanLatency);
    const isAvailable = isHealthy && tokens.isReady(server, now) &&
      hasCapacity(server, now, this.#vmCount) &&
      this.#hasBodyRoom(request, server);
    return isAvailable ? server : null;
  }

  /** Whether a server can take the bytes of a request's body now. */
  #hasBodyRoom({ arrival }: PendingRequest, server: TrackedServer): boolean {
    const { bodyBytesPerSlot = Infinity } = this.context;
    const { bodyBytes = 0 } = arrival;
    return hasBodyRoom(server, bodyBytes, bodyBytesPerSlot, this.#vmCount);
  }

  /** Number of VMs, or null when unknown. */
  get #vmCount(): number | null {
    return this.context.vms();
  }

  /** Whether no route to the service is more urgent than the request's. */
  #isUrgent({ route, service }: PendingRequest): boolean {
    return this.context.catalog.isMostUrgent(route, service);
  }

  /**
   * Whether a limit on the request's key refuses it. A load that the server has
   * just reported to this VM takes precedence over the limit.
   */
  #isShed(
    request: PendingRequest,
    key: number,
    server: string | null,
    now: number,
  ): boolean {
    const { fleet, keyLimits } = this.context;
    if (server !== null && fleet.get(server)?.isLoadKnown(now)) return false;
    const rank = this.#admitsByPriority(request) ? request.rank : null;
    return !keyLimits.admits(request.service, key, request.chance, rank, now);
  }

  /** Decides whether a keyed request can be sent to the server of its key. */
  #planKeyed(request: PendingRequest, key: number, now: number): DispatchPlan {
    const { fleet, directory } = this.context;
    const range = directory.find(request.service, key);
    if (range === undefined) {
      return openEndedWait("no assignment of keys is known");
    }
    // The limit also applies while the key moves; otherwise all queued requests
    // would reach the new owner at the same time.
    if (this.#isShed(request, key, range.server, now)) {
      const reason = "the key is asked for more than its server can do";
      const { keyLimits } = this.context;
      const share = keyLimits.admittedShare(request.service, key, now);
      const age = this.context.keyLimits.age(now);
      return { kind: "shed", reason, share, age };
    }
    if (!range.isOpen || range.server === null) {
      return transientWait("the key is on the move");
    }
    const server = fleet.get(range.server);
    if (server?.isBackedOff(now)) {
      return refusal("the key's server has requested a backoff");
    }
    const until = Math.max(
      this.rangeBackoff.blockedUntil(range),
      request.refusal?.server === range.server ? request.refusal.until : 0,
    );
    if (now < until) return transientWait("the key's server refused", until);
    if (server === undefined) {
      return openEndedWait("the key's server is gone");
    }
    if (fleet.drainPolicy.isPastDrainTime(server, now)) {
      return refusal("the key's server is leaving, and its keys cannot move");
    }
    if (now > fleet.drainPolicy.keysServedUntil(server)) {
      return transientWait("the key's server is leaving");
    }
    const requestsPerSlot = this.#requestsPerSlot(request, now);
    if (!hasCapacity(server, now, this.#vmCount, requestsPerSlot)) {
      return capacityWait("the key's server has no room");
    }
    if (!this.#hasBodyRoom(request, server)) {
      return bodyRoomWait("the key's server cannot take the body now");
    }
    return this.#checkRateLimit(request, server, now);
  }

  /** Plans to send a keyed request if a limit of its server permits. */
  #checkRateLimit(
    request: PendingRequest,
    server: TrackedServer,
    now: number,
  ): DispatchPlan {
    const { tokens } = this.context;
    const admission = tokens.check(server, this.#isUrgent(request), now);
    switch (admission.kind) {
      case "ready":
        return { kind: "server", server };
      case "asked": {
        const reason =
          "a token for the key's server, which limits its requests";
        return transientWait(reason, admission.until);
      }
      case "denied":
        return tokens.isCold(server, now)
          ? waitForColdServer(request, admission.until)
          : refusal("the key's server limits its requests", true);
    }
  }
}
