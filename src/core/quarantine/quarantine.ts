/**
 * The quarantine: rejects requests that repeatedly crash backend servers.
 *
 * A crash counts against each request that was in progress on the server, since any of
 * them may have caused it. A request that was in progress at the crashes of three runs
 * is quarantined: all VMs reject it immediately, whichever of them observed the crashes.
 * An answer to a request clears it, and so does the quarantine of another request that
 * explains all of its crashes. A quarantined request is released for a trial after some
 * time, so that it is not rejected forever after its service was fixed.
 *
 * ```ts
 * quarantine.accuse(fingerprint.whole, "h/path", "server-1#0", now);
 * if (quarantine.hold(fingerprint, now) !== null) refuse();
 * quarantine.clear(fingerprint, now); // it was answered
 * ```
 *
 * @module
 */
import { type Fingerprint, headOf } from "./fingerprint.ts";
import {
  type CrashRecord,
  digestOf,
  expiresAt,
  hasReachedLimit,
  hasSameNames,
  type Hold,
  holdOf,
  isEvictedBefore,
  isNearLimit,
  isRecentlyAnswered,
  isReplicated,
  MAXIMUM_RUNS,
  newCrashes,
  quarantinedFrom,
  quarantinedUntil,
  type RequestCrashes,
  toRecord,
  union,
} from "./crash_record.ts";

/** Maximum number of records. The one with the oldest crash is evicted first, and those
 * of quarantined requests last. */
const MAXIMUM_RECORDS = 4_096;
/** Minimum interval between two passes over all records, in milliseconds. */
const EXPIRY_INTERVAL = 100;
/** Maximum number of records that are sent to other VMs. */
const MAXIMUM_SENT_RECORDS = 256;

/** A change that is logged. */
export interface QuarantineChange {
  kind: "held" | "cleared" | "tried";
  crashes: RequestCrashes;
}

/** See the module's comment. Times are milliseconds. */
export class Quarantine {
  readonly #records = new Map<string, RequestCrashes>();
  /** Fingerprints by their heads, which distinguish most requests from recorded ones
   * without hashing their bodies. */
  readonly #byHead = new Map<string, Set<string>>();
  #revision = 0;
  #ownRevision = 0;
  #recordRevision = 0;
  #digest: number | null = 0;
  #expiredAt = -Infinity;

  private constructor(
    private readonly changed: (change: QuarantineChange) => void,
  ) {}

  /** Starts without records; passes changes for operators to `changed`. */
  static create(
    changed: (change: QuarantineChange) => void = () => {},
  ): Quarantine {
    return new Quarantine(changed);
  }

  /** Revision of the last change. */
  get revision(): number {
    return this.#revision;
  }

  /** Revision of the last change that this VM observed itself and others may not know. */
  get ownRevision(): number {
    return this.#ownRevision;
  }

  /** Hash of the replicated records; equal on VMs with the same records. */
  get digest(): number {
    return this.#digest ??= digestOf(this.#replicated());
  }

