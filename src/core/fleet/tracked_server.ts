/**
 * One backend server with this VM's observations of it: load, latency, refusals
 * and failures. Routing relies on the outcomes of requests rather than on
 * active health checks, which would occupy one of the server's slots and may be
 * wrong.
 *
 * @module
 */
import type { BackendServer } from "./backend_server.ts";
import { KnownPace } from "../pace/known_pace.ts";
import { ProcessStatements } from "./process_statements.ts";
import type { ReportedRateLimit } from "./reported_rate_limit.ts";
import type { ReportedLoad } from "./server_statement.ts";

/** Weight of the newest sample in exponential moving averages. */
const SAMPLE_WEIGHT = 0.2;
/**
 * Time constant with which the assumed load from other VMs decays after a load
 * report, in milliseconds; about the duration of a request. Also the time for
 * which a report counts as recent.
 */
const LOAD_DECAY_TIME = 300;
/**
 * Time for which a server's statement of free slots permits a request of this
 * VM, in milliseconds. Other VMs fill the slots by then.
 */
const FREE_SLOTS_LIFETIME = 100;
/**
 * Time for which a load report to another VM is used, in milliseconds. The term
 * holder relays such reports, which takes half a second in each direction.
 */
const LOAD_REPORT_LIFETIME = 2_000;
/**
 * Weight of the newest load report in the mean of the reported loads. It is
 * high enough that a few reports show that a server has become overloaded.
 */
const LOAD_SAMPLE_WEIGHT = 0.4;
/**
 * Initial pause after consecutive failures, in milliseconds. Each further
 * failure doubles it.
 */
const INITIAL_PAUSE = 300;
/**
 * Maximum of that pause, in milliseconds: a server that recovers is tried again
 * within this time.
 */
const MAXIMUM_PAUSE = 3_000;
/**
 * Consecutive failures before a server is paused; a single one may be by
 * chance.
 */
const FAILURES_TO_PAUSE = 2;
/**
 * Lower bound of the assumed share of accepted requests, so that costs stay
 * finite.
 */
const MINIMUM_ACCEPTANCE_RATE = 0.05;
/**
 * Time without a response after which a server counts as unresponsive: a
 * multiple of the mean latency, and the minimum in milliseconds.
 */
const UNRESPONSIVE_LATENCY_FACTOR = 4;
const MINIMUM_UNRESPONSIVE_TIME = 250;

/** Load that a server reported to some VM. */
export interface LoadReport {
  /** Number of requests that it ran or queued. */
  requests: number;
  /** Milliseconds since the report. */
  age: number;
}

/** Latency of a server that responded to a VM, as measured by that VM. */
export interface LatencySamples {
  /** Mean latency, in milliseconds. */
  mean: number;
  /**
   * Number of measured responses; 0 if all responses were refusals or were sent
   * while requests were queued.
   */
  count: number;
  /** The load that it reported with the last response, if any. */
  load?: LoadReport;
  /**
   * Number of requests that failed, or that it refused although it has free
   * slots; none if absent.
   */
  failures?: number;
}

/** Origin of the latest latency samples of a server. */
export interface LatencyOrigin {
  /** Peer address of the VM that measured them; null for this VM. */
  vm: string | null;
  /** Their mean, in milliseconds, and their number. */
  mean: number;
  count: number;
  /** When they were measured, or received from the other VM. */
  at: number;
}

/** An attempt in flight. */
interface AttemptTiming {
  /**
   * When it was started. The duration of stalls of this process is added, so
   * that they do not count as time without a response.
   */
  startedAt: number;
  /**
   * Whether this process stalled since then. The response may have been waiting
   * meanwhile, so its latency is unknown.
   */
  hasStalled: boolean;
  /** Bytes of the body of its request. */
  bodyBytes: number;
}

