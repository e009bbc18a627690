/**
 * A follower's side of the communication with the term holder.
 *
 * The follower regularly reports to the holder which keys its callers request,
 * and receives each change of the key assignments when it is made. When its
 * state appears out of date, it sends an urgent report and repeats it until it
 * is answered, because a connection can fail without an error. While the holder
 * does not answer, the follower reads the assignments from the store instead.
 *
 * @module
 */
import type {
  LeavingServer,
  RefusingServer,
  ServerRateLimit,
  ServerSamples,
} from "../fleet/index.ts";
import type {
  FollowerReport,
  PeerSend,
  PriorityDemand,
  SenderState,
} from "./peer_message.ts";

/**
 * Time between two reports, in milliseconds. It limits how soon the holder
 * detects a busy key and how old the registry data received from the holder can
 * be. Half of this interval brought no benefit for busy keys and took a tenth
 * of an idle VM's processor time.
 */
const REPORT_INTERVAL = 500;
/**
 * Initial time between two reports while this VM's state appears out of date,
 * in milliseconds. It doubles with each unanswered report, up to the regular
 * interval.
 */
const URGENT_REPORT_INTERVAL = 60;
/**
 * Minimum time between two reports while a service is above its capacity, in
 * milliseconds, and the same per VM, which limits the reports per second that
 * the holder receives. Admission is to follow a burst within 0.5 s.
 */
const BUSY_REPORT_INTERVAL = 200;
const BUSY_REPORT_INTERVAL_PER_VM = 1.5;
/** Time until the first of these reports, in milliseconds. */
const FIRST_BUSY_REPORT_DELAY = 60;
/** Number of VMs whose first reports a new holder can answer without delay. */
const IMMEDIATE_REPORTS = 20;
/**
 * Time over which the first reports to a new holder are spread, in milliseconds
 * per VM beyond {@linkcode IMMEDIATE_REPORTS}. The holder accepts connections
 * one at a time and answers each first report with all assignments.
 */
const REPORT_SPREAD_PER_VM = 3;
/**
 * Time without a message from the holder after which the assignments are
 * fetched from the store, in milliseconds.
 */
const HOLDER_TIMEOUT = 1_600;
/**
 * The same for a process that has never received a message from any holder.
 * After a failure of all VMs, the holder named in the store no longer runs, and
 * only the store has the last assignments.
 */
const FIRST_CONTACT_TIMEOUT = 60;
/**
 * Minimum time between two fetches from the store, in milliseconds. Reads are
 * billed.
 */
const FETCH_INTERVAL = 1_000;
/**
 * Maximum age of the store data received from the holder with which this VM
 * does not read the store itself, in milliseconds. The age consists of the
 * time since the last answered report, up to half a second, and the time since
 * the holder's last answered store call. If the holder cannot reach the store,
 * this VM reads it after this time, which leaves a second to apply a
 * configuration that must be in force within 2.5 s.
 */
const MAXIMUM_STORE_AGE = 1_500;
/**
 * Maximum number of keys per service in one report. More keys would not make
 * the sample more accurate.
 */
const MAXIMUM_SAMPLED_KEYS = 128;

/** What a report contains on servers. */
export interface ServerReports {
  /** Latencies measured since the last report. */
  latencies: readonly ServerSamples[];
  /** Rate limits that servers have reported since the last report. */
  rates: readonly ServerRateLimit[];
  /** Leaving servers that the holder may not know. */
  leaving: readonly LeavingServer[];
  /** Servers that refuse requests for their keys. */
  refusing: readonly RefusingServer[];
  /**
   * Availability zone of this VM if other VMs may connect to servers through
   * it.
   */
  relayZone?: string;
  /** Demand since the last report; none if left out. */
  demand?: readonly PriorityDemand[];
}

/** Nothing to report on servers. */
export const NO_SERVER_REPORTS: ServerReports = {
  latencies: [],
  rates: [],
  leaving: [],
  refusing: [],
};

/**
 * Effect that reads the assignments from the store. The result is the event
 * `assignments.read`.
 */
