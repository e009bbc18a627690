/**
 * Requests under virtual time: callers that come back once after a failure,
 * and servers with slots, a short queue and resets when both are full.
 *
 * @module
 */
import type {
  AttemptOutcome,
  AttemptStart,
  Refusal,
  RequestArrival,
} from "../../src/core/dispatch/index.ts";
import type { Configuration } from "../../src/core/catalog/index.ts";
import { fingerprintOf } from "../support/fingerprint.ts";
import type { Timeline } from "./timeline.ts";

/** One way between a caller and a VM, and between a VM and a server, in ms. */
const CALLER_HOP = 8;
const SERVER_HOP = 1;
/** Spread of the logarithm of the work: its standard deviation is 0.8 of the mean. */
const WORK_SIGMA = 0.7;
/** Time after which a VM that has forwarded an answer with a limit must apply it. */
const LIMIT_KNOWN_AFTER = 500;
/** Longest time that callers stay away when asked to, as a share of what is left. */
const LONGEST_PAUSE_SHARE = 1 / 3;

/** Requests of a service, and its servers. */
export interface LoadOptions {
  /** Whether the service is divided by key; it is if left out. */
  isKeyed?: boolean;
  /** When requests come, in milliseconds, and how many a second over all VMs. */
  from: number;
  until: number;
  rate: number;
  /** The key of a request, by a number in [0, 1) twice. */
  keyOf(draw: () => number, now: number): number;
  /** Mean work of a request at a server of speed 1, in milliseconds. */
  work: number;
  /** Speeds of the servers, in turn. */
  speeds: readonly number[];
  slots: number;
  queue: number;
  /** Time within which an answer is wanted, and after which none is, in ms. */
  target: number;
  timeout: number;
  /** Whether requests may run more than once; they may if left out. */
  isIdempotent?: boolean;
  /** Share of the requests that are the same one, of one caller; none if left out. */
  popularShare?: number;
  /** How servers begin that start during the run; they bear full load at once if left
   * out. */
  warmUp?: ColdStart;
  /** A request that ends each server that begins to run it; none if left out. */
  ending?: EndingRequest;
  /** Servers that state a rate limit; none if left out. */
  rateLimit?: StatedRateLimit;
}

/** A rate limit that servers state with their answers. Times are milliseconds. */
export interface StatedRateLimit {
  from: number;
  until: number;
  requestsPerSecond: number;
  /** Number of servers that state it. */
  servers: number;
}

/** A request that reached a server while the server stated a limit. */
export interface LimitedArrival {
  server: string;
  at: number;
  /** Whether its VM had forwarded an answer with the limit at least
   * {@linkcode LIMIT_KNOWN_AFTER} before. */
  isTold: boolean;
}

/** How a server begins. */
export interface ColdStart {
  /** Time for which it is cold, in milliseconds. */
  duration: number;
  requestsPerSecond: number;
  /** Requests within one second that end it while it is cold. */
  most: number;
}

/** A request that its caller sends again and again, to any VM, the same each time.
 * Times are milliseconds. */
export interface EndingRequest {
  from: number;
  until: number;
  /** Between two of them, whatever became of the last one. */
  pause: number;
  key: number;
  /** How long a server works on it before it ends. */
  work: number;
  /** Callers that send it in the same moment; one if left out. */
  copies?: number;
}

/** How requests for a key ended, by the first attempt's caller. */
export interface LoadCounts {
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Attempts that callers made. */
  attempts: number;
  /** Longest time after which an attempt was refused, in milliseconds. */
  longestRefusal: number;
  /** Sum of the times that refused attempts were held, in milliseconds. */
  refusalTime: number;
  refusals: number;
}

/** What a load does to the processes around it. */
export interface LoadPeers {
  /** VMs that take requests now, by index. */
  vms(): number[];
  arrive(vm: number, arrival: RequestArrival): void;
  /** Whether a VM runs now. */
  isAwake(vm: number): boolean;
  end(vm: number, attempt: number, outcome: AttemptOutcome): void;
  /** Whether the server named holds a key now; null when it is not there. */
  holds(server: string, address: string, key: number): boolean | null;
  /** Whether the server named is the one that is there. */
  isThere(server: string, address: string): boolean;
  /** Whether a server has just started. */
  isCold(server: string): boolean;
  /** A request has ended the server that ran it. */
  endServer(address: string): void;
  /** Whether a VM and a server are in the same availability zone. */
  isNear(vm: number, server: string): boolean;
}

/** A caller, over all its attempts. */
interface Caller {
  key: number;
  /** Path of its request; each caller has another one. */
  target: string;
  startedAt: number;
  attempts: number;
  /** Whether it ends its servers. */
  isEnding: boolean;
}