/**
 * State of one backend server; see the module's comment. An instance belongs to
 * one incarnation of the server; the next one gets a new instance. The outcome
 * of an attempt that was not started on this instance belongs to the previous
 * incarnation and is ignored.
 */
export class TrackedServer {
  /** When it was listed; -Infinity if it is not. */
  listedAt = -Infinity;
  /** Its pace as the term holder has stated it. */
  readonly pace = KnownPace.create();
  /** When it was first listed as draining, or null. */
  drainingSince: number | null = null;
  /** When its availability zone was evacuated, or null. */
  evacuatedSince: number | null = null;
  /** Until when it is cold according to its entry. */
  #coldUntil = -Infinity;
  /**
   * When it may have restarted and become cold, which its entry may not show
   * yet.
   */
  #mayBeColdSince = -Infinity;
  /** Whether the last connection to its address was refused. */
  #isConnectionRefused = false;
  /**
   * When this VM last learned that it is or may be cold; -Infinity if it has
   * not.
   */
  coldSince = -Infinity;
  /** Number of this VM's requests that it has not completed. */
  inFlight = 0;
  /** Bytes of the bodies of these requests. */
  bodyBytes = 0;
  /** When it last refused a request or responded with a failure. */
  refusedAt = -Infinity;
  #latency: number | null = null;
  #latencyOrigin: LatencyOrigin | null = null;
  /**
   * Sum and number of this VM's samples since the last {@linkcode takeSamples}.
   */
  #sampleSum = 0;
  #sampleCount = 0;
  /** Number of failures since then. */
  #failureCount = 0;
  #hasResponded = false;
  /**
   * Latest time at which some VM is known to have received a response from it.
   */
  lastSeenAt = -Infinity;
  #acceptanceRate = 1;
  #consecutiveFailures = 0;
  #pausedUntil = 0;
  /**
   * Number of requests of other VMs according to its latest load report to this
   * VM, and the time of that report.
   */
  #othersLoad = 0;
  #ownReportAt = -Infinity;
  /**
   * Number of requests in the latest load report to any VM, and the time of
   * that report.
   */
  #reportedRequests = 0;
  #reportedAt = -Infinity;
  /** Moving average of the number of requests in its load reports. */
  #meanReportedRequests: number | null = null;
  #lastResponseAt = -Infinity;
  /**
   * When it last stated free slots to this VM; -Infinity if it has not, or if a
   * request was sent to it since.
   */
  #freeSlotsAt = -Infinity;
  /** Attempts in flight, oldest first, by attempt number. */
  readonly #attempts = new Map<number, AttemptTiming>();

  private constructor(
    public entry: BackendServer,
    /** What its process has stated of itself. */
    readonly statements: ProcessStatements,
  ) {}

  /**
   * Creates a server without observations, whose process has made
   * `statements`.
   */
  static create(
    entry: BackendServer,
    statements = ProcessStatements.create(),
  ): TrackedServer {
    return new TrackedServer(entry, statements);
  }

  get id(): string {
    return this.entry.id;
  }

  /**
   * Moving average of its response times in milliseconds, or null if none is
   * known. Responses while requests were queued are excluded, so that it
   * measures the server's processing time without its queueing delay, and so
   * are those that were awaited while this process stalled.
   */
  get latency(): number | null {
    return this.#latency;
  }

  /** Origin of the latest samples in {@linkcode latency}; null without any. */
  get latencyOrigin(): LatencyOrigin | null {
    return this.#latencyOrigin;
  }

  /** Applies a newer entry of the same incarnation. */
  update(entry: BackendServer, now: number): void {
    this.entry = entry;
    if (entry.isDraining) this.drainingSince ??= now;
    if (entry.warmUp === 0) return;
    if (!this.isWarming(now)) this.coldSince = now;
    this.#coldUntil = now + entry.warmUp;
  }

  /** The rate limit that it reports. */
  get rateLimit(): ReportedRateLimit {
    return this.statements.rateLimit;
  }