export interface AssignmentFetch {
  kind: "assignments.fetch";
}

/** An urgent report, which is sent before the regular interval has passed. */
interface UrgentReport {
  /** When it was first sent; Infinity before that. */
  sentAt: number;
  /** Minimum time since the previous report, in milliseconds. */
  interval: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class FollowerLink {
  #holder: string | null = null;
  /** When a holder's last message was received. */
  #receivedAt = -Infinity;
  /** Latest time at which the holder is known to have reached the store. */
  #storeContactAt = -Infinity;
  /** When this VM began to follow the holder. */
  #followingSince = -Infinity;
  #reportedAt = -Infinity;
  #fetchedAt = -Infinity;
  #urgentReport: UrgentReport | null = null;
  /**
   * When the next report is due because a service is above its capacity, until
   * when this counts, and the time between two reports; null otherwise.
   */
  #busyReport: { dueAt: number; until: number; interval: number } | null = null;
  /** Keys requested since the last report, by service. */
  readonly #samples = new Map<string, number[]>();

  private constructor(private readonly fitness: () => number) {}

  /**
   * Creates a link without a holder. `fitness` returns this VM's fitness to
   * hold the term.
   */
  static create(fitness: () => number): FollowerLink {
    return new FollowerLink(fitness);
  }

  /** Time since the last message from the holder, in milliseconds. */
  silence(now: number): number {
    return now - this.#receivedAt;
  }

  /** Address of the term holder, or null if there is none or it is this VM. */
  get holder(): string | null {
    return this.#holder;
  }

  /**
   * Follows a new term holder; `address` is null if it is this VM. All VMs
   * learn of a new holder at the same time, so each delays its first report by
   * the share `chance`, a random number in [0, 1), of the spread. All later
   * reports are spread with it.
   */
  follow(
    address: string | null,
    vmCount: number | null,
    chance: number,
    now: number,
  ): void {
    if (address === this.#holder) return;
    this.#holder = address;
    const delayedVms = Math.max(0, (vmCount ?? 0) - IMMEDIATE_REPORTS);
    const spread = Math.min(REPORT_INTERVAL, delayedVms * REPORT_SPREAD_PER_VM);
    this.#reportedAt = now - REPORT_INTERVAL + spread * chance;
    this.#busyReport = null;
    this.#followingSince = now;
  }

  /** Records a message from the holder. */
  received(now: number): void {
    this.#receivedAt = now;
  }

  /**
   * Makes the next report urgent because this VM's state appears out of date.
   */
  expedite(): void {
    this.#urgentReport ??= {
      sentAt: Infinity,
      interval: URGENT_REPORT_INTERVAL,
    };
  }

  /**
   * Makes reports more frequent for the time of a regular interval, because a
   * service is above its capacity or seems to be.
   */
  hasten(vmCount: number | null, now: number): void {
    const interval = Math.min(
      REPORT_INTERVAL,
      Math.max(
        BUSY_REPORT_INTERVAL,
        (vmCount ?? 0) * BUSY_REPORT_INTERVAL_PER_VM,
      ),
    );
    const dueAt = this.#busyReport?.dueAt ?? now + FIRST_BUSY_REPORT_DELAY;
    this.#busyReport = { dueAt, until: now + REPORT_INTERVAL, interval };
  }

  /**
   * Whether the store data received from the holder is recent enough to replace
   * this VM's own reads of the store.
   */
  isStoreStateCurrent(now: number): boolean {
    return this.#holder !== null &&
      now - this.#storeContactAt <= MAXIMUM_STORE_AGE;
  }

  /**
   * Records the holder's answer to the report sent at `sentAt`.
   * `storeContactAt` is the latest time at which the holder is known to have
   * reached the store.
   */
  reportAnswered(sentAt: number, storeContactAt: number): void {
    this.#storeContactAt = Math.max(this.#storeContactAt, storeContactAt);
    if (this.#urgentReport !== null && sentAt >= this.#urgentReport.sentAt) {
      this.#urgentReport = null;
    }
  }

  /** Whether a report to the holder is due. */
  isReportDue(now: number): boolean {
    const interval = this.#urgentReport?.interval ?? REPORT_INTERVAL;
    return now - this.#reportedAt >= interval ||
      now >= (this.#busyReport?.dueAt ?? Infinity);
  }

  /**
   * When an urgent report, one because of a busy service or the first report to
   * a new holder is due; Infinity if none is.
   */
  nextAt(): number {
    if (this.#holder === null) return Infinity;
    const isFirst = this.#reportedAt < this.#followingSince;
    const interval = this.#urgentReport?.interval ??
      (isFirst ? REPORT_INTERVAL : Infinity);
    return Math.min(
      this.#reportedAt + interval,
      this.#busyReport?.dueAt ?? Infinity,
    );
  }

  /** Records that a key was requested. */
  sampleKey(service: string, key: number): void {
    const keys = this.#samples.get(service) ?? [];
    if (keys.length < MAXIMUM_SAMPLED_KEYS) keys.push(key);
    this.#samples.set(service, keys);
  }

  /**
   * Returns the effects that are due. `position` is the registry position that
   * this VM has reached, or null, and `servers` what a report contains on
   * servers. `mayFetch` is true if assignments are needed and the store answers,
   * `hasHolderUpdates` while this VM receives store updates from the holder.
   */
  advance(
    now: number,
    senderState: SenderState,
    position: number | null,
    servers: ServerReports,
    mayFetch: boolean,
    hasHolderUpdates: boolean,
  ): (PeerSend | AssignmentFetch)[] {
    const effects: (PeerSend | AssignmentFetch)[] = [];
    if (this.#holder !== null && this.isReportDue(now)) {
      this.#recordReport(now);
      const message = {
        ...this.#createReport(senderState, position, servers, now),
        isTold: hasHolderUpdates,
      };
      effects.push({ kind: "peer.send", address: this.#holder, message });
    }
    const isFetchDue = now - this.#fetchedAt >= FETCH_INTERVAL;
    if (mayFetch && isFetchDue && this.#hasHolderTimedOut(now)) {
      this.#fetchedAt = now;
      effects.push({ kind: "assignments.fetch" });
    }
    return effects;
  }

  #recordReport(now: number): void {
    this.#reportedAt = now;
    const busy = this.#busyReport;
    if (busy !== null) {
      if (now > busy.until) this.#busyReport = null;
      else busy.dueAt = now + busy.interval;
    }
    const urgent = this.#urgentReport;
    if (urgent === null) return;
    if (urgent.sentAt === Infinity) urgent.sentAt = now;
    else urgent.interval = Math.min(REPORT_INTERVAL, urgent.interval * 2);
  }

  /** Whether the announced holder has sent nothing for too long. */
  #hasHolderTimedOut(now: number): boolean {
    const isAwaitingFirstMessage = this.#receivedAt < this.#followingSince;
    const since = isAwaitingFirstMessage
      ? this.#followingSince
      : this.#receivedAt;
    const timeout = this.#receivedAt === -Infinity
      ? FIRST_CONTACT_TIMEOUT
      : HOLDER_TIMEOUT;
    return since > -Infinity && now - since >= timeout;
  }

  #createReport(
    senderState: SenderState,
    position: number | null,
    { latencies, rates, leaving, refusing, relayZone, demand = [] }:
      ServerReports,
    now: number,
  ): FollowerReport {
    const samples = [...this.#samples]
      .map(([service, keys]) => ({ service, keys }));
    this.#samples.clear();
    const fitness = this.fitness();
    return {
      kind: "keys.asked",
      ...senderState,
      samples,
      latencies: [...latencies],
      position,
      sentAt: now,
      fitness,
      ...(rates.length > 0 ? { rates: [...rates] } : {}),
      ...(leaving.length > 0 ? { leaving: [...leaving] } : {}),
      ...(refusing.length > 0 ? { refusing: [...refusing] } : {}),
      ...(relayZone === undefined ? {} : { relayZone }),
      ...(demand.length > 0 ? { demand: [...demand] } : {}),
    };
  }
}
