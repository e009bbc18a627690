/**
 * Crash records: for one request, the runs of backend servers (a server's id and
 * incarnation) that crashed while they processed it.
 *
 * Replicas of a record merge to the same result in any order and any number of times,
 * as in a conflict-free replicated data type: a run counts once, however many VMs
 * observed its crash, and a run that was excused stays excused.
 *
 * @module
 */
import * as z from "zod";

/** Maximum length of a fingerprint, in characters. */
const MAXIMUM_FINGERPRINT_LENGTH = 64;
/** Maximum length of the name of a server's run, in characters. */
const MAXIMUM_RUN_LENGTH = 300;
/** Maximum number of runs in a record; further ones would not change a decision. */
export const MAXIMUM_RUNS = 16;
/** Maximum length of a record's target, in characters. */
export const MAXIMUM_TARGET_LENGTH = 120;

const runsSchema = z.array(z.string().max(MAXIMUM_RUN_LENGTH)).max(
  MAXIMUM_RUNS,
);

/** Schema of {@linkcode CrashRecord}. */
export const crashRecordSchema = z.object({
  /** Fingerprint of the request. */
  request: z.string().max(MAXIMUM_FINGERPRINT_LENGTH),
  /** Host and path, truncated; for operators. */
  target: z.string().max(MAXIMUM_TARGET_LENGTH),
  /** How often the request was quarantined and released for a trial. */
  round: z.number().int().nonnegative(),
  /** Runs of servers that crashed under it in this round. */
  runs: runsSchema,
  /** Runs that crashed under it and no longer count, because the request was answered,
   * another request explains the crash, or a trial began. */
  excused: runsSchema,
  /** Milliseconds since the last crash under it. */
  age: z.number().nonnegative(),
  /** Whether the sender of the record has quarantined it. */
  isHeld: z.boolean(),
});

/** A record as it is sent to other VMs. */
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/** Number of crashes under a request at which it is quarantined. A harmless request may
 * run beside the harmful one on one or two servers. */
const CRASH_LIMIT = 3;
/** The same number for a request on trial after a quarantine. */
const TRIAL_CRASH_LIMIT = 1;
/** Time in which an answer to a request that is near its limit reaches all VMs, in
 * milliseconds: a report to the term holder, which may be delayed by half a second, the
 * holder's message to all VMs, and an answer. */
const ANSWER_PROPAGATION_TIME = 1_000;
/** Time after an answer in which crashes do not count against a request, in
 * milliseconds; about the time that a registry takes to report a crash. */
const ANSWER_LIFETIME = 5_000;
/** Duration of a request's first quarantine, in milliseconds; doubles with each trial
 * that crashes a server again. It is also how long the request stays rejected after its
 * service was fixed. */
const INITIAL_QUARANTINE = 120_000;
const MAXIMUM_QUARANTINE = 3_600_000;
/** Time for which a record of a request that is not quarantined is kept, in
 * milliseconds. Retries that are further apart crash a server each time. */
const RECORD_LIFETIME = 600_000;

/** A record as a VM stores it. Times are milliseconds of its clock. */
export interface RequestCrashes {
  request: string;
  target: string;
  round: number;
  runs: string[];
  excused: string[];
  lastAt: number;
  /** When a server last answered it, as observed by this VM. */
  answeredAt: number;
  /** Since when it is at most one crash short of its limit; Infinity if it is not. */
  nearLimitSince: number;
  /** Whether it is quarantined, which lasts until {@linkcode quarantinedUntil}. */
  isHeld: boolean;
  /** Revision of the last change to it in this process. */
  revision: number;
  /** Address of the VM that sent exactly this state; null if no VM is known to have all
   * of it. */
  knownAt: string | null;
}

/** Whether a request has reached the number of crashes at which it is quarantined. */
export function hasReachedLimit({ round, runs }: RequestCrashes): boolean {
  const limit = round === 0 ? CRASH_LIMIT : TRIAL_CRASH_LIMIT;
  return runs.length >= limit;
}

