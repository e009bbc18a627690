/**
 * One backend server with this VM's own observations of it: load, latency,
 * refusals and failures. Routing goes by outcomes of requests; health checks
 * would cost a server a slot and may be wrong.
 *
 * @module
 */
import type { BackendServer, ReportedLoad } from "./backend_server.ts";
import { StatedRate } from "./stated_rate.ts";

/** Weight of the newest sample in moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Time for which a reported load counts in full, in milliseconds; others'
 * requests last about as long. */
const LOAD_LIFETIME = 300;
/** Time for which a load that a server stated to another VM says something, in
 * milliseconds: it comes by way of the term holder, half a second each way. */
const STATED_LIFETIME = 2_000;
/** First pause after failures in a row, in milliseconds; doubles with each. */
const FIRST_PAUSE = 300;
/** Longest such pause: a server that recovers is tried again within it. */
const LONGEST_PAUSE = 3_000;
/** Failures in a row before a server is paused; one may be an accident. */
const FAILURES_TO_PAUSE = 2;
/** Lowest assumed share of accepted requests, so that costs stay finite. */
const LOWEST_ACCEPTANCE = 0.05;
/** How much longer than usual an answer may take before its server counts as
 * silent, and the shortest such time in milliseconds. */
const SILENCE_FACTOR = 4;
const SHORTEST_SILENCE = 250;

/** Load that a server has stated to some VM. */
export interface StatedLoad {
  /** Requests that it had. */
  requests: number;
  /** Milliseconds since. */
  age: number;
}

/** Answer times that some VM has measured of a server that answered it. */
export interface LatencySamples {
  /** Mean, in milliseconds. */
  mean: number;
  /** Answers measured; 0 where all of them had waited there first. */
  count: number;
  /** The load that it stated with the last answer, if it tells it. */
  load?: StatedLoad;
}

/**
 * See the module's comment. All of it belongs to one run of the server: another
 * run gets a tracked server of its own, and an outcome of an attempt that this
 * one was not told of is one of the older run and counts for nothing.
 */
export class TrackedServer {
  /** When it was first seen draining, or null. */
  drainingSince: number | null = null;
  /** Since when its availability zone is evacuated, or null. */
  evacuatedSince: number | null = null;
  /** Until when it is cold by its own word. */
  #coldUntil = -Infinity;
  /** When it may have become cold without a word of it yet. */
  #maybeColdAt = -Infinity;
  /** Whether nothing listened at its address when it was last tried. */
  #isGone = false;
  /** Requests of this VM that it has. */
  inFlight = 0;
  /** When it last refused a request, or answered it with a failure. */
  refusedAt = -Infinity;
  #latency: number | null = null;
  /** Sum and number of own samples since they were taken last. */
  #sampleSum = 0;
  #sampleCount = 0;
  #hasAnswered = false;
  /** When some VM is known to have had a word of it. */
  aliveAt = -Infinity;
  #acceptance = 1;
  #failures = 0;
  #pausedUntil = 0;
  #othersLoad = 0;
  #loadAt = -Infinity;
  /** Requests that it had when it last stated its load to any VM, and when. */
  #statedRequests = 0;
  #statedAt = -Infinity;
  #lastAnswerAt = -Infinity;
  readonly #startedAt = new Map<number, number>();
  /** The rate limit that it states. */
  readonly rate = StatedRate.create();

  private constructor(public entry: BackendServer) {}

  /** A server of which nothing is known but its entry. */
  static create(entry: BackendServer): TrackedServer {
    return new TrackedServer(entry);
  }

  get id(): string {
    return this.entry.id;
  }

  /**
   * Moving average of its answer times in milliseconds while no request waited
   * there, or null: what the server itself needs, not its queue.
   */
  get latency(): number | null {
    return this.#latency;
  }

  /** Takes a newer entry of the same run. */
  update(entry: BackendServer, now: number): void {
    this.entry = entry;
    if (entry.isDraining) this.drainingSince ??= now;
    if (entry.warmUp > 0) this.#coldUntil = now + entry.warmUp;
  }

  /** Whether it is about to leave, or gets nothing since its zone is evacuated. */
  get isLeaving(): boolean {
    return this.entry.isDraining || this.evacuatedSince !== null;
  }

  /** Its zone is evacuated, or no longer; it may have become cold meanwhile. */
  evacuate(isEvacuated: boolean, now: number): void {
    if (isEvacuated) {
      this.evacuatedSince ??= now;
    } else if (this.evacuatedSince !== null) {
      this.evacuatedSince = null;
      this.#maybeColdAt = now;
    }
  }

  /** Whether it bears few requests: by its own word, or since it may have started
   * anew, which its entry tells late; a cold one is so for `duration` ms. */
  isCold(now: number, duration: number): boolean {
    return this.#isGone || now < this.#coldUntil ||
      now < this.#maybeColdAt + duration;
  }

  /** Whether it is cold by its own word. */
  isWarming(now: number): boolean {
    return now < this.#coldUntil;
  }

  /** Nothing listened at its address. */
  gone(): void {
    this.#isGone = true;
  }

  /** A request was sent to it. */
  started(attempt: number, now: number): void {
    this.inFlight += 1;
    this.#startedAt.set(attempt, now);
  }

  /** Whether it has a request that was sent to this run of it. */
  has(attempt: number): boolean {
    return this.#startedAt.has(attempt);
  }

  /** A request left it without an outcome that says something of it. */
  cancelled(attempt: number): void {
    this.#end(attempt);
  }

