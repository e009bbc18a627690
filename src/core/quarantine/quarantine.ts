/**
 * Requests under which backend servers have ended, and which of them are held back.
 *
 * A server that ends accuses all requests that were at work on it, a little and none
 * of them for certain. One that is still there when three runs have ended is held
 * back: it is refused at once, at all VMs, whichever of them saw those ends. What is
 * answered once is innocent, and so is what was only ever beside one that is held
 * back. After a while a request that is held back is let through for a trial, so that
 * a service which was mended is not closed to it for good.
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
  forgottenAt,
  heldFrom,
  heldUntil,
  type Hold,
  holdOf,
  isBefore,
  isConvicted,
  isDoubtful,
  isNotable,
  isSame,
  isTrusted,
  type KnownCrashes,
  MAXIMUM_RUNS,
  newCrashes,
  toRecord,
  union,
} from "./crash_record.ts";

/** Records that are kept at the most; the one whose server ended longest ago goes
 * first, and those of requests that are held back last. */
const MAXIMUM_RECORDS = 4_096;
/** Pause between two looks at all records, in milliseconds. */
const EXPIRY_PAUSE = 100;
/** Records that all VMs are told at the most. */
const MAXIMUM_NOTABLE = 256;

/** A change that is worth a line in the log. */
export interface QuarantineChange {
  kind: "held" | "cleared" | "tried";
  crashes: KnownCrashes;
}

/** See the module's comment. Times are milliseconds. */
export class Quarantine {
  readonly #records = new Map<string, KnownCrashes>();
  /** Fingerprints by their heads: most requests are told from all of them by it,
   * without a look at their bodies. */
  readonly #byHead = new Map<string, Set<string>>();
  #revision = 0;
  #ownRevision = 0;
  #recordRevision = 0;
  #digest: number | null = 0;
  #expiredAt = -Infinity;

  private constructor(
    private readonly changed: (change: QuarantineChange) => void,
  ) {}

  /** Holds nothing back; calls `changed` with what matters to operators. */
  static create(
    changed: (change: QuarantineChange) => void = () => {},
  ): Quarantine {
    return new Quarantine(changed);
  }

  /** Number of the last change here. */
  get revision(): number {
    return this.#revision;
  }

  /** Number of the last change that this VM has seen itself: others cannot know. */
  get ownRevision(): number {
    return this.#ownRevision;
  }

  /** A number that is the same at two VMs which have the same notable records. */
  get digest(): number {
    return this.#digest ??= digestOf(this.#notable());
  }

