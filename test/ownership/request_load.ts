/**
 * Requests under virtual time: callers that retry once after a failure, and
 * servers with slots and a short queue that reset connections when both are
 * full.
 *
 * @module
 */
import type {
  AttemptOutcome,
  AttemptStart,
  ErrorResponse,
  RequestArrival,
} from "../../src/core/dispatch/index.ts";
import type { Configuration } from "../../src/core/catalog/index.ts";
import { fingerprintOf } from "../support/fingerprint.ts";
import type { RelayedConnection, RelayResult } from "./model_relays.ts";
import type { Timeline } from "./timeline.ts";

/** One-way delay between a caller and a VM, in milliseconds. */
const CALLER_HOP = 8;
/** One-way delay between a VM and a server, in milliseconds. */
const SERVER_HOP = 1;
/** Servers close their connection after one in this number of responses. */
const CLOSED_CONNECTION_INTERVAL = 4;
/** Timeout of a new connection to a server, in milliseconds. */
const CONNECT_TIMEOUT = 300;
/**
 * Standard deviation of the logarithm of a request's processing time. The
 * standard deviation of the processing time itself is then 0.8 of its mean.
 */
const WORK_SIGMA = 0.7;
/**
 * Time after which a VM that has forwarded a response with a limit must apply
 * the limit, in milliseconds.
 */
const LIMIT_PROPAGATION_TIME = 500;
/**
 * Time after a refusal with a backoff during which requests that are on their
 * way may still arrive, in milliseconds.
 */
const BACKOFF_GRACE = 500;
/**
 * Maximum delay before a retry that callers accept, as a share of the remaining
 * time.
 */
const MAXIMUM_DELAY_SHARE = 1 / 3;

/** The requests to a service, and its servers. */
export interface LoadOptions {
  /**
   * Whether the service's keys are partitioned among its servers; true if left
   * out.
   */
  isKeyed?: boolean;
  /** Time from which requests are sent, in milliseconds. */
  from: number;
  /** Time until which requests are sent, in milliseconds. */
  until: number;
  /** Requests per second to all VMs combined. */
  rate: number;
  /** Draws the key of a request; `draw` returns uniform numbers in [0, 1). */
  keyOf(draw: () => number, now: number): number;
  /**
   * Mean processing time of a request at a server of speed 1, in milliseconds.
   */
  work: number;
  /** Speeds that servers get in turn. */
  speeds: readonly number[];
  /** Maximum number of requests that a server runs at the same time. */
  slots: number;
  /** Maximum number of requests that wait at a server. */
  queue: number;
  /** Time within which callers should receive a response, in milliseconds. */
  target: number;
  /** Timeout of a caller's request, in milliseconds. */
  timeout: number;
  /** Whether requests may be run more than once; true if left out. */
  isIdempotent?: boolean;
  /** Time in which `rate` is multiplied by `factor`; none if left out. */
  burst?: { from: number; until: number; factor: number };
  /**
   * Share of the requests that each priority has, the most urgent first; all
   * have priority 0 if left out. Their paths begin with `/p0/`, `/p1/` etc.
   */
  priorityShares?: readonly number[];
  /** Share of the requests that have the same target; none if left out. */
  popularShare?: number;
  /**
   * Warm-up of servers that start during the simulation; if left out, they take
   * the full load at once.
   */
  warmUp?: ServerWarmUp;
  /**
   * A request that crashes each server that starts to run it; none if left out.
   */
  crashingRequest?: CrashingRequest;
  /** Rate limit that servers report; none if left out. */
  rateLimit?: ReportedRateLimit;
  /** Backoff that servers request; none if left out. */
  backoff?: RequestedBackoff;
  /** Failure of servers; none if left out. */
  failure?: ServerFailure;
}

/**
 * Servers that refuse all requests and request a backoff with each refusal.
 * Times are milliseconds.
 */
export interface RequestedBackoff {
  from: number;
  until: number;
  duration: number;
  /** Number of servers that refuse requests. */
  servers: number;
}

/**
 * State of the links between a VM and all servers. New connections time out on
 * silent links. Bytes that are lost on silent and one-way links arrive once the
 * links work again, unless their connection was closed.
 */
export type ServerLinks =
  | "open"
  /** Nothing arrives in either direction. */
  | "silent"
  /** Nothing arrives at the VM. */
  | "one_way"
  /** Connections are reset. */
  | "reset"
  /** Established connections work, new ones are refused. */
  | "refused";

/** Servers that respond with status 500 at once. Times are milliseconds. */
export interface ServerFailure {
  from: number;
  until: number;
  /** Number of servers that fail; all if left out. */
  servers?: number;
}

/** The first attempt of a caller at a VM. */
export interface FirstAttempt {
  vm: number;
  startedAt: number;
  isServed: boolean;
  /** Time until the VM responded, in milliseconds. */
  took: number;
}