interface Exchange {
  caller: Caller;
  vm: number;
  startedAt: number;
  /** Whether it came to a VM that did not run: it cannot know for how long its
   * request was on the way. */
  isHeldUp: boolean;
}

interface Work {
  vm: number;
  server: string;
  caller: Caller;
  attempt: number;
  deadline: number;
  address: string;
  isRunning: boolean;
  isEnded: boolean;
}

/** Slots and queue of one server. */
class Slots {
  running = 0;
  readonly waiting: Work[] = [];
  constructor(readonly speed: number) {}
}

/** See the module's comment. */
export class RequestLoad {
  readonly #exchanges = new Map<number, Exchange>();
  readonly #works = new Map<string, Work>();
  readonly #servers = new Map<string, Slots>();
  readonly #counts = new Map<number, LoadCounts>();
  #exchangeCount = 0;
  #callerCount = 0;
  #serverCount = 0;
  /** Requests that a server's full queue reset, and that it did not hold. */
  resets = 0;
  misplaced = 0;
  arrivals = 0;
  /** Arrivals from another availability zone. */
  farArrivals = 0;
  /** Most requests that reached a cold server in a second, and servers that ended for
   * that. */
  mostAtCold = 0;
  coldEnds = 0;
  readonly #coldArrivals = new Map<string, number[]>();
  /** How each caller's request ended. */
  readonly ends: (Caller & { name: string; took: number })[] = [];
  /** Time beyond their callers' deadlines that servers were given, the longest. */
  longestOverrun = -Infinity;
  /** Requests that were held back, and when. */
  readonly heldBack: (Caller & { at: number })[] = [];
  /** Requests that reached servers while they stated a limit. */
  readonly limitedArrivals: LimitedArrival[] = [];
  /** When a VM first forwarded an answer with a limit, by VM and server. */
  readonly #limitToldAt = new Map<string, number>();
  /** When a server began to run the request that ends servers, which one, and for
   * which VM. */
  readonly endingRuns: { at: number; server: string; vm: number }[] = [];

  private constructor(
    private readonly options: LoadOptions,
    private readonly time: Timeline,
    private readonly draw: () => number,
    private readonly peers: LoadPeers,
  ) {}

