/**
 * Crash records. The record of a request lists the server processes that
 * crashed while they ran it. A server process is named by the server's id and
 * incarnation, as in `server-1#2`; the name is called a run in the records.
 *
 * Each VM stores its own copy of a record. Copies merge to the same result in
 * any order and any number of times, as in a conflict-free replicated data
 * type: a process counts once, however many VMs observed its crash, and a
 * process that was excused (no longer counts against the request) stays
 * excused.
 *
 * @module
 */
import * as z from "zod";

/** Maximum length of a fingerprint, in characters. */
const MAXIMUM_FINGERPRINT_LENGTH = 64;
/** Maximum length of the name of a server process, in characters. */
const MAXIMUM_NAME_LENGTH = 300;
/**
 * Maximum number of processes in each list of a record. More would not change
 * whether the request is quarantined.
 */
export const MAXIMUM_PROCESSES = 16;
/** Maximum length of a record's target, in characters. */
export const MAXIMUM_TARGET_LENGTH = 120;

const runsSchema = z.array(z.string().max(MAXIMUM_NAME_LENGTH))
  .max(
    MAXIMUM_PROCESSES,
  );

/** Schema of {@linkcode CrashRecord}. */
export const crashRecordSchema = z.object({
  /** Fingerprint of the request. */
  request: z.string().max(MAXIMUM_FINGERPRINT_LENGTH),
  /** Host and path, truncated; for operators. */
  target: z.string().max(MAXIMUM_TARGET_LENGTH),
  /**
   * Number of times that the request was released from a quarantine for a
   * trial.
   */
  round: z.number().int().nonnegative(),
  /**
   * Server processes that crashed while they ran the request, since its last
   * release.
   */
  runs: runsSchema,
  /**
   * Server processes whose crashes no longer count against the request, because
   * it was answered, another request was quarantined for them, or a trial
   * began. Also contains {@linkcode passedTrialName} of each passed trial, which
   * thus reaches all VMs.
   */
  excused: runsSchema,
  /** Milliseconds since the last crash that was recorded for the request. */
  age: z.number().nonnegative(),
  /** Whether the sender of the record has quarantined the request. */
  isHeld: z.boolean(),
});

/** A record as it is sent to other VMs. */
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/**
 * Number of crashes at which a request is quarantined. Fewer are no proof: a
 * harmless request may run beside the harmful one on one or two servers that
 * crash.
 */
const CRASH_LIMIT = 3;
/** Number of crashes at which a request on trial is quarantined again. */
const TRIAL_CRASH_LIMIT = 1;
/**
 * Time in which all VMs learn that a request near its crash limit was answered,
 * in milliseconds: for the response itself, the report to the term holder,
 * which may be delayed by half a second, and the term holder's message to all
 * VMs.
 */
const RESPONSE_PROPAGATION_TIME = 1_000;
/**
 * Time after a response in which crashes do not count against its request, in
 * milliseconds; about the time that a registry takes to report a crash.
 */
const RESPONSE_LIFETIME = 5_000;
/**
 * Duration of a request's first quarantine, in milliseconds; doubles with each
 * trial that crashes a server again. For up to this time a request is also
 * still refused after its service was fixed.
 */
const INITIAL_QUARANTINE = 120_000;
/** Maximum duration of a quarantine, in milliseconds. */
const MAXIMUM_QUARANTINE = 3_600_000;
/**
 * Time for which the record of a request that is not quarantined is kept after
 * its last crash, in milliseconds. A request whose retries are further apart is
 * never quarantined and crashes a server each time.
 */
const RECORD_LIFETIME = 600_000;

/**
 * A VM's copy of a {@linkcode CrashRecord}, with state of this VM. Times are
 * milliseconds of its clock.
 */
export interface RequestCrashes {
  request: string;
  target: string;
  round: number;
  runs: string[];
  excused: string[];
  /** When the last crash was recorded. */
  lastCrashAt: number;
  /** When a server last answered it, as observed by this VM. */
  answeredAt: number;
  /** Since when {@linkcode isNearLimit} is true; Infinity while it is false. */
  nearLimitSince: number;
  /**
   * Whether the request is quarantined, which lasts until
   * {@linkcode quarantinedUntil}.
   */
  isHeld: boolean;
  /** Revision of the quarantine at which this record last changed. */
  revision: number;
  /**
   * Address of the VM that sent exactly this state, to which it need not be
   * sent back; null if there is none.
   */
  receivedFrom: string | null;
}

/**
 * Whether a request has reached its crash limit: the number of crashes at which
 * it is quarantined.
 */
export function hasReachedLimit({ round, runs }: RequestCrashes): boolean {
  const limit = round === 0 ? CRASH_LIMIT : TRIAL_CRASH_LIMIT;
  return runs.length >= limit;
}