  /** Whether it has asked this VM to send nothing for now. */
  isBackedOff(now: number): boolean {
    return now < this.statements.backoffUntil;
  }

  /** Whether it is shutting down by its entry or by its own statement. */
  get isShuttingDown(): boolean {
    return this.entry.isDraining || this.statements.leavingSince !== null;
  }

  /** Whether it is shutting down or its zone is evacuated. */
  get isLeaving(): boolean {
    return this.isShuttingDown || this.evacuatedSince !== null;
  }

  /**
   * Sets whether its zone is evacuated. Once the zone is restored it may be
   * cold, since it may have restarted in the meantime.
   */
  setEvacuated(isEvacuated: boolean, now: number): void {
    if (isEvacuated) {
      this.evacuatedSince ??= now;
    } else if (this.evacuatedSince !== null) {
      this.evacuatedSince = null;
      this.mayHaveRestarted(now);
    }
  }

  /** Records that it may have restarted recently, and may be cold. */
  mayHaveRestarted(now: number): void {
    this.#mayBeColdSince = now;
    this.coldSince = now;
  }

  /**
   * Whether it may be cold, that is, able to handle only few requests: it is
   * warming up according to its entry, or may have restarted recently, which
   * its entry shows late. A restarted server is cold for `duration`
   * milliseconds.
   */
  isCold(now: number, duration: number): boolean {
    return this.#isConnectionRefused || now < this.#coldUntil ||
      now < this.#mayBeColdSince + duration;
  }

  /** Whether it is warming up according to its entry. */
  isWarming(now: number): boolean {
    return now < this.#coldUntil;
  }

  /** Records that a connection to its address was refused. */
  connectionRefused(): void {
    this.#isConnectionRefused = true;
  }