  /** It answered a request that it had run. */
  answered(attempt: number, now: number, load: ReportedLoad | null): void {
    const startedAt = this.#end(attempt);
    if (startedAt === null) return;
    this.#heard(now, load);
    this.#failures = 0;
    this.#acceptance = mix(this.#acceptance, 1);
    if (load !== null && load.waiting > 0 && this.#latency !== null) return;
    const sample = now - startedAt;
    this.#sampleSum += sample;
    this.#sampleCount += 1;
    this.#measure({ mean: sample, count: 1 });
  }

  /** Takes in what another VM has measured of its answers. */
  observe(samples: LatencySamples, now: number): void {
    this.aliveAt = now;
    if (samples.load !== undefined) this.hearLoad(samples.load, now);
    if (samples.count > 0) this.#measure(samples);
  }

  /** Some VM was told its load. */
  hearLoad({ requests, age }: StatedLoad, now: number): void {
    if (now - age <= this.#statedAt) return;
    this.#statedRequests = requests;
    this.#statedAt = now - age;
  }

  /** The load that it last stated to any VM; null when that was long ago. */
  statedLoad(now: number): StatedLoad | null {
    const age = now - this.#statedAt;
    if (age > STATED_LIFETIME) return null;
    return { requests: this.#statedRequests, age };
  }

  #measure({ mean, count }: LatencySamples): void {
    const weight = 1 - (1 - SAMPLE_WEIGHT) ** count;
    this.#latency = this.#latency === null
      ? mean
      : this.#latency + weight * (mean - this.#latency);
  }

  /** This VM's own samples since this was asked last; null without an answer. */
  takeSamples(now: number): LatencySamples | null {
    if (!this.#hasAnswered) return null;
    this.#hasAnswered = false;
    const count = this.#sampleCount;
    const mean = count === 0 ? 0 : this.#sampleSum / count;
    this.#sampleSum = 0;
    this.#sampleCount = 0;
    // What it stated to others comes from them.
    const isOwn = this.#statedAt === this.#loadAt;
    const load = isOwn ? this.statedLoad(now) : null;
    return load === null ? { mean, count } : { mean, count, load };
  }

  /** It refused a request, or answered it with a failure. */
  refused(attempt: number, now: number, load: ReportedLoad | null): void {
    if (this.#end(attempt) === null) return;
    this.#heard(now, load);
    this.refusedAt = now;
    this.#acceptance = mix(this.#acceptance, 0);
  }

  /** A request to it failed: no answer, or one that cannot be used. */
  failed(attempt: number, now: number): void {
    if (this.#end(attempt) === null) return;
    this.#acceptance = mix(this.#acceptance, 0);
    this.#failures += 1;
    if (this.#failures < FAILURES_TO_PAUSE) return;
    const doublings = this.#failures - FAILURES_TO_PAUSE;
    this.#pausedUntil = now +
      Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** doublings);
  }

  /** Whether it should be spared after failures. */
  isPaused(now: number): boolean {
    return now < this.#pausedUntil;
  }

  /**
   * Whether a request has waited for much longer than `usualLatency` while
   * nothing else came from the server: it is dark, frozen or very slow.
   */
  isSilent(now: number, usualLatency: number): boolean {
    const limit = Math.max(SHORTEST_SILENCE, usualLatency * SILENCE_FACTOR);
    for (const startedAt of this.#startedAt.values()) {
      return now - startedAt > limit && this.#lastAnswerAt < startedAt;
    }
    return false;
  }

  /** Whether it has stated its load within the time that such a word holds. */
  isLoadKnown(now: number): boolean {
    return now - this.#loadAt <= LOAD_LIFETIME;
  }

  /** Requests that it probably has, of this VM and of others. */
  load(now: number): number {
    const age = Math.max(0, now - this.#loadAt);
    const others = this.#othersLoad * Math.exp(-age / LOAD_LIFETIME);
    return Math.max(this.inFlight + others, this.#backlog(now));
  }

  /** Requests that it still has of those that it stated to another VM, if it has
   * worked on them since and all VMs have left it alone, as they do a full one. */
  #backlog(now: number): number {
    const age = now - this.#statedAt;
    const isOwn = this.#statedAt <= this.#loadAt;
    if (isOwn || age > STATED_LIFETIME || this.#latency === null) return 0;
    return this.#statedRequests - age * this.entry.slots / this.#latency;
  }

  /**
   * Expected time to an answer in milliseconds for one more request, longer for
   * a server that refuses a share of them.
   */
  cost(now: number, usualLatency: number): number {
    const latency = this.#latency ?? usualLatency;
    const pressure = Math.max(1, (this.load(now) + 1) / this.entry.slots);
    return latency * pressure / Math.max(LOWEST_ACCEPTANCE, this.#acceptance);
  }

  #heard(now: number, load: ReportedLoad | null): void {
    this.#lastAnswerAt = now;
    this.aliveAt = now;
    if (this.#isGone) this.#maybeColdAt = now;
    this.#isGone = false;
    this.#hasAnswered = true;
    if (load === null) return;
    this.#othersLoad = Math.max(
      0,
      load.running + load.waiting - this.inFlight,
    );
    this.#loadAt = now;
    this.#statedRequests = load.running + load.waiting;
    this.#statedAt = now;
  }

  /** When an attempt that has ended began; null when it was not begun here. */
  #end(attempt: number): number | null {
    const startedAt = this.#startedAt.get(attempt);
    if (startedAt === undefined) return null;
    this.#startedAt.delete(attempt);
    this.inFlight -= 1;
    return startedAt;
  }
}

function mix(average: number, sample: number): number {
  return average + SAMPLE_WEIGHT * (sample - average);
}