/** A backoff that a server has requested from a VM. */
export interface Backoff {
  vm: number;
  server: string;
  /** Time from which no request that was on its way should arrive. */
  from: number;
  until: number;
  /** Number of requests and orders that arrived from the VM in that time. */
  arrivals: number;
}

/** A request that reached a server that states that it is leaving. */
export interface LeavingArrival {
  vm: number;
  server: string;
  at: number;
  /**
   * Time by which the caller sent the request after the VM had passed on a
   * response that states that the server is leaving, in milliseconds; -Infinity
   * if the VM has passed on none.
   */
  delay: number;
}

/**
 * A rate limit that servers report with their responses. Times are
 * milliseconds.
 */
export interface ReportedRateLimit {
  from: number;
  until: number;
  requestsPerSecond: number;
  /** Number of servers that report it. */
  servers: number;
}

/** A request that reached a server while the server reported a limit. */
export interface LimitedArrival {
  server: string;
  at: number;
  /**
   * Whether its VM had forwarded a response with the limit at least
   * {@linkcode LIMIT_PROPAGATION_TIME} before.
   */
  isLimitKnown: boolean;
}

/** A request that reached a cold server. */
export interface ColdArrival {
  server: string;
  at: number;
}

/** Warm-up of a server. */
export interface ServerWarmUp {
  /** Time for which the server is cold after its start, in milliseconds. */
  duration: number;
  /** Maximum rate that the configuration permits for a cold server. */
  requestsPerSecond: number;
  /**
   * A cold server crashes if it receives more requests than this within one
   * second.
   */
  crashRate: number;
}

/**
 * A request that is repeated unchanged and sent to a random VM each time. Times
 * are milliseconds.
 */
export interface CrashingRequest {
  from: number;
  until: number;
  /** Time between two repeats, which do not wait for a response. */
  interval: number;
  key: number;
  /** Time for which a server runs it before it crashes. */
  work: number;
  /** Number of callers that send it at the same time; one if left out. */
  copies?: number;
}

/**
 * Number of requests for a key by result, one result for each caller, and
 * counts of their attempts.
 */
export interface LoadCounts {
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Requests that callers sent, retries included. */
  attempts: number;
  /** Longest time until an attempt was refused, in milliseconds. */
  longestRefusal: number;
  /** Total time until attempts were refused, in milliseconds. */
  refusalTime: number;
  refusals: number;
}

/** The simulated system as the load uses it. */
export interface LoadSystem {
  /** Returns the indexes of the VMs that accept requests now. */
  vms(): number[];
  /** Passes a request to a VM. */
  arrive(vm: number, arrival: RequestArrival): void;
  /** Whether a VM is running, that is, neither suspended nor busy. */
  isRunning(vm: number): boolean;
  /** Passes the outcome of an attempt to a VM. */
  end(vm: number, attempt: number, outcome: AttemptOutcome): void;
  /**
   * Whether `server` holds a key now; null if no server listens at the address.
   */
  holds(server: string, address: string, key: number): boolean | null;
  /** Whether `server` listens at the address. */
  isListening(server: string, address: string): boolean;
  /** Whether a server is still warming up. */
  isCold(server: string): boolean;
  /** Whether a server states that it is leaving. */
  isLeaving(server: string): boolean;
  /** Crashes the server at an address. */
  crash(address: string): void;
  /** State of the links between a VM and all servers. */
  serverLinks(vm: number): ServerLinks;
  /** Opens a connection of a VM to a server through another VM. */
  openRelayed(
    vm: number,
    relay: string,
    server: string,
    address: string,
    done: (result: RelayResult) => void,
  ): void;
  /** Whether a VM and a server are in the same availability zone. */
  isSameZone(vm: number, server: string): boolean;
}

/** A caller's request with its retries. */
interface Caller {
  key: number;
  /** Path of the request; unique unless the request is repeated. */
  target: string;
  startedAt: number;
  attempts: number;
  /** Whether the request crashes its servers. */
  isCrashing: boolean;
}

/** A request that a VM has received. */
interface Exchange {
  caller: Caller;
  vm: number;
  startedAt: number;
  /** Number of servers that have begun to run it. */
  runs: number;
  /** Number of times that it has reached a server. */
  arrivals: number;
  /** Whether the VM has stated that it has not run. */
  isRefused: boolean;
  /**
   * Whether it arrived while the VM was not running. The VM then cannot know
   * how long the request was in transit.
   */
  isDelayed: boolean;
}

/** A request that a VM has sent to a server. */
interface ServerRequest {
  vm: number;
  server: string;
  caller: Caller;
  exchange: Exchange;
  /** When the caller sent it. */
  sentAt: number;
  attempt: number;
  deadline: number;
  address: string;
  hasSlot: boolean;
  isEnded: boolean;
  /** Whether it waits for a direct connection that hangs. */
  isConnecting: boolean;
  /** Its connection, if that goes through another VM. */
  relayed: RelayedConnection | null;
}

