/**
 * The quarantine: refuses requests that repeatedly crash backend servers.
 *
 * A crash counts against each request that was in progress on the server, since
 * any of them may have caused it. A request that was in progress on three
 * server processes when they crashed has reached its crash limit: no further
 * copy is sent, and unless a copy in progress is answered it is quarantined.
 * All VMs then refuse it, whichever of them observed the crashes. A response to
 * a request clears the request: its past crashes no longer count. When a
 * request is quarantined, its crashes no longer count against the other
 * requests. A quarantined request is released for a trial after some time, so
 * that it is not refused forever after its service was fixed.
 *
 * ```ts
 * quarantine.recordCrash(fingerprint.complete, "h/path", "server-1#0", now);
 * if (quarantine.quarantinedRequest(fingerprint, now) !== null) refuse();
 * quarantine.clear(fingerprint, now); // a server answered the request
 * ```
 *
 * @module
 */
import { type Fingerprint, headOf } from "./fingerprint.ts";
import {
  type CrashRecord,
  createRequestCrashes,
  digestOf,
  expiresAt,
  hasReachedLimit,
  hasSameNames,
  isEvictedBefore,
  isNearLimit,
  isOnTrial,
  isRecentlyAnswered,
  isReplicated,
  MAXIMUM_PROCESSES,
  passedTrialName,
  quarantinedFrom,
  type QuarantinedRequest,
  quarantinedUntil,
  type RequestCrashes,
  toQuarantinedRequest,
  toRecord,
  union,
} from "./crash_record.ts";

/**
 * Maximum number of records. {@linkcode isEvictedBefore} defines which one is
 * evicted when there are more.
 */
const MAXIMUM_RECORDS = 4_096;
/** Minimum time between two checks of all records, in milliseconds. */
const CHECK_INTERVAL = 100;
/**
 * Maximum number of records that are replicated to all VMs, and of those in one
 * message to another VM.
 */
const MAXIMUM_SENT_RECORDS = 256;

/** A change of a request's state, for the log. */
export interface QuarantineChange {
  /**
   * Whether the request was quarantined (`held`), cleared by a response, or
   * released for a trial (`tried`).
   */
  kind: "held" | "cleared" | "tried";
  crashes: RequestCrashes;
}

/** See the module's comment. Times are milliseconds. */
export class Quarantine {
  /** Records by the request's complete fingerprint. */
  readonly #records = new Map<string, RequestCrashes>();
  /**
   * Complete fingerprints of the records by their heads. A request whose head
   * is missing here has no record, so its body need not be hashed to look it
   * up.
   */
  readonly #byHead = new Map<string, Set<string>>();
  #revision = 0;
  #ownRevision = 0;
  #persistentRevision = 0;
  #digest: number | null = 0;
  #checkedAt = -Infinity;

  private constructor(
    private readonly reportChange: (change: QuarantineChange) => void,
  ) {}

  /** Starts without records; passes changes for the log to `reportChange`. */
  static create(
    reportChange: (change: QuarantineChange) => void = () => {},
  ): Quarantine {
    return new Quarantine(reportChange);
  }

  /** Number of changes of records so far. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * {@linkcode revision} after the last change that this VM observed itself,
   * rather than received from another VM.
   */
  get ownRevision(): number {
    return this.#ownRevision;
  }

  /** Hash of the replicated records; equal on VMs with the same records. */
  get digest(): number {
    return this.#digest ??= digestOf(this.#replicated());
  }