/** Whether a request is at most one crash short of that number. */
export function isNearLimit({ round, runs }: RequestCrashes): boolean {
  return runs.length >= (round === 0 ? CRASH_LIMIT - 1 : TRIAL_CRASH_LIMIT);
}

/** When a request that has reached its limit is quarantined, unless it is answered
 * before. A request that many callers send at once may be in progress on any server that
 * crashes, and other servers answer it in the meantime. By then all VMs know that its
 * answers count. */
export function quarantinedFrom({ nearLimitSince }: RequestCrashes): number {
  return nearLimitSince + ANSWER_PROPAGATION_TIME;
}

/** Duration of a quarantine in a round, in milliseconds. */
function quarantineDuration(round: number): number {
  return Math.min(MAXIMUM_QUARANTINE, INITIAL_QUARANTINE * 2 ** round);
}

/** When a quarantined request is released for a trial. */
export function quarantinedUntil({ round, lastAt }: RequestCrashes): number {
  return lastAt + quarantineDuration(round);
}

/** When the record of a request that is not quarantined expires. */
export function expiresAt({ round, lastAt }: RequestCrashes): number {
  return lastAt + RECORD_LIFETIME +
    (round === 0 ? 0 : quarantineDuration(round - 1));
}

/** Whether a record is replicated to all VMs: its request is quarantined, near its limit,
 * or was so before. An answer on any VM then clears it on all VMs. */
export function isReplicated(
  { round, runs, excused }: RequestCrashes,
): boolean {
  return round > 0 || runs.length + excused.length >= CRASH_LIMIT - 1;
}

/** Whether a request was answered so recently that crashes do not count against it. A
 * request that many callers send is in progress on any server that crashes. */
export function isRecentlyAnswered(
  { answeredAt }: RequestCrashes,
  now: number,
): boolean {
  return now - answeredAt <= ANSWER_LIFETIME;
}

/** A record without crashes. */
export function newCrashes(
  request: string,
  target: string,
  round: number,
  lastAt: number,
): RequestCrashes {
  return {
    request,
    target: target.slice(0, MAXIMUM_TARGET_LENGTH),
    round,
    runs: [],
    excused: [],
    lastAt,
    answeredAt: -Infinity,
    nearLimitSince: Infinity,
    isHeld: false,
    revision: 0,
    knownAt: null,
  };
}

/** A quarantined request. */
export interface Hold {
  request: string;
  target: string;
  /** Runs of servers that crashed under it. */
  runs: readonly string[];
  /** Milliseconds until it is released for a trial. */
  left: number;
}

/** Whether record `a` is evicted before record `b` if there are too many. */
export function isEvictedBefore(a: RequestCrashes, b: RequestCrashes): boolean {
  if (a.isHeld !== b.isHeld) return b.isHeld;
  return a.lastAt < b.lastAt;
}

/** Describes a quarantined request. */
export function holdOf(crashes: RequestCrashes, now: number): Hold {
  const { request, target, runs } = crashes;
  return { request, target, runs, left: quarantinedUntil(crashes) - now };
}

/** Converts a record to the form that is sent to other VMs. */
export function toRecord(crashes: RequestCrashes, now: number): CrashRecord {
  const { request, target, round, runs, excused, lastAt, isHeld } = crashes;
  const age = Math.max(0, now - lastAt);
  return { request, target, round, runs, excused, age, isHeld };
}

/** The distinct names in both lists. */
export function union(a: readonly string[], b: readonly string[]): string[] {
  return [...new Set([...a, ...b])];
}

/** Whether two lists contain the same names. */
export function hasSameNames(
  a: readonly string[],
  b: readonly string[],
): boolean {
  return a.length === b.length && a.every((each) => b.includes(each));
}

/** A hash of a set of records that does not depend on their order. */
export function digestOf(records: readonly RequestCrashes[]): number {
  let digest = 0;
  for (const { request, round, runs, excused } of records) {
    const state = `${request} ${round} ${runs.length} ${excused.length}`;
    digest ^= hash32(state);
  }
  return digest >>> 0;
}

/** FNV-1a hash, which is not collision-resistant against deliberately chosen inputs. */
function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash;
}