  /** A run of a server ended under a request. Returns whether that is news. */
  accuse(request: string, target: string, run: string, now: number): boolean {
    const crashes = this.#records.get(request) ??
      this.#add(newCrashes(request, target, 0, now));
    const isKnown = crashes.runs.includes(run) || crashes.excused.includes(run);
    if (isKnown) return false;
    this.#update(crashes, now, () => {
      crashes.lastAt = now;
      const list = isTrusted(crashes, now) ? crashes.excused : crashes.runs;
      list.push(run);
    });
    this.#ownRevision = this.#revision;
    return true;
  }

  /** Runs that have ended under a request and count; 0 for most. */
  ends(fingerprint: Fingerprint): number {
    return this.#find(fingerprint)?.runs.length ?? 0;
  }

  /** Whether a server has ever ended under a request, as far as it is remembered. */
  isKnown(fingerprint: Fingerprint): boolean {
    return this.#find(fingerprint) !== undefined;
  }

  /** The same of a request by its whole fingerprint. */
  endsUnder(request: string): number {
    return this.#records.get(request)?.runs.length ?? 0;
  }

  /** How a request is held back, or null when it may be sent. */
  hold(fingerprint: Fingerprint, now: number): Hold | null {
    const crashes = this.#find(fingerprint);
    if (crashes === undefined || !isConvicted(crashes)) return null;
    this.#advance(crashes, now);
    return crashes.isHeld ? holdOf(crashes, now) : null;
  }

  /** A server has answered a request that it ran. */
  clear(fingerprint: Fingerprint, now: number): void {
    const crashes = this.#find(fingerprint);
    if (crashes === undefined) return;
    crashes.answeredAt = now;
    if (crashes.runs.length === 0) return;
    this.#excuse(crashes, crashes.runs, now);
    this.#ownRevision = this.#revision;
    this.changed({ kind: "cleared", crashes });
  }

  /** All requests that are held back. */
  holds(now: number): Hold[] {
    return [...this.#records.values()].filter((each) => each.isHeld)
      .map((crashes) => holdOf(crashes, now));
  }

  /** Number of the last change to what {@linkcode recordable} returns. */
  get recordRevision(): number {
    return this.#recordRevision;
  }

  /** Records of the requests that are held back, or are close to it: after a loss of
   * all VMs the ends so far still count. */
  recordable(now: number): CrashRecord[] {
    return this.#notable().filter((each) => each.isHeld || isDoubtful(each))
      .map((each) => toRecord(each, now));
  }

  /** Number of requests that are held back. */
  get holdCount(): number {
    let count = 0;
    for (const { isHeld } of this.#records.values()) if (isHeld) count += 1;
    return count;
  }

  /** Records that have changed after a revision, the newest first; those that are
   * known at `address` already are left out. */
  changesSince(
    revision: number,
    now: number,
    address: string | null = null,
  ): CrashRecord[] {
    const changed = [...this.#records.values()]
      .filter((each) => each.revision > revision)
      .filter(({ knownAt }) => knownAt === null || knownAt !== address)
      .sort((a, b) => b.revision - a.revision)
      .slice(0, MAXIMUM_NOTABLE);
    return changed.map((each) => toRecord(each, now));
  }

  /** Records that all VMs should have. */
  notable(now: number): CrashRecord[] {
    return this.#notable().map((each) => toRecord(each, now));
  }

  /** The same, with the newest of the requests under which one server has ended: a
   * VM that has just started lets none of them run beside a copy. */
  suspects(now: number): CrashRecord[] {
    const notable = this.#notable();
    const others = [...this.#records.values()]
      .filter((each) => each.runs.length > 0 && !isNotable(each))
      .sort((a, b) => b.revision - a.revision);
    return [...notable, ...others].slice(0, MAXIMUM_NOTABLE)
      .map((each) => toRecord(each, now));
  }

  /** Takes what another VM knows, the one at `address` if that matters. */
  merge(
    records: readonly CrashRecord[],
    now: number,
    address: string | null = null,
  ): void {
    for (const record of records) this.#merge(record, now, address);
  }

  /** Holds requests back, lets them through for a trial, and forgets others, whose
   * time has come. */
  expire(now: number): void {
    if (now - this.#expiredAt < EXPIRY_PAUSE) return;
    this.#expiredAt = now;
    for (const crashes of this.#records.values()) this.#advance(crashes, now);
  }

  #advance(crashes: KnownCrashes, now: number): void {
    if (!isConvicted(crashes)) {
      if (now >= forgottenAt(crashes)) this.#forget(crashes);
    } else if (now >= heldUntil(crashes)) {
      this.#try(crashes, now);
    } else if (!crashes.isHeld && now >= heldFrom(crashes)) {
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
      !isSame(runs, crashes.runs) || !isSame(excused, crashes.excused);
    crashes.lastAt = Math.max(crashes.lastAt, lastAt);
    if (!isNews) return;
    this.#update(crashes, now, () => {
      crashes.round = Math.max(crashes.round, round);
      crashes.runs = runs;
      crashes.excused = excused;
    });
    const isAllOfIt = isSame(crashes.runs, record.runs) &&
      isSame(crashes.excused, record.excused);
    crashes.knownAt = isAllOfIt ? address : null;
    if (crashes.runs.length > 0 && isTrusted(crashes, now)) {
      this.#excuse(crashes, crashes.runs, now);
      this.#ownRevision = this.#revision;
    }
    // Whoever holds it back has waited for an answer to be heard of.
    if (record.isHeld && isConvicted(crashes)) {
      crashes.doubtfulSince = -Infinity;
    }
  }

  #find(fingerprint: Fingerprint): KnownCrashes | undefined {
    if (this.#records.size === 0) return undefined;
    if (!this.#byHead.has(fingerprint.head)) return undefined;
    return this.#records.get(fingerprint.whole);
  }

  #add(crashes: KnownCrashes): KnownCrashes {
    if (this.#records.size >= MAXIMUM_RECORDS) this.#forgetOldest();
    const { request } = crashes;
    this.#records.set(request, crashes);
    const head = headOf(request);
    const others = this.#byHead.get(head) ?? new Set();
    this.#byHead.set(head, others.add(request));
    return crashes;
  }

  #update(crashes: KnownCrashes, now: number, change: () => void): void {
    const wasNotable = isNotable(crashes);
    const wasDoubtful = isDoubtful(crashes);
    change();
    if (wasDoubtful !== isDoubtful(crashes)) this.#recordRevision += 1;
    crashes.knownAt = null;
    crashes.runs = crashes.runs.slice(-MAXIMUM_RUNS);
    crashes.excused = crashes.excused.slice(-MAXIMUM_RUNS);
    const since = Math.min(crashes.doubtfulSince, now);
    crashes.doubtfulSince = isDoubtful(crashes) ? since : Infinity;
    if (!isConvicted(crashes)) crashes.isHeld = false;
    this.#revision += 1;
    crashes.revision = this.#revision;
    if (wasNotable || isNotable(crashes)) this.#digest = null;
    if (crashes.isHeld) this.#excuseOthers(crashes, now);
  }

  /** What a request that is held back accounts for is no other one's fault, unless that
   * was there just as often: which of the two is to blame nobody can tell. */
  #excuseOthers(held: KnownCrashes, now: number): void {
    for (const crashes of this.#records.values()) {
      if (isConvicted(crashes)) continue;
      const explained = crashes.runs.filter((run) => held.runs.includes(run));
      if (explained.length > 0) this.#excuse(crashes, explained, now);
    }
  }

  #excuse(crashes: KnownCrashes, runs: readonly string[], now: number): void {
    this.#update(crashes, now, () => {
      crashes.excused = union(crashes.excused, runs);
      crashes.runs = crashes.runs.filter((run) => !runs.includes(run));
    });
  }

  #try(crashes: KnownCrashes, now: number): void {
    this.#update(crashes, now, () => {
      crashes.round += 1;
      crashes.excused = union(crashes.excused, crashes.runs);
      crashes.runs = [];
    });
    this.changed({ kind: "tried", crashes });
  }

  #forgetOldest(): void {
    let oldest: KnownCrashes | null = null;
    for (const crashes of this.#records.values()) {
      if (oldest === null || isBefore(crashes, oldest)) oldest = crashes;
    }
    if (oldest !== null) this.#forget(oldest);
  }

  #forget(crashes: KnownCrashes): void {
    const { request } = crashes;
    this.#records.delete(request);
    if (isNotable(crashes)) this.#digest = null;
    const head = headOf(request);
    const others = this.#byHead.get(head);
    others?.delete(request);
    if (others?.size === 0) this.#byHead.delete(head);
  }

  #notable(): KnownCrashes[] {
    const all = [...this.#records.values()].filter(isNotable);
    if (all.length <= MAXIMUM_NOTABLE) return all;
    return all.sort((a, b) => isBefore(a, b) ? 1 : -1)
      .slice(0, MAXIMUM_NOTABLE);
  }
}