  /** Records that a request with a body of `bodyBytes` was sent to it. */
  started(attempt: number, now: number, bodyBytes = 0): void {
    this.inFlight += 1;
    this.bodyBytes += bodyBytes;
    this.#freeSlotsAt = -Infinity;
    this.#attempts.set(attempt, {
      startedAt: now,
      hasStalled: false,
      bodyBytes,
    });
  }

  /** Whether an attempt at this incarnation is in flight. */
  has(attempt: number): boolean {
    return this.#attempts.has(attempt);
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now.
   */
  processStalled(duration: number): void {
    for (const attempt of this.#attempts.values()) {
      attempt.startedAt += duration;
      attempt.hasStalled = true;
    }
  }

  /**
   * Records the end of an attempt that says nothing about the server, such as a
   * cancelled one.
   */
  cancelled(attempt: number): void {
    this.#endAttempt(attempt);
  }

  /** Records the response to a request that it ran. */
  answered(attempt: number, now: number, load: ReportedLoad | null): void {
    const timing = this.#endAttempt(attempt);
    if (timing === null) return;
    this.#recordResponse(now, load);
    this.#consecutiveFailures = 0;
    this.#acceptanceRate = movingAverage(this.#acceptanceRate, 1);
    if (timing.hasStalled) return;
    if (load !== null && load.waiting > 0 && this.#latency !== null) return;
    const sample = now - timing.startedAt;
    this.#sampleSum += sample;
    this.#sampleCount += 1;
    this.#updateLatency({ vm: null, mean: sample, count: 1, at: now });
  }

  /** Adds latency samples that the VM at `vm` measured. */
  addPeerSamples(samples: LatencySamples, vm: string, now: number): void {
    this.lastSeenAt = now;
    const { mean, count, load } = samples;
    if (load !== undefined) this.applyLoadReport(load, now);
    if (count > 0) this.#updateLatency({ vm, mean, count, at: now });
  }

  /**
   * Applies a load report that any VM received, unless it is older than the
   * latest.
   */
  applyLoadReport({ requests, age }: LoadReport, now: number): void {
    if (now - age <= this.#reportedAt) return;
    this.#recordLoadReport(requests, now - age);
  }

  #recordLoadReport(requests: number, at: number): void {
    this.#reportedRequests = requests;
    this.#reportedAt = at;
    this.#meanReportedRequests = movingAverage(
      this.#meanReportedRequests ?? requests,
      requests,
      LOAD_SAMPLE_WEIGHT,
    );
  }

  /** The latest load report that any VM received; null if it has expired. */
  latestLoadReport(now: number): LoadReport | null {
    const age = now - this.#reportedAt;
    if (age > LOAD_REPORT_LIFETIME) return null;
    return { requests: this.#reportedRequests, age };
  }

  /**
   * Whether its load reports, to any VM, show that it has free slots on average
   * now. False if it reports no load, or has not reported it recently.
   */
  hasFreeSlots(now: number): boolean {
    if (now - this.#reportedAt > LOAD_DECAY_TIME) return false;
    return (this.#meanReportedRequests ?? Infinity) < this.entry.slots;
  }

  #updateLatency(origin: LatencyOrigin): void {
    this.#latencyOrigin = origin;
    const { mean, count } = origin;
    const weight = 1 - (1 - SAMPLE_WEIGHT) ** count;
    this.#latency = this.#latency === null
      ? mean
      : this.#latency + weight * (mean - this.#latency);
  }

  /**
   * Whether the term holder needs this VM's samples soon: requests have failed,
   * or it controls the pace.
   */
  hasUrgentSamples(now: number): boolean {
    return this.#failureCount > 0 || this.pace.at(now) < 1;
  }

  /** Returns this VM's samples since the last call; null without a response. */
  takeSamples(now: number): LatencySamples | null {
    const failures = this.#failureCount;
    if (!this.#hasResponded && failures === 0) return null;
    this.#hasResponded = false;
    this.#failureCount = 0;
    const count = this.#sampleCount;
    const mean = count === 0 ? 0 : this.#sampleSum / count;
    this.#sampleSum = 0;
    this.#sampleCount = 0;
    // Another VM that received the latest load report sends it itself.
    const isOwnLatest = this.#reportedAt === this.#ownReportAt;
    const load = isOwnLatest ? this.latestLoadReport(now) : null;
    return {
      mean,
      count,
      ...(load === null ? {} : { load }),
      ...(failures === 0 ? {} : { failures }),
    };
  }

  /**
   * Records that it refused a request or responded with a failure. A refusal
   * with a backoff does not lower its acceptance rate: it gets no requests until
   * the backoff ends, and its usual share afterwards.
   */
  refused(
    attempt: number,
    now: number,
    load: ReportedLoad | null,
    hasBackoff = false,
  ): void {
    if (this.#endAttempt(attempt) === null) return;
    this.#recordResponse(now, load);
    this.refusedAt = now;
    if (hasBackoff) return;
    if (load !== null && load.running < load.slots) this.#failureCount += 1;
    this.#acceptanceRate = movingAverage(this.#acceptanceRate, 0);
  }

  /** Records a failed request: no response, or an invalid one. */
  failed(attempt: number, now: number): void {
    if (this.#endAttempt(attempt) === null) return;
    this.#failureCount += 1;
    this.#acceptanceRate = movingAverage(this.#acceptanceRate, 0);
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures < FAILURES_TO_PAUSE) return;
    const doublings = this.#consecutiveFailures - FAILURES_TO_PAUSE;
    this.#pausedUntil = now +
      Math.min(MAXIMUM_PAUSE, INITIAL_PAUSE * 2 ** doublings);
  }

  /** Resets its failures, which were not those of the server. */
  clearFailures(): void {
    this.#consecutiveFailures = 0;
    this.#pausedUntil = 0;
    this.#acceptanceRate = 1;
    this.#isConnectionRefused = false;
  }

  /**
   * Whether it should receive no requests for now after consecutive failures.
   */
  isPaused(now: number): boolean {
    return now < this.#pausedUntil;
  }

  /**
   * Whether the oldest request in flight was sent much longer than
   * `meanLatency` ago and the server has responded to no request since then:
   * the server is unreachable, hung or very slow.
   */
  isUnresponsive(now: number, meanLatency: number): boolean {
    const limit = Math.max(
      MINIMUM_UNRESPONSIVE_TIME,
      meanLatency * UNRESPONSIVE_LATENCY_FACTOR,
    );
    for (const { startedAt } of this.#attempts.values()) {
      return now - startedAt > limit && this.#lastResponseAt < startedAt;
    }
    return false;
  }

  /**
   * Whether it has just stated free slots to this VM and no request of this VM
   * was sent to it since. Each statement counts once.
   */
  takeFreeSlotStatement(now: number): boolean {
    const isCurrent = now - this.#freeSlotsAt <= FREE_SLOTS_LIFETIME;
    const isUsable = isCurrent && !this.isLeaving && !this.isPaused(now) &&
      !this.isBackedOff(now);
    if (isUsable) this.#freeSlotsAt = -Infinity;
    return isUsable;
  }

  /** Whether it has reported its load to this VM recently. */
  isLoadKnown(now: number): boolean {
    return now - this.#ownReportAt <= LOAD_DECAY_TIME;
  }

  /**
   * Returns the estimated number of requests from all VMs that it runs or has
   * queued.
   */
  load(now: number): number {
    const age = Math.max(0, now - this.#ownReportAt);
    const others = this.#othersLoad * Math.exp(-age / LOAD_DECAY_TIME);
    return Math.max(this.inFlight + others, this.#remainingReportedLoad(now));
  }

  /**
   * Estimates how many requests remain of those in its latest load report to
   * another VM. It assumes that the server has processed requests since then
   * and received no new ones, as VMs avoid a full server.
   */
  #remainingReportedLoad(now: number): number {
    const age = now - this.#reportedAt;
    const isOwn = this.#reportedAt <= this.#ownReportAt;
    if (isOwn || age > LOAD_REPORT_LIFETIME || this.#latency === null) return 0;
    return this.#reportedRequests - age * this.entry.slots / this.#latency;
  }

  /**
   * Returns the expected response time of one more request in milliseconds,
   * increased if the server refuses or fails a share of its requests.
   */
  cost(now: number, meanLatency: number): number {
    const latency = this.#latency ?? meanLatency;
    const queueingFactor = Math.max(1, (this.load(now) + 1) / this.entry.slots);
    return latency * queueingFactor /
      Math.max(MINIMUM_ACCEPTANCE_RATE, this.#acceptanceRate);
  }

  #recordResponse(now: number, load: ReportedLoad | null): void {
    this.#lastResponseAt = now;
    this.lastSeenAt = now;
    if (this.#isConnectionRefused) this.mayHaveRestarted(now);
    this.#isConnectionRefused = false;
    this.#hasResponded = true;
    if (load === null) return;
    this.#othersLoad = Math.max(
      0,
      load.running + load.waiting - this.inFlight,
    );
    const hasFreeSlots = load.running + load.waiting < load.slots;
    this.#freeSlotsAt = hasFreeSlots ? now : -Infinity;
    this.#ownReportAt = now;
    this.#recordLoadReport(load.running + load.waiting, now);
  }

  /** Ends an attempt. Returns null if it was not started on this instance. */
  #endAttempt(attempt: number): AttemptTiming | null {
    const timing = this.#attempts.get(attempt);
    if (timing === undefined) return null;
    this.#attempts.delete(attempt);
    this.inFlight -= 1;
    this.bodyBytes -= timing.bodyBytes;
    return timing;
  }
}

function movingAverage(
  average: number,
  sample: number,
  weight = SAMPLE_WEIGHT,
): number {
  return average + weight * (sample - average);
}