  /**
   * Records that a server process crashed while it ran a request, which is
   * identified by its complete fingerprint. Returns whether this crash was not
   * known before.
   */
  recordCrash(
    request: string,
    target: string,
    processName: string,
    now: number,
  ): boolean {
    const crashes = this.#records.get(request) ??
      this.#add(createRequestCrashes(request, target, 0, now));
    const isKnown = crashes.runs.includes(processName) ||
      crashes.excused.includes(processName);
    if (isKnown) return false;
    this.#update(crashes, now, () => {
      crashes.lastCrashAt = now;
      const list = isRecentlyAnswered(crashes, now)
        ? crashes.excused
        : crashes.runs;
      list.push(processName);
    });
    this.#ownRevision = this.#revision;
    return true;
  }

  /** Number of crashes that count against a request. */
  crashCount(fingerprint: Fingerprint): number {
    return this.#find(fingerprint)?.runs.length ?? 0;
  }

  /**
   * Whether only one copy of a request may run at a time: servers have crashed
   * while they ran it, or it is on trial.
   */
  needsPermit(fingerprint: Fingerprint): boolean {
    const crashes = this.#find(fingerprint);
    if (crashes === undefined) return false;
    return crashes.runs.length > 0 || isOnTrial(crashes);
  }

  /**
   * Whether there is a record of a request: a server has crashed while it ran
   * the request, even if that crash no longer counts.
   */
  hasRecord(fingerprint: Fingerprint): boolean {
    return this.#find(fingerprint) !== undefined;
  }

  /**
   * Whether a request has reached its crash limit. It is quarantined after a
   * delay, unless it is answered before.
   */
  hasReachedLimit(fingerprint: Fingerprint): boolean {
    const crashes = this.#find(fingerprint);
    return crashes !== undefined && hasReachedLimit(crashes);
  }

  /**
   * Number of crashes that count against a request, by its complete
   * fingerprint.
   */
  crashCountOf(request: string): number {
    return this.#records.get(request)?.runs.length ?? 0;
  }

  /**
   * Returns the quarantined request with a fingerprint; null if the request is
   * not quarantined.
   */
  quarantinedRequest(
    fingerprint: Fingerprint,
    now: number,
  ): QuarantinedRequest | null {
    const crashes = this.#find(fingerprint);
    if (crashes === undefined || !hasReachedLimit(crashes)) return null;
    this.#advance(crashes, now);
    return crashes.isHeld ? toQuarantinedRequest(crashes, now) : null;
  }

  /**
   * Records that a server answered a request, so that its past crashes no
   * longer count.
   */
  clear(fingerprint: Fingerprint, now: number): void {
    const crashes = this.#find(fingerprint);
    if (crashes === undefined) return;
    crashes.answeredAt = now;
    const passedTrials = isOnTrial(crashes)
      ? [passedTrialName(crashes.round)]
      : [];
    const excused = [...crashes.runs, ...passedTrials];
    if (excused.length === 0) return;
    this.#excuse(crashes, excused, now);
    this.#ownRevision = this.#revision;
    this.reportChange({ kind: "cleared", crashes });
  }

  /** All quarantined requests. */
  quarantinedRequests(now: number): QuarantinedRequest[] {
    return [...this.#records.values()].filter((each) => each.isHeld)
      .map((crashes) => toQuarantinedRequest(crashes, now));
  }

  /**
   * Increases when a request gets near its crash limit, is quarantined, or is
   * no longer near its limit, which changes {@linkcode persistentRecords}.
   */
  get persistentRevision(): number {
    return this.#persistentRevision;
  }

  /**
   * Records of requests that are quarantined or near their crash limit. They
   * are stored persistently, so that the crashes still count after a failure of
   * all VMs.
   */
  persistentRecords(now: number): CrashRecord[] {
    return this.#replicated().filter((each) => each.isHeld || isNearLimit(each))
      .map((each) => toRecord(each, now));
  }

  /** Number of quarantined requests. */
  get quarantinedCount(): number {
    let count = 0;
    for (const { isHeld } of this.#records.values()) if (isHeld) count += 1;
    return count;
  }

  /**
   * Records that changed after `revision`, newest first, except those whose
   * current state the VM at `address` sent itself. At most
   * {@linkcode MAXIMUM_SENT_RECORDS}.
   */
  changesSince(
    revision: number,
    now: number,
    address: string | null = null,
  ): CrashRecord[] {
    const changed = [...this.#records.values()]
      .filter((each) => each.revision > revision)
      .filter(({ receivedFrom }) =>
        receivedFrom === null || receivedFrom !== address
      )
      .sort((a, b) => b.revision - a.revision)
      .slice(0, MAXIMUM_SENT_RECORDS);
    return changed.map((each) => toRecord(each, now));
  }

  /** Records that are replicated to all VMs. */
  replicatedRecords(now: number): CrashRecord[] {
    return this.#replicated().map((each) => toRecord(each, now));
  }

  /**
   * Replicated records and the newest records with a single crash, for a VM
   * that has just started. It then requests a permit for these requests, of
   * which only one copy may run at a time.
   */
  startupRecords(now: number): CrashRecord[] {
    const replicated = this.#replicated();
    const others = [...this.#records.values()]
      .filter((each) => each.runs.length > 0 && !isReplicated(each))
      .sort((a, b) => b.revision - a.revision);
    return [...replicated, ...others].slice(0, MAXIMUM_SENT_RECORDS)
      .map((each) => toRecord(each, now));
  }

  /**
   * Merges records from another VM, whose address is `address` if it is known.
   */
  merge(
    records: readonly CrashRecord[],
    now: number,
    address: string | null = null,
  ): void {
    for (const record of records) this.#merge(record, now, address);
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now. Responses that clear a request may be waiting to be read, so
   * quarantines begin later by as much.
   */
  processStalled(duration: number): void {
    for (const crashes of this.#records.values()) {
      crashes.nearLimitSince += duration;
    }
  }

  /**
   * Checks all records: quarantines requests that have reached their crash
   * limit, releases quarantined requests for a trial, and removes expired
   * records.
   */
  advance(now: number): void {
    if (now - this.#checkedAt < CHECK_INTERVAL) return;
    this.#checkedAt = now;
    for (const crashes of this.#records.values()) this.#advance(crashes, now);
  }

  #advance(crashes: RequestCrashes, now: number): void {
    if (!hasReachedLimit(crashes)) {
      if (now >= expiresAt(crashes)) this.#remove(crashes);
    } else if (now >= quarantinedUntil(crashes)) {
      this.#startTrial(crashes, now);
    } else if (!crashes.isHeld && now >= quarantinedFrom(crashes)) {
      crashes.isHeld = true;
      this.#persistentRevision += 1;
      this.reportChange({ kind: "held", crashes });
      this.#excuseOthers(crashes, now);
    }
  }

  #merge(record: CrashRecord, now: number, address: string | null): void {
    const { request, target, round } = record;
    const lastCrashAt = now - record.age;
    const known = this.#records.get(request);
    const crashes = known ??
      this.#add(createRequestCrashes(request, target, round, lastCrashAt));
    const excused = union(crashes.excused, record.excused);
    const runs = union(crashes.runs, record.runs)
      .filter((each) => !excused.includes(each));
    const isChanged = known === undefined || round > crashes.round ||
      !hasSameNames(runs, crashes.runs) ||
      !hasSameNames(excused, crashes.excused);
    crashes.lastCrashAt = Math.max(crashes.lastCrashAt, lastCrashAt);
    if (!isChanged) return;
    this.#update(crashes, now, () => {
      crashes.round = Math.max(crashes.round, round);
      crashes.runs = runs;
      crashes.excused = excused;
    });
    const isComplete = hasSameNames(crashes.runs, record.runs) &&
      hasSameNames(crashes.excused, record.excused);
    crashes.receivedFrom = isComplete ? address : null;
    if (crashes.runs.length > 0 && isRecentlyAnswered(crashes, now)) {
      this.#excuse(crashes, crashes.runs, now);
      this.#ownRevision = this.#revision;
    }
    // The sender has already waited for responses before it quarantined the
    // request, so it is quarantined here without a further delay.
    if (record.isHeld && hasReachedLimit(crashes)) {
      crashes.nearLimitSince = -Infinity;
    }
  }

  #find(fingerprint: Fingerprint): RequestCrashes | undefined {
    if (this.#records.size === 0) return undefined;
    if (!this.#byHead.has(fingerprint.head)) return undefined;
    return this.#records.get(fingerprint.complete);
  }

  #add(crashes: RequestCrashes): RequestCrashes {
    if (this.#records.size >= MAXIMUM_RECORDS) this.#evict();
    const { request } = crashes;
    this.#records.set(request, crashes);
    const head = headOf(request);
    const fingerprints = this.#byHead.get(head) ?? new Set();
    this.#byHead.set(head, fingerprints.add(request));
    return crashes;
  }

  #update(crashes: RequestCrashes, now: number, change: () => void): void {
    const wasReplicated = isReplicated(crashes);
    const wasNearLimit = isNearLimit(crashes);
    change();
    if (wasNearLimit !== isNearLimit(crashes)) this.#persistentRevision += 1;
    crashes.receivedFrom = null;
    crashes.runs = crashes.runs.slice(-MAXIMUM_PROCESSES);
    crashes.excused = crashes.excused.slice(-MAXIMUM_PROCESSES);
    const since = Math.min(crashes.nearLimitSince, now);
    crashes.nearLimitSince = isNearLimit(crashes) ? since : Infinity;
    if (!hasReachedLimit(crashes)) crashes.isHeld = false;
    this.#revision += 1;
    crashes.revision = this.#revision;
    if (wasReplicated || isReplicated(crashes)) this.#digest = null;
    if (crashes.isHeld) this.#excuseOthers(crashes, now);
  }

  /**
   * Stops counting the crashes of a quarantined request against other requests.
   * Requests that have reached their own crash limit are excepted, since they
   * may be the cause as well.
   */
  #excuseOthers(quarantined: RequestCrashes, now: number): void {
    for (const crashes of this.#records.values()) {
      if (hasReachedLimit(crashes)) continue;
      const shared = crashes.runs.filter((each) =>
        quarantined.runs.includes(each)
      );
      if (shared.length > 0) this.#excuse(crashes, shared, now);
    }
  }

  #excuse(crashes: RequestCrashes, runs: readonly string[], now: number): void {
    this.#update(crashes, now, () => {
      crashes.excused = union(crashes.excused, runs);
      crashes.runs = crashes.runs.filter((each) => !runs.includes(each));
    });
  }

  #startTrial(crashes: RequestCrashes, now: number): void {
    this.#update(crashes, now, () => {
      crashes.round += 1;
      crashes.excused = union(crashes.excused, crashes.runs);
      crashes.runs = [];
    });
    this.reportChange({ kind: "tried", crashes });
  }

  #evict(): void {
    let oldest: RequestCrashes | null = null;
    for (const crashes of this.#records.values()) {
      if (oldest === null || isEvictedBefore(crashes, oldest)) oldest = crashes;
    }
    if (oldest !== null) this.#remove(oldest);
  }

  #remove(crashes: RequestCrashes): void {
    const { request } = crashes;
    this.#records.delete(request);
    if (isReplicated(crashes)) this.#digest = null;
    const head = headOf(request);
    const fingerprints = this.#byHead.get(head);
    fingerprints?.delete(request);
    if (fingerprints?.size === 0) this.#byHead.delete(head);
  }

  #replicated(): RequestCrashes[] {
    const all = [...this.#records.values()].filter(isReplicated);
    if (all.length <= MAXIMUM_SENT_RECORDS) return all;
    return all.sort((a, b) => isEvictedBefore(a, b) ? 1 : -1)
      .slice(0, MAXIMUM_SENT_RECORDS);
  }
}