/**
 * Whether a request is near its crash limit: one more crash reaches it, or it
 * is reached. A request on trial is near its limit only once it has reached it.
 */
export function isNearLimit({ round, runs }: RequestCrashes): boolean {
  return runs.length >= (round === 0 ? CRASH_LIMIT - 1 : TRIAL_CRASH_LIMIT);
}

/** Name that stands for the passed trial `round` among excused processes. */
export function passedTrialName(round: number): string {
  return `trial#${round}`;
}

/**
 * Whether a request was released from a quarantine for a trial and has not been
 * answered since.
 */
export function isOnTrial({ round, excused }: RequestCrashes): boolean {
  return round > 0 && !excused.includes(passedTrialName(round));
}

/**
 * When a request that has reached its crash limit is quarantined, unless it is
 * answered before. A harmless request that many callers send at once may be in
 * progress on each server that crashes, while other servers answer it. The
 * delay is long enough for all VMs to learn of such a response.
 */
export function quarantinedFrom({ nearLimitSince }: RequestCrashes): number {
  return nearLimitSince + RESPONSE_PROPAGATION_TIME;
}

/** Duration of the quarantine after `round` trials, in milliseconds. */
function quarantineDuration(round: number): number {
  return Math.min(MAXIMUM_QUARANTINE, INITIAL_QUARANTINE * 2 ** round);
}

/** When a quarantined request is released for a trial. */
export function quarantinedUntil(
  { round, lastCrashAt }: RequestCrashes,
): number {
  return lastCrashAt + quarantineDuration(round);
}

/**
 * When the record of a request that is not quarantined expires. During a trial
 * it is kept longer by the duration of the last quarantine, which also began
 * with the last crash.
 */
export function expiresAt({ round, lastCrashAt }: RequestCrashes): number {
  return lastCrashAt + RECORD_LIFETIME +
    (round === 0 ? 0 : quarantineDuration(round - 1));
}

/**
 * Whether a record is replicated to all VMs: its request was quarantined, or
 * the number of its crashes, including excused ones, is at most one below the
 * crash limit. A response that any VM receives then clears the request on all
 * VMs.
 */
export function isReplicated(
  { round, runs, excused }: RequestCrashes,
): boolean {
  return round > 0 || runs.length + excused.length >= CRASH_LIMIT - 1;
}

/**
 * Whether a request was answered so recently that crashes do not count against
 * it. A harmless request that many callers send may be in progress on each
 * server that crashes.
 */
export function isRecentlyAnswered(
  { answeredAt }: RequestCrashes,
  now: number,
): boolean {
  return now - answeredAt <= RESPONSE_LIFETIME;
}

/** Creates a record without crashes. */
export function createRequestCrashes(
  request: string,
  target: string,
  round: number,
  lastCrashAt: number,
): RequestCrashes {
  return {
    request,
    target: target.slice(0, MAXIMUM_TARGET_LENGTH),
    round,
    runs: [],
    excused: [],
    lastCrashAt,
    answeredAt: -Infinity,
    nearLimitSince: Infinity,
    isHeld: false,
    revision: 0,
    receivedFrom: null,
  };
}

/** Description of a quarantined request, for its refusal and for operators. */
export interface QuarantinedRequest {
  request: string;
  target: string;
  /** Server processes that crashed while they ran it. */
  runs: readonly string[];
  /** Milliseconds until it is released for a trial. */
  left: number;
}

/**
 * Whether record `a` is evicted before record `b` when there are too many
 * records: those of quarantined requests go last, otherwise the one with the
 * oldest crash goes first.
 */
export function isEvictedBefore(a: RequestCrashes, b: RequestCrashes): boolean {
  if (a.isHeld !== b.isHeld) return b.isHeld;
  return a.lastCrashAt < b.lastCrashAt;
}

/** Converts the record of a quarantined request to its description. */
export function toQuarantinedRequest(
  crashes: RequestCrashes,
  now: number,
): QuarantinedRequest {
  const { request, target, runs } = crashes;
  return { request, target, runs, left: quarantinedUntil(crashes) - now };
}

/** Converts a record to the form that is sent to other VMs. */
export function toRecord(crashes: RequestCrashes, now: number): CrashRecord {
  const { request, target, round, runs, excused, lastCrashAt, isHeld } =
    crashes;
  const age = Math.max(0, now - lastCrashAt);
  return { request, target, round, runs, excused, age, isHeld };
}

/** The distinct names that are in either list. */
export function union(a: readonly string[], b: readonly string[]): string[] {
  return [...new Set([...a, ...b])];
}

/** Whether two lists of distinct names contain the same names, in any order. */
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

/**
 * FNV-1a hash, which is not collision-resistant against deliberately chosen
 * inputs.
 */
function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash;
}