/** Used slots and queue of one server. */
class ServerLoad {
  running = 0;
  readonly waiting: ServerRequest[] = [];
  constructor(readonly speed: number) {}
}

/** See the module's comment. */
export class RequestLoad {
  readonly #exchanges = new Map<number, Exchange>();
  /** Number of idle connections, by VM and server. */
  readonly #idleConnections = new Map<string, number>();
  /** Idle connections through other VMs, by VM, VM between and server. */
  readonly #idleRelayed = new Map<string, RelayedConnection[]>();
  /** Number of connections opened through other VMs. */
  relayedConnections = 0;
  /** What is delivered once the links of a VM work again, by VM. */
  readonly #undelivered = new Map<number, (() => void)[]>();
  readonly #requests = new Map<string, ServerRequest>();
  readonly #loads = new Map<string, ServerLoad>();
  readonly #counts = new Map<number, LoadCounts>();
  #exchangeCount = 0;
  #responseCount = 0;
  #callerCount = 0;
  #serverCount = 0;
  /** Requests that were reset because the server's queue was full. */
  resets = 0;
  /**
   * Requests that reached a server that does not hold the key, or that were
   * intended for another server.
   */
  misdirected = 0;
  /** Requests that reached a server. */
  arrivals = 0;
  /** When callers sent requests, retries included, oldest first. */
  readonly requestTimes: number[] = [];
  /**
   * Times of the arrivals at servers beyond the first of each request, oldest
   * first.
   */
  readonly repeatTimes: number[] = [];
  /** Requests that reached a server from another availability zone. */
  zoneCrossings = 0;
  /** Maximum number of requests that reached a cold server within a second. */
  highestColdRate = 0;
  /** Requests that reached cold servers. */
  readonly coldArrivals: ColdArrival[] = [];
  /** Cold servers that crashed because they received too many requests. */
  coldCrashes = 0;
  readonly #recentColdArrivals = new Map<string, number[]>();
  /** Result of each caller's request. */
  readonly results: (Caller & { name: string; took: number })[] = [];
  /**
   * Longest time by which the deadline of a request sent to a server exceeded
   * that of its caller, in milliseconds.
   */
  longestOverrun = -Infinity;
  /** First attempts of callers, in the order of the responses. */
  readonly firstAttempts: FirstAttempt[] = [];
  /**
   * Number of requests at a VM that ran although the VM stated that they have
   * not run.
   */
  falseRefusals = 0;
  /**
   * Number of requests at a VM that ran more than once, though they may not.
   */
  doubleRuns = 0;
  /** Requests that were refused because they are quarantined, with the time. */
  readonly quarantined: (Caller & { at: number })[] = [];
  /** Requests that reached servers while they reported a limit. */
  readonly limitedArrivals: LimitedArrival[] = [];
  /** Backoffs that servers have requested. */
  readonly backoffs: Backoff[] = [];
  /** Requests that reached leaving servers. */
  readonly leavingArrivals: LeavingArrival[] = [];
  /** Attempts to which a failing server has responded, by VM and attempt. */
  readonly #failedAttempts = new Set<string>();
  /** Leaving servers of responses, by VM and attempt. */
  readonly #leavingResponses = new Map<string, string>();
  /**
   * When a VM first passed on a response of a leaving server, by VM and server.
   */
  readonly #leavingPassedOnAt = new Map<string, number>();
  /** When a VM first forwarded a response with a limit, by VM and server. */
  readonly #limitSentAt = new Map<string, number>();
  /**
   * Runs of the crashing request: start time, server, and the VM that sent it.
   */
  readonly crashingRuns: { at: number; server: string; vm: number }[] = [];

  private constructor(
    private readonly options: LoadOptions,
    private readonly time: Timeline,
    private readonly draw: () => number,
    private readonly system: LoadSystem,
  ) {}