  /** Records that a run of a server crashed under a request; returns whether that was not
   * known before. */
  recordCrash(
    request: string,
    target: string,
    run: string,
    now: number,
  ): boolean {
    const crashes = this.#records.get(request) ??
      this.#add(newCrashes(request, target, 0, now));
    const isKnown = crashes.runs.includes(run) || crashes.excused.includes(run);
    if (isKnown) return false;
    this.#update(crashes, now, () => {
      crashes.lastAt = now;
      const list = isRecentlyAnswered(crashes, now)
        ? crashes.excused
        : crashes.runs;
      list.push(run);
    });
    this.#ownRevision = this.#revision;
    return true;
  }

  /** Number of crashes that count against a request; 0 for most. */
  crashCount(fingerprint: Fingerprint): number {
    return this.#find(fingerprint)?.runs.length ?? 0;
  }

  /** Whether there is a record of a request. */
  hasRecord(fingerprint: Fingerprint): boolean {
    return this.#find(fingerprint) !== undefined;
  }

  /** Number of crashes that count against a request, by its complete fingerprint. */
  crashCountOf(request: string): number {
    return this.#records.get(request)?.runs.length ?? 0;
  }

  /** The quarantine of a request, or null if it may be sent. */
  hold(fingerprint: Fingerprint, now: number): Hold | null {
    const crashes = this.#find(fingerprint);
    if (crashes === undefined || !hasReachedLimit(crashes)) return null;
    this.#advance(crashes, now);
    return crashes.isHeld ? holdOf(crashes, now) : null;
  }

  /** Records that a server answered a request, which clears it. */
  clear(fingerprint: Fingerprint, now: number): void {
    const crashes = this.#find(fingerprint);
    if (crashes === undefined) return;
    crashes.answeredAt = now;
    if (crashes.runs.length === 0) return;
    this.#excuse(crashes, crashes.runs, now);
    this.#ownRevision = this.#revision;
    this.changed({ kind: "cleared", crashes });
  }

  /** All quarantined requests. */
  holds(now: number): Hold[] {
    return [...this.#records.values()].filter((each) => each.isHeld)
      .map((crashes) => holdOf(crashes, now));
  }

  /** Revision of the last change to what {@linkcode persistentRecords} returns. */
  get persistentRevision(): number {
    return this.#recordRevision;
  }

  /** Records of requests that are quarantined or near their limit. They are persisted,
   * so that the crashes still count after all VMs have failed. */
  persistentRecords(now: number): CrashRecord[] {
    return this.#replicated().filter((each) => each.isHeld || isNearLimit(each))
      .map((each) => toRecord(each, now));
  }

  /** Number of quarantined requests. */
  get holdCount(): number {
    let count = 0;
    for (const { isHeld } of this.#records.values()) if (isHeld) count += 1;
    return count;
  }

  /** Records that changed after a revision, newest first, except those that the VM at
   * `address` is known to have. */
  changesSince(
    revision: number,
    now: number,
    address: string | null = null,
  ): CrashRecord[] {
    const changed = [...this.#records.values()]
      .filter((each) => each.revision > revision)
      .filter(({ knownAt }) => knownAt === null || knownAt !== address)
      .sort((a, b) => b.revision - a.revision)
      .slice(0, MAXIMUM_SENT_RECORDS);
    return changed.map((each) => toRecord(each, now));
  }

  /** Records that are replicated to all VMs. */
  replicatedRecords(now: number): CrashRecord[] {
    return this.#replicated().map((each) => toRecord(each, now));
  }

  /** Replicated records and the newest records with a single crash, for a VM that has
   * just started: it then runs none of these requests beside another copy. */
  startupRecords(now: number): CrashRecord[] {
    const replicated = this.#replicated();
    const others = [...this.#records.values()]
      .filter((each) => each.runs.length > 0 && !isReplicated(each))
      .sort((a, b) => b.revision - a.revision);
    return [...replicated, ...others].slice(0, MAXIMUM_SENT_RECORDS)
      .map((each) => toRecord(each, now));
  }

  /** Merges records from another VM, whose address is `address` if it is known. */
  merge(
    records: readonly CrashRecord[],
    now: number,
    address: string | null = null,
  ): void {
    for (const record of records) this.#merge(record, now, address);
  }

  /** Quarantines requests, releases them for a trial and removes expired records, as far
   * as they are due. */
  expire(now: number): void {
    if (now - this.#expiredAt < EXPIRY_INTERVAL) return;
    this.#expiredAt = now;
    for (const crashes of this.#records.values()) this.#advance(crashes, now);
  }

  #advance(crashes: RequestCrashes, now: number): void {
    if (!hasReachedLimit(crashes)) {
      if (now >= expiresAt(crashes)) this.#remove(crashes);
    } else if (now >= quarantinedUntil(crashes)) {
      this.#startTrial(crashes, now);
    } else if (!crashes.isHeld && now >= quarantinedFrom(crashes)) {
      crashes.isHeld = true;
      this.#recordRevision += 1;
      this.changed({ kind: "held", crashes });
      this.#excuseOthers(crashes, now);
    }
  }

  #merge(record: CrashRecord, now: number, address: string | null): void {
    const { request, target, round } = record;
    const lastAt = now - record.age;
    const known = this.#records.get(request);
    const crashes = known ??
      this.#add(newCrashes(request, target, round, lastAt));
    const excused = union(crashes.excused, record.excused);
    const runs = union(crashes.runs, record.runs)
      .filter((run) => !excused.includes(run));
    const isNews = known === undefined || round > crashes.round ||
      !hasSameNames(runs, crashes.runs) ||
      !hasSameNames(excused, crashes.excused);
    crashes.lastAt = Math.max(crashes.lastAt, lastAt);
    if (!isNews) return;
    this.#update(crashes, now, () => {
      crashes.round = Math.max(crashes.round, round);
      crashes.runs = runs;
      crashes.excused = excused;
    });
    const isComplete = hasSameNames(crashes.runs, record.runs) &&
      hasSameNames(crashes.excused, record.excused);
    crashes.knownAt = isComplete ? address : null;
    if (crashes.runs.length > 0 && isRecentlyAnswered(crashes, now)) {
      this.#excuse(crashes, crashes.runs, now);
      this.#ownRevision = this.#revision;
    }
    // The sender has already waited for answers before it quarantined the request.
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
    const others = this.#byHead.get(head) ?? new Set();
    this.#byHead.set(head, others.add(request));
    return crashes;
  }

  #update(crashes: RequestCrashes, now: number, change: () => void): void {
    const wasReplicated = isReplicated(crashes);
    const wasNearLimit = isNearLimit(crashes);
    change();
    if (wasNearLimit !== isNearLimit(crashes)) this.#recordRevision += 1;
    crashes.knownAt = null;
    crashes.runs = crashes.runs.slice(-MAXIMUM_RUNS);
    crashes.excused = crashes.excused.slice(-MAXIMUM_RUNS);
    const since = Math.min(crashes.nearLimitSince, now);
    crashes.nearLimitSince = isNearLimit(crashes) ? since : Infinity;
    if (!hasReachedLimit(crashes)) crashes.isHeld = false;
    this.#revision += 1;
    crashes.revision = this.#revision;
    if (wasReplicated || isReplicated(crashes)) this.#digest = null;
    if (crashes.isHeld) this.#excuseOthers(crashes, now);
  }

  /** Excuses other requests from crashes that a quarantined request explains. A request
   * that has reached its own limit is not excused, since it may be the cause as well. */
  #excuseOthers(quarantined: RequestCrashes, now: number): void {
    for (const crashes of this.#records.values()) {
      if (hasReachedLimit(crashes)) continue;
      const explained = crashes.runs.filter((run) =>
        quarantined.runs.includes(run)
      );
      if (explained.length > 0) this.#excuse(crashes, explained, now);
    }
  }

  #excuse(crashes: RequestCrashes, runs: readonly string[], now: number): void {
    this.#update(crashes, now, () => {
      crashes.excused = union(crashes.excused, runs);
      crashes.runs = crashes.runs.filter((run) => !runs.includes(run));
    });
  }

  #startTrial(crashes: RequestCrashes, now: number): void {
    this.#update(crashes, now, () => {
      crashes.round += 1;
      crashes.excused = union(crashes.excused, crashes.runs);
      crashes.runs = [];
    });
    this.changed({ kind: "tried", crashes });
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
    const others = this.#byHead.get(head);
    others?.delete(request);
    if (others?.size === 0) this.#byHead.delete(head);
  }

  #replicated(): RequestCrashes[] {
    const all = [...this.#records.values()].filter(isReplicated);
    if (all.length <= MAXIMUM_SENT_RECORDS) return all;
    return all.sort((a, b) => isEvictedBefore(a, b) ? 1 : -1)
      .slice(0, MAXIMUM_SENT_RECORDS);
  }
}