  /** A load that begins at its time. */
  static create(
    options: LoadOptions,
    time: Timeline,
    draw: () => number,
    peers: LoadPeers,
  ): RequestLoad {
    const load = new RequestLoad(options, time, draw, peers);
    time.after(options.from, () => load.#ask());
    const { ending } = options;
    if (ending !== undefined) {
      time.after(ending.from, () => load.#askEnding(ending));
    }
    return load;
  }

  /** Routes for these requests. */
  static routes(
    service: string,
    { target, isIdempotent = true }: LoadOptions,
  ): Configuration["routes"] {
    return [{
      name: "r",
      host: "h",
      pathPrefix: "/",
      isIdempotent,
      destinations: [{ service, weight: 1 }],
      timeout: target * 1.5,
      targetLatency: target,
      maximumAttempts: 2,
      priority: 0,
    }];
  }

  /** How requests ended whose key passes `filter`. */
  counts(filter: (key: number) => boolean): LoadCounts {
    const sum = noCounts();
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

  /** A VM sends a request to a server. */
  send(vm: number, start: AttemptStart): void {
    const { attempt, remaining, server } = start;
    const { caller, isHeldUp } = this.#exchanges.get(start.exchange)!;
    const { now } = this.time;
    const end = caller.startedAt + this.options.timeout;
    const overrun = isHeldUp ? -Infinity : now + remaining - end;
    this.longestOverrun = Math.max(this.longestOverrun, overrun);
    const work: Work = {
      vm,
      server,
      caller,
      attempt,
      address: start.address,
      deadline: this.time.now + remaining,
      isRunning: false,
      isEnded: false,
    };
    this.#works.set(nameOf(vm, attempt), work);
    this.time.after(SERVER_HOP, () => this.#reach(start, work));
  }

  /** A VM gives an attempt up: its connection closes. */
  cancel(vm: number, attempt: number): void {
    const work = this.#works.get(nameOf(vm, attempt));
    if (work !== undefined) work.isEnded = true;
  }

  /** A VM passes a server's answer on. */
  deliver(exchange: number): void {
    const { caller } = this.#take(exchange);
    const took = this.time.now + CALLER_HOP - caller.startedAt;
    const name = took <= this.options.target ? "inTime" : "late";
    this.#of(caller)[name] += 1;
    this.ends.push({ ...caller, name, took });
  }

  /** A VM answers itself. */
  refuse({ exchange, status, retryAfter }: Refusal): void {
    const { caller, startedAt } = this.#take(exchange);
    const counts = this.#of(caller);
    const isHeldBack = status === 429;
    const isRefusal = status === 503 || isHeldBack;
    if (isHeldBack) this.heldBack.push({ ...caller, at: this.time.now });
    if (isRefusal) {
      const held = this.time.now - startedAt;
      counts.longestRefusal = Math.max(counts.longestRefusal, held);
      counts.refusalTime += held;
      counts.refusals += 1;
    }
    const end = caller.startedAt + this.options.timeout;
    const left = end - this.time.now;
    const pause = Math.min(retryAfter ?? 0, left * LONGEST_PAUSE_SHARE);
    if (caller.attempts < 2 && left > 2 * CALLER_HOP) {
      this.time.after(pause + CALLER_HOP, () => this.#attempt(caller));
      return;
    }
    const name = isRefusal ? "refused" : "failed";
    counts[name] += 1;
    const took = this.time.now - caller.startedAt;
    this.ends.push({ ...caller, name, took });
  }

  #ask(): void {
    const { rate, until, keyOf } = this.options;
    if (this.time.now >= until) return;
    const key = keyOf(this.draw, this.time.now);
    this.#callerCount += 1;
    const isPopular = this.draw() < (this.options.popularShare ?? 0);
    const target = isPopular ? "/popular" : `/${this.#callerCount}`;
    this.#attempt({
      key,
      target,
      startedAt: this.time.now,
      attempts: 0,
      isEnding: false,
    });
    const pause = -Math.log(1 - this.draw()) * 1_000 / rate;
    this.time.after(pause, () => this.#ask());
  }

  #askEnding(ending: EndingRequest): void {
    if (this.time.now >= ending.until) return;
    for (let copy = 0; copy < (ending.copies ?? 1); copy++) {
      this.#attempt({
        key: ending.key,
        target: "/ends-its-server",
        startedAt: this.time.now,
        attempts: 0,
        isEnding: true,
      });
    }
    this.time.after(ending.pause, () => this.#askEnding(ending));
  }

  #attempt(caller: Caller): void {
    caller.attempts += 1;
    this.#of(caller).attempts += 1;
    const vms = this.peers.vms();
    const vm = vms[Math.floor(this.draw() * vms.length)];
    if (vm === undefined) {
      // Nobody takes its connection.
      this.#of(caller).failed += 1;
      const took = this.time.now - caller.startedAt;
      this.ends.push({ ...caller, name: "failed", took });
      return;
    }
    this.time.after(CALLER_HOP, () => {
      this.#exchangeCount += 1;
      const exchange = this.#exchangeCount;
      const { now } = this.time;
      const startedAt = now;
      const isHeldUp = !this.peers.isAwake(vm);
      this.#exchanges.set(exchange, { caller, vm, startedAt, isHeldUp });
      this.peers.arrive(vm, {
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

  #reach({ server, address }: AttemptStart, work: Work): void {
    if (work.isEnded) return;
    const isHeld = this.peers.holds(server, address, work.caller.key);
    if (isHeld === null) return this.#end(work, notSent());
    this.arrivals += 1;
    this.#noteLimited(work);
    if (!this.peers.isNear(work.vm, server)) this.farArrivals += 1;
    const slots = this.#slots(server);
    const isMeant = this.peers.isThere(server, address);
    if (!isMeant || (!isHeld && (this.options.isKeyed ?? true))) {
      this.misplaced += 1;
      return this.#end(work, this.#answer(server, 421, true));
    }
    if (this.#isOverloadedCold(server)) {
      this.coldEnds += 1;
      return this.peers.endServer(address);
    }
    if (slots.running < this.options.slots) {
      return this.#run(server, work);
    }
    const waiting = slots.waiting.filter((each) => !each.isEnded);
    if (waiting.length >= this.options.queue) {
      this.resets += 1;
      return this.#end(work, { kind: "failed", wasSent: true, cause: "reset" });
    }
    slots.waiting.push(work);
    this.time.after(Math.max(0, work.deadline - this.time.now), () => {
      if (work.isRunning || work.isEnded) return;
      this.#end(work, this.#answer(server, 503, true));
    });
  }

  /** Records a request that reaches a server that states a limit. */
  #noteLimited({ server, vm }: Work): void {
    if (this.#rateLimit(server) === null) return;
    const at = this.time.now;
    const toldAt = this.#limitToldAt.get(nameOf(vm, server)) ?? Infinity;
    const isTold = at - toldAt >= LIMIT_KNOWN_AFTER;
    this.limitedArrivals.push({ server, at, isTold });
  }

  /** The limit that a server states now, in requests per second, or null. */
  #rateLimit(server: string): number | null {
    const { rateLimit } = this.options;
    const { now } = this.time;
    if (rateLimit === undefined) return null;
    const { from, until, servers, requestsPerSecond } = rateLimit;
    if (now < from || now >= until) return null;
    const isLimited = [...this.#servers.keys()].indexOf(server) < servers;
    return isLimited ? requestsPerSecond : null;
  }

  /** Notes what reaches a cold server; whether it is more than that bears. */
  #isOverloadedCold(server: string): boolean {
    const { warmUp } = this.options;
    if (warmUp === undefined || !this.peers.isCold(server)) return false;
    const { now } = this.time;
    const recent = (this.#coldArrivals.get(server) ?? [])
      .filter((at) => now - at < 1_000);
    recent.push(now);
    this.#coldArrivals.set(server, recent);
    this.mostAtCold = Math.max(this.mostAtCold, recent.length);
    return recent.length > warmUp.most;
  }

  #run(server: string, work: Work): void {
    const slots = this.#slots(server);
    slots.running += 1;
    work.isRunning = true;
    if (work.caller.isEnding) return this.#runEnding(work);
    const mean = this.options.work / slots.speed;
    const took = Math.min(
      mean * this.#spread(),
      work.deadline - this.time.now,
    );
    this.time.after(Math.max(1, took), () => {
      if (this.#servers.get(server) !== slots) return;
      slots.running -= 1;
      const isOver = this.time.now >= work.deadline;
      if (!work.isEnded) {
        this.#end(work, this.#answer(server, isOver ? 504 : 200, false));
      }
      this.#next(server);
    });
  }

  #runEnding({ server, address, vm }: Work): void {
    this.endingRuns.push({ at: this.time.now, server, vm });
    this.time.after(this.options.ending!.work, () => {
      if (this.peers.isThere(server, address)) this.peers.endServer(address);
    });
  }

  /** A server has ended: all that it had is reset. */
  lose(server: string): void {
    this.#servers.delete(server);
    for (const work of [...this.#works.values()]) {
      if (work.server !== server || work.isEnded) continue;
      this.#end(work, { kind: "failed", wasSent: true, cause: "reset" });
    }
  }

  /** Work of one request as a share of the mean: log-normal. */
  #spread(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.draw()));
    const normal = radius * Math.cos(2 * Math.PI * this.draw());
    return Math.exp(WORK_SIGMA * normal - WORK_SIGMA ** 2 / 2);
  }

  #next(server: string): void {
    const slots = this.#slots(server);
    while (slots.running < this.options.slots) {
      const work = slots.waiting.shift();
      if (work === undefined) return;
      if (!work.isEnded) this.#run(server, work);
    }
  }

  #answer(server: string, status: number, isNotRun: boolean): AttemptOutcome {
    const { running, waiting } = this.#slots(server);
    const queued = waiting.filter((each) => !each.isEnded).length;
    const answer = {
      rateLimit: this.#rateLimit(server),
      kind: "answered" as const,
      status,
      isGenuine: !isNotRun,
      isNotRun,
      server,
      load: { running, waiting: queued, slots: this.options.slots },
    };
    return answer;
  }

  #end(work: Work, outcome: AttemptOutcome): void {
    work.isEnded = true;
    const name = nameOf(work.vm, work.server);
    const isLimited = this.#rateLimit(work.server) !== null;
    if (
      outcome.kind === "answered" && isLimited && !this.#limitToldAt.has(name)
    ) {
      this.#limitToldAt.set(name, this.time.now + 2 * SERVER_HOP);
    }
    this.#works.delete(nameOf(work.vm, work.attempt));
    this.time.after(
      SERVER_HOP,
      () => this.peers.end(work.vm, work.attempt, outcome),
    );
  }

  #slots(server: string): Slots {
    let slots = this.#servers.get(server);
    if (slots === undefined) {
      const { speeds } = this.options;
      slots = new Slots(speeds[this.#serverCount % speeds.length]);
      this.#serverCount += 1;
      this.#servers.set(server, slots);
    }
    return slots;
  }

  #take(exchange: number): Exchange {
    const known = this.#exchanges.get(exchange)!;
    this.#exchanges.delete(exchange);
    return known;
  }

  #of({ key }: Caller): LoadCounts {
    let counts = this.#counts.get(key);
    if (counts === undefined) {
      counts = noCounts();
      this.#counts.set(key, counts);
    }
    return counts;
  }
}

function noCounts(): LoadCounts {
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
  return { kind: "failed", wasSent: false, isRefused: true, cause: "refused" };
}

function nameOf(vm: number, attempt: number | string): string {
  return `${vm}/${attempt}`;
}