  /** Creates a load and schedules its first requests. */
  static create(
    options: LoadOptions,
    time: Timeline,
    draw: () => number,
    system: LoadSystem,
  ): RequestLoad {
    const load = new RequestLoad(options, time, draw, system);
    time.after(options.from, () => load.#sendNext());
    const { crashingRequest } = options;
    if (crashingRequest !== undefined) {
      time.after(
        crashingRequest.from,
        () => load.#sendCrashing(crashingRequest),
      );
    }
    return load;
  }

  /** Returns the routes that these requests need. */
  static routes(
    service: string,
    { target, isIdempotent = true, priorityShares }: LoadOptions,
  ): Configuration["routes"] {
    const priorities = priorityShares?.map((_, priority) => priority) ?? [0];
    return priorities.map((priority) => ({
      name: priority === 0 ? "r" : `r${priority}`,
      host: "h",
      pathPrefix: priorityShares === undefined ? "/" : `/p${priority}/`,
      isIdempotent,
      destinations: [{ service, weight: 1 }],
      timeout: target * 1.5,
      targetLatency: target,
      maximumAttempts: 2,
      priority,
    }));
  }

  /** Sums the results of the requests whose key passes `filter`. */
  counts(filter: (key: number) => boolean): LoadCounts {
    const sum = zeroCounts();
    for (const [key, counts] of this.#counts) {
      if (!filter(key)) continue;
      for (const name of Object.keys(sum) as (keyof LoadCounts)[]) {
        sum[name] = name === "longestRefusal"
          ? Math.max(sum[name], counts[name])
          : sum[name] + counts[name];
      }
    }
    return sum;
  }

  /** Sends a request from a VM to a server. */
  send(vm: number, start: AttemptStart): void {
    const { attempt, remaining, server } = start;
    const exchange = this.#exchanges.get(start.exchange)!;
    const { caller, isDelayed } = exchange;
    const { now } = this.time;
    const end = caller.startedAt + this.options.timeout;
    const overrun = isDelayed ? -Infinity : now + remaining - end;
    this.longestOverrun = Math.max(this.longestOverrun, overrun);
    const request: ServerRequest = {
      vm,
      server,
      caller,
      exchange,
      sentAt: exchange.startedAt - CALLER_HOP,
      attempt,
      address: start.address,
      deadline: this.time.now + remaining,
      hasSlot: false,
      isEnded: false,
      isConnecting: false,
      relayed: null,
    };
    this.#requests.set(nameOf(vm, attempt), request);
    const idle = this.#idleConnections.get(nameOf(vm, server)) ?? 0;
    const isDirect = start.relay === null || (start.mayReuseDirect && idle > 0);
    if (isDirect) this.#transmit(start, request);
    else this.#openRelayed(start, request, start.relay!);
  }

  /** Sends a request through another VM. */
  #openRelayed(
    start: AttemptStart,
    request: ServerRequest,
    relay: string,
  ): void {
    const { vm, server, address } = request;
    const idle = this.#idleRelayed.get(`${vm}/${relay}/${server}`) ?? [];
    const kept = idle.filter(({ isOpen, isRetired }) => isOpen && !isRetired);
    this.#idleRelayed.set(`${vm}/${relay}/${server}`, kept);
    const connection = kept.pop();
    if (connection !== undefined) {
      return this.#transmitRelayed(start, request, connection);
    }
    this.relayedConnections += 1;
    this.system.openRelayed(vm, relay, server, address, (result) => {
      if (result.kind === "opened") {
        if (request.isEnded) return result.connection.close();
        return this.#transmitRelayed(start, request, result.connection);
      }
      if (request.isEnded) return;
      this.#end(request, {
        kind: "failed",
        mayHaveBeenSent: false,
        isConnectionRefused: result.kind === "refused",
        isRelayed: true,
        isRelayFault: result.kind === "fault",
        cause: result.kind,
      });
    });
  }

  #transmitRelayed(
    start: AttemptStart,
    request: ServerRequest,
    connection: RelayedConnection,
  ): void {
    request.relayed = connection;
    connection.onBroken = () => {
      if (request.isEnded) return;
      this.#end(request, {
        kind: "failed",
        mayHaveBeenSent: true,
        isRelayed: true,
        cause: "reset",
      });
    };
    connection.toServer(() => {
      if (!request.isEnded) this.#arrive(start, request);
    });
  }

  /** Passes the response to a request through another VM. */
  #respondRelayed(
    request: ServerRequest,
    connection: RelayedConnection,
    outcome: AttemptOutcome & { kind: "answered" },
  ): void {
    connection.toVm(() => {
      if (request.isEnded) return;
      request.isEnded = true;
      const { vm, server, relay } = { ...request, relay: connection.relay };
      this.#requests.delete(nameOf(vm, request.attempt));
      connection.onBroken = () => {};
      if (connection.isRetired) connection.close();
      const name = `${vm}/vm-${relay}/${server}`;
      const idle = this.#idleRelayed.get(name) ?? [];
      this.#idleRelayed.set(name, [...idle, connection]);
      this.system.end(vm, request.attempt, { ...outcome, isRelayed: true });
    });
  }

  /** Sends a request over an idle connection or a new one. */
  #transmit(start: AttemptStart, request: ServerRequest): void {
    const name = nameOf(request.vm, request.server);
    const idle = this.#idleConnections.get(name) ?? 0;
    const links = this.system.serverLinks(request.vm);
    const arrive = () => {
      if (!request.isEnded) this.#arrive(start, request);
    };
    if (idle > 0) {
      this.#idleConnections.set(name, idle - 1);
      if (links !== "silent") return this.time.after(SERVER_HOP, arrive);
      return this.#deliverLater(request.vm, arrive);
    }
    switch (links) {
      case "open":
        return this.time.after(SERVER_HOP, arrive);
      case "silent":
      case "one_way":
        request.isConnecting = true;
        return this.time.after(
          CONNECT_TIMEOUT,
          () => this.#reject(request, "connection timed out", false),
        );
      case "reset":
      case "refused":
        return this.time.after(
          SERVER_HOP,
          () => this.#reject(request, links, links === "refused"),
        );
    }
  }

  /** Ends an attempt whose connection could not be established. */
  #reject(
    request: ServerRequest,
    cause: string,
    isConnectionRefused: boolean,
  ): void {
    if (request.isEnded) return;
    request.isConnecting = false;
    const mayHaveBeenSent = false;
    const outcome = { mayHaveBeenSent, isConnectionRefused, cause };
    this.#end(request, { kind: "failed", ...outcome });
  }

  /** Calls `deliver` once bytes get through the links of a VM. */
  #deliverLater(vm: number, deliver: () => void): void {
    const waiting = this.#undelivered.get(vm) ?? [];
    waiting.push(deliver);
    this.#undelivered.set(vm, waiting);
  }

  /**
   * Fails the direct attempts of a VM whose connections are not established,
   * and closes the idle ones unless they are usable.
   */
  abandonDirect(vm: number, isEstablishedUsable: boolean): void {
    for (const request of [...this.#requests.values()]) {
      if (request.vm === vm && request.isConnecting) {
        this.#reject(request, "connection abandoned", false);
      }
    }
    if (isEstablishedUsable) return;
    for (const name of this.#idleConnections.keys()) {
      if (name.startsWith(`${vm}/`)) this.#idleConnections.delete(name);
    }
  }

  /** Closes the idle connections of a VM through another one. */
  retireRelay(vm: number, relay: string): void {
    for (const [name, connections] of this.#idleRelayed) {
      if (!name.startsWith(`${vm}/${relay}/`)) continue;
      this.#idleRelayed.delete(name);
      for (const each of connections) each.close();
    }
  }

  /** Applies a change of the links between a VM and all servers. */
  serverLinksChanged(vm: number): void {
    const links = this.system.serverLinks(vm);
    if (links === "open" || links === "refused") {
      const waiting = this.#undelivered.get(vm) ?? [];
      this.#undelivered.delete(vm);
      for (const deliver of waiting) this.time.after(SERVER_HOP, deliver);
    }
    if (links !== "reset") return;
    this.#undelivered.delete(vm);
    for (const name of this.#idleConnections.keys()) {
      if (name.startsWith(`${vm}/`)) this.#idleConnections.delete(name);
    }
    for (const request of [...this.#requests.values()]) {
      if (request.vm !== vm || request.isEnded) continue;
      if (request.relayed !== null) continue;
      const mayHaveBeenSent = true;
      this.#end(request, { kind: "failed", mayHaveBeenSent, cause: "reset" });
    }
  }

  /** Cancels an attempt of a VM: its connection is closed. */
  cancel(vm: number, attempt: number): void {
    const request = this.#requests.get(nameOf(vm, attempt));
    if (request === undefined) return;
    request.isEnded = true;
    request.relayed?.close();
  }

  /** Delivers a server's response from a VM to the caller. */
  deliver(exchange: number, attempt: number): void {
    const { caller, vm } = this.#takeExchange(exchange, true);
    const leaving = this.#leavingResponses.get(nameOf(vm, attempt));
    if (leaving !== undefined) {
      const name = nameOf(vm, leaving);
      const passedOnAt = this.#leavingPassedOnAt.get(name) ?? this.time.now;
      this.#leavingPassedOnAt.set(name, passedOnAt);
    }
    const took = this.time.now + CALLER_HOP - caller.startedAt;
    const isFailed = this.#failedAttempts.has(nameOf(vm, attempt));
    const served = took <= this.options.target ? "inTime" : "late";
    const name = isFailed ? "failed" : served;
    this.#countsOf(caller)[name] += 1;
    this.results.push({ ...caller, name, took });
  }

  /** Delivers a VM's own error response to the caller, which may retry. */
  refuse({ exchange, status, retryAfter }: ErrorResponse): void {
    const found = this.#takeExchange(exchange, false);
    const { caller, startedAt } = found;
    const counts = this.#countsOf(caller);
    const isQuarantined = status === 429;
    const isRefusal = status === 503 || isQuarantined;
    if (isRefusal) {
      found.isRefused = true;
      if (found.runs > 0) this.falseRefusals += 1;
    }
    if (isQuarantined) this.quarantined.push({ ...caller, at: this.time.now });
    if (isRefusal) {
      const wait = this.time.now - startedAt;
      counts.longestRefusal = Math.max(counts.longestRefusal, wait);
      counts.refusalTime += wait;
      counts.refusals += 1;
    }
    const end = caller.startedAt + this.options.timeout;
    const left = end - this.time.now;
    const pause = Math.min(retryAfter ?? 0, left * MAXIMUM_DELAY_SHARE);
    if (caller.attempts < 2 && left > 2 * CALLER_HOP) {
      this.time.after(pause + CALLER_HOP, () => this.#submit(caller));
      return;
    }
    const name = isRefusal ? "refused" : "failed";
    counts[name] += 1;
    const took = this.time.now - caller.startedAt;
    this.results.push({ ...caller, name, took });
  }

  #sendNext(): void {
    const { rate, until, keyOf, burst } = this.options;
    if (this.time.now >= until) return;
    const key = keyOf(this.draw, this.time.now);
    this.#callerCount += 1;
    const isPopular = this.draw() < (this.options.popularShare ?? 0);
    const target = isPopular
      ? "/popular"
      : `${this.#drawPrefix()}/${this.#callerCount}`;
    this.#submit({
      key,
      target,
      startedAt: this.time.now,
      attempts: 0,
      isCrashing: false,
    });
    const { now } = this.time;
    const isBurst = burst !== undefined && now >= burst.from &&
      now < burst.until;
    const currentRate = rate * (isBurst ? burst.factor : 1);
    const pause = -Math.log(1 - this.draw()) * 1_000 / currentRate;
    this.time.after(pause, () => this.#sendNext());
  }

  /** Draws the priority of a request; returns the start of its path. */
  #drawPrefix(): string {
    const { priorityShares } = this.options;
    if (priorityShares === undefined) return "";
    let rest = this.draw();
    const priority = priorityShares.findIndex((share) => (rest -= share) < 0);
    return `/p${priority < 0 ? priorityShares.length - 1 : priority}`;
  }

  #sendCrashing(request: CrashingRequest): void {
    if (this.time.now >= request.until) return;
    for (let copy = 0; copy < (request.copies ?? 1); copy++) {
      this.#submit({
        key: request.key,
        target: "/crashes-its-server",
        startedAt: this.time.now,
        attempts: 0,
        isCrashing: true,
      });
    }
    this.time.after(request.interval, () => this.#sendCrashing(request));
  }

  #submit(caller: Caller): void {
    caller.attempts += 1;
    this.requestTimes.push(this.time.now);
    this.#countsOf(caller).attempts += 1;
    const vms = this.system.vms();
    const vm = vms[Math.floor(this.draw() * vms.length)];
    if (vm === undefined) {
      // No VM accepts the connection.
      this.#countsOf(caller).failed += 1;
      const took = this.time.now - caller.startedAt;
      this.results.push({ ...caller, name: "failed", took });
      return;
    }
    this.time.after(CALLER_HOP, () => {
      this.#exchangeCount += 1;
      const exchange = this.#exchangeCount;
      const { now } = this.time;
      const startedAt = now;
      const isDelayed = !this.system.isRunning(vm);
      this.#exchanges.set(exchange, {
        caller,
        vm,
        startedAt,
        isDelayed,
        runs: 0,
        arrivals: 0,
        isRefused: false,
      });
      this.system.arrive(vm, {
        exchange,
        id: `r-${exchange}`,
        host: "h",
        target: caller.target,
        timeout: Math.round(caller.startedAt + this.options.timeout - now),
        key: caller.key,
        fingerprint: fingerprintOf(caller.target),
      });
    });
  }

  /** Whether a server responds to all requests with status 500. */
  #isFailing(server: string): boolean {
    const { failure } = this.options;
    if (failure === undefined) return false;
    const { from, until, servers } = failure;
    const { now } = this.time;
    return now >= from && now < until &&
      (servers === undefined || this.#isAmongFirst(server, servers));
  }

  #arrive({ server, address }: AttemptStart, request: ServerRequest): void {
    if (request.isEnded) return;
    const isHeld = this.system.holds(server, address, request.caller.key);
    if (isHeld === null) return this.#end(request, notSent());
    this.#recordArrival(request);
    this.#recordLimited(request);
    this.#recordLeaving(request);
    this.#countInBackoffs(request.vm, server);
    if (!this.system.isSameZone(request.vm, server)) this.zoneCrossings += 1;
    const load = this.#loadOf(server);
    const isAddressee = this.system.isListening(server, address);
    if (!isAddressee || (!isHeld && (this.options.isKeyed ?? true))) {
      this.misdirected += 1;
      return this.#end(request, this.#createResponse(server, 421, true));
    }
    if (this.#isFailing(server)) {
      this.#failedAttempts.add(nameOf(request.vm, request.attempt));
      return this.#end(request, this.#createResponse(server, 500, false));
    }
    if (this.#isRefusing(server)) return this.#refuseWithBackoff(request);
    if (this.#isOverloadedCold(server)) {
      this.coldCrashes += 1;
      return this.system.crash(address);
    }
    if (load.running < this.options.slots) {
      return this.#run(server, request);
    }
    const waiting = load.waiting.filter((each) => !each.isEnded);
    if (waiting.length >= this.options.queue) {
      this.resets += 1;
      return this.#end(request, {
        kind: "failed",
        mayHaveBeenSent: true,
        cause: "reset",
      });
    }
    load.waiting.push(request);
    this.time.after(Math.max(0, request.deadline - this.time.now), () => {
      if (request.hasSlot || request.isEnded) return;
      this.#end(request, this.#createResponse(server, 503, true));
    });
  }

  #recordArrival({ exchange }: ServerRequest): void {
    this.arrivals += 1;
    exchange.arrivals += 1;
    if (exchange.arrivals > 1) this.repeatTimes.push(this.time.now);
  }

  /** Records a request that reaches a server that reports a limit. */
  #recordLimited({ server, vm }: ServerRequest): void {
    if (this.#rateLimit(server) === null) return;
    const at = this.time.now;
    const limitSentAt = this.#limitSentAt.get(nameOf(vm, server)) ?? Infinity;
    const isLimitKnown = at - limitSentAt >= LIMIT_PROPAGATION_TIME;
    this.limitedArrivals.push({ server, at, isLimitKnown });
  }

  /** Records a request that reaches a server that is leaving. */
  #recordLeaving({ server, vm, sentAt }: ServerRequest): void {
    if (!this.system.isLeaving(server)) return;
    const passedOnAt = this.#leavingPassedOnAt.get(nameOf(vm, server));
    const delay = sentAt - (passedOnAt ?? Infinity);
    this.leavingArrivals.push({ vm, server, at: this.time.now, delay });
  }

  /** Records that an order of a VM has reached a server. */
  orderArrived(vm: number, server: string): void {
    this.#countInBackoffs(vm, server);
  }

  #countInBackoffs(vm: number, server: string): void {
    const { now } = this.time;
    for (const backoff of this.backoffs) {
      const isSame = backoff.vm === vm && backoff.server === server;
      const isActive = backoff.from < now && now < backoff.until;
      if (isSame && isActive) backoff.arrivals += 1;
    }
  }

  /** Whether a server refuses all requests and requests a backoff now. */
  #isRefusing(server: string): boolean {
    const { backoff } = this.options;
    const { now } = this.time;
    if (backoff === undefined) return false;
    const { from, until, servers } = backoff;
    return now >= from && now < until && this.#isAmongFirst(server, servers);
  }

  #refuseWithBackoff(request: ServerRequest): void {
    const { vm, server } = request;
    const { now } = this.time;
    const until = now + this.options.backoff!.duration;
    const from = now + BACKOFF_GRACE;
    this.backoffs.push({ vm, server, from, until, arrivals: 0 });
    this.#end(request, this.#createResponse(server, 503, true));
  }

  /** Whether a server is one of the `count` servers that were used first. */
  #isAmongFirst(server: string, count: number): boolean {
    return [...this.#loads.keys()].indexOf(server) < count;
  }

  /**
   * Returns the limit that a server reports now, in requests per second, or
   * null.
   */
  #rateLimit(server: string): number | null {
    const { rateLimit } = this.options;
    const { now } = this.time;
    if (rateLimit === undefined) return null;
    const { from, until, servers, requestsPerSecond } = rateLimit;
    if (now < from || now >= until) return null;
    return this.#isAmongFirst(server, servers) ? requestsPerSecond : null;
  }

  /**
   * Records a request that reaches a cold server. Returns whether the server
   * crashes, having received too many.
   */
  #isOverloadedCold(server: string): boolean {
    const { warmUp } = this.options;
    if (warmUp === undefined || !this.system.isCold(server)) return false;
    const { now } = this.time;
    const recent = (this.#recentColdArrivals.get(server) ?? [])
      .filter((at) => now - at < 1_000);
    recent.push(now);
    this.#recentColdArrivals.set(server, recent);
    this.coldArrivals.push({ server, at: now });
    this.highestColdRate = Math.max(this.highestColdRate, recent.length);
    return recent.length > warmUp.crashRate;
  }

  #run(server: string, request: ServerRequest): void {
    const load = this.#loadOf(server);
    load.running += 1;
    request.hasSlot = true;
    this.#recordRun(request);
    if (request.caller.isCrashing) return this.#runCrashing(request);
    const mean = this.options.work / load.speed;
    const took = Math.min(
      mean * this.#workFactor(),
      request.deadline - this.time.now,
    );
    this.time.after(Math.max(1, took), () => {
      if (this.#loads.get(server) !== load) return;
      load.running -= 1;
      const isOver = this.time.now >= request.deadline;
      if (!request.isEnded) {
        this.#end(
          request,
          this.#createResponse(server, isOver ? 504 : 200, false),
        );
      }
      this.#startQueued(server);
    });
  }

  /** Counts the runs of a request, and checks that they are allowed. */
  #recordRun({ exchange }: ServerRequest): void {
    exchange.runs += 1;
    if (exchange.isRefused) this.falseRefusals += 1;
    const mayRepeat = this.options.isIdempotent ?? true;
    if (exchange.runs > 1 && !mayRepeat) this.doubleRuns += 1;
  }

  #runCrashing({ server, address, vm }: ServerRequest): void {
    this.crashingRuns.push({ at: this.time.now, server, vm });
    this.time.after(this.options.crashingRequest!.work, () => {
      if (this.system.isListening(server, address)) this.system.crash(address);
    });
  }

  /** Resets all requests at a server that has crashed. */
  serverLost(server: string): void {
    this.#loads.delete(server);
    for (const name of this.#idleConnections.keys()) {
      if (name.endsWith(`/${server}`)) this.#idleConnections.delete(name);
    }
    for (const request of [...this.#requests.values()]) {
      if (request.server !== server || request.isEnded) continue;
      this.#end(request, {
        kind: "failed",
        mayHaveBeenSent: true,
        cause: "reset",
      });
    }
  }

  /**
   * Draws the processing time of a request as a multiple of the mean, from a
   * log-normal distribution.
   */
  #workFactor(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.draw()));
    const normal = radius * Math.cos(2 * Math.PI * this.draw());
    return Math.exp(WORK_SIGMA * normal - WORK_SIGMA ** 2 / 2);
  }

  #startQueued(server: string): void {
    const load = this.#loadOf(server);
    while (load.running < this.options.slots) {
      const request = load.waiting.shift();
      if (request === undefined) return;
      if (!request.isEnded) this.#run(server, request);
    }
  }

  #createResponse(
    server: string,
    status: number,
    isNotRun: boolean,
  ): AttemptOutcome {
    const { running, waiting } = this.#loadOf(server);
    const queued = waiting.filter((each) => !each.isEnded).length;
    return {
      kind: "answered",
      status,
      isGenuine: !isNotRun,
      isNotRun,
      server,
      statement: {
        load: { running, waiting: queued, slots: this.options.slots },
        rateLimit: this.#rateLimit(server),
        isLeaving: this.system.isLeaving(server),
        backoff: status === 503 && this.#isRefusing(server)
          ? this.options.backoff!.duration
          : null,
        ignored: [],
      },
    };
  }

  #end(request: ServerRequest, outcome: AttemptOutcome): void {
    const { vm, relayed } = request;
    if (relayed !== null && outcome.kind === "answered") {
      return this.#respondRelayed(request, relayed, outcome);
    }
    relayed?.close();
    const links = this.system.serverLinks(vm);
    const isLost = outcome.kind === "answered" &&
      (links === "silent" || links === "one_way");
    if (isLost) {
      return this.#deliverLater(vm, () => {
        if (!request.isEnded) this.#end(request, outcome);
      });
    }
    request.isEnded = true;
    const name = nameOf(vm, request.server);
    this.#responseCount += outcome.kind === "answered" ? 1 : 0;
    const isKept = this.#responseCount % CLOSED_CONNECTION_INTERVAL !== 0;
    if (outcome.kind === "answered" && isKept) {
      const idle = this.#idleConnections.get(name) ?? 0;
      this.#idleConnections.set(name, idle + 1);
    }
    const isLimited = this.#rateLimit(request.server) !== null;
    if (
      outcome.kind === "answered" && isLimited && !this.#limitSentAt.has(name)
    ) {
      this.#limitSentAt.set(name, this.time.now + 2 * SERVER_HOP);
    }
    const attemptName = nameOf(request.vm, request.attempt);
    if (outcome.kind === "answered" && outcome.statement.isLeaving) {
      this.#leavingResponses.set(attemptName, request.server);
    }
    this.#requests.delete(attemptName);
    this.time.after(
      SERVER_HOP,
      () => this.system.end(request.vm, request.attempt, outcome),
    );
  }

  #loadOf(server: string): ServerLoad {
    let load = this.#loads.get(server);
    if (load === undefined) {
      const { speeds } = this.options;
      load = new ServerLoad(speeds[this.#serverCount % speeds.length]);
      this.#serverCount += 1;
      this.#loads.set(server, load);
    }
    return load;
  }

  #takeExchange(exchange: number, isServed: boolean): Exchange {
    const found = this.#exchanges.get(exchange)!;
    this.#exchanges.delete(exchange);
    const { caller, vm, startedAt } = found;
    const took = this.time.now - startedAt;
    if (caller.attempts === 1) {
      this.firstAttempts.push({ vm, startedAt, isServed, took });
    }
    return found;
  }

  #countsOf({ key }: Caller): LoadCounts {
    let counts = this.#counts.get(key);
    if (counts === undefined) {
      counts = zeroCounts();
      this.#counts.set(key, counts);
    }
    return counts;
  }
}

function zeroCounts(): LoadCounts {
  return {
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    attempts: 0,
    longestRefusal: 0,
    refusalTime: 0,
    refusals: 0,
  };
}

function notSent(): AttemptOutcome {
  return {
    kind: "failed",
    mayHaveBeenSent: false,
    isConnectionRefused: true,
    cause: "refused",
  };
}

function nameOf(vm: number, attempt: number | string): string {
  return `${vm}/${attempt}`;
}
