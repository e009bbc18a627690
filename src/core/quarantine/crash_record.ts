/**
 * What is known of one request under which backend servers have ended.
 *
 * Two copies merge in any order and any number of times to the same record: a run of
 * a server counts once, however many VMs saw it end, and one that is excused stays
 * excused.
 *
 * @module
 */
import * as z from "zod";

/** Longest fingerprint, in characters. */
const LONGEST_FINGERPRINT = 64;
/** Longest name of a run of a server, in characters. */
const LONGEST_RUN = 300;
/** Runs that a record names at the most; more tell nothing new. */
export const MAXIMUM_RUNS = 16;
/** Longest target that a record shows, in characters. */
export const LONGEST_TARGET = 120;

const runsSchema = z.array(z.string().max(LONGEST_RUN)).max(MAXIMUM_RUNS);

/** Schema of {@linkcode CrashRecord}. */
export const crashRecordSchema = z.object({
  /** Fingerprint of the request. */
  request: z.string().max(LONGEST_FINGERPRINT),
  /** Host and path, cut short, for people. */
  target: z.string().max(LONGEST_TARGET),
  /** How often it was held back and let through again for a trial. */
  round: z.number().int().nonnegative(),
  /** Runs of servers that have ended under it, since that. */
  runs: runsSchema,
  /** Runs that ended under it and no longer count: since it was answered, since
   * another request accounts for them, or since it is on trial. */
  excused: runsSchema,
  /** Milliseconds since a server ended under it last. */
  age: z.number().nonnegative(),
  /** Whether it is held back by who tells this. */
  isHeld: z.boolean(),
});

/** A record as it is told to other VMs. */
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/** Ends under a request before it is held back: under one and two an innocent one may
 * have been, beside the one that is to blame. */
const TOLERATED_ENDS = 3;
/** The same for one that was held back before and is on trial. */
const TOLERATED_ON_TRIAL = 1;
/** Time for an answer to a doubtful request to be heard of, in milliseconds: a report
 * to the holder, which may wait for half a second, its word to all, and an answer. */
const HEARING = 1_000;
/** Time for which an answer speaks for a request, in milliseconds: about as long as a
 * registry takes to tell of a server's end. */
const TRUST_TIME = 5_000;
/** Time for which a request is held back first, in milliseconds; doubles with each
 * trial that ends a server again. So long a service that was mended stays closed
 * to it. */
const FIRST_HOLD = 120_000;
const LONGEST_HOLD = 3_600_000;
/** Time for which anything else is remembered, in milliseconds: repeats that are
 * further apart end a server each time. */
const MEMORY = 600_000;

/** A record as a VM keeps it. Times are milliseconds of its clock. */
export interface KnownCrashes {
  request: string;
  target: string;
  round: number;
  runs: string[];
  excused: string[];
  lastAt: number;
  /** When a server answered it last, as seen here. */
  answeredAt: number;
  /** Since when it is close to being held back, or should be; Infinity before. */
  doubtfulSince: number;
  /** Whether it is held back; it then is until {@linkcode heldUntil}. */
  isHeld: boolean;
  /** Number of the last change to it, in this process. */
  revision: number;
  /** The VM that has told just what is known here; null when none is known to have
   * all of it. */
  knownAt: string | null;
}

/** Whether so many servers have ended under a request that it should be held back. */
export function isConvicted({ round, runs }: KnownCrashes): boolean {
  const tolerated = round === 0 ? TOLERATED_ENDS : TOLERATED_ON_TRIAL;
  return runs.length >= tolerated;
}

/** Whether one more end under a request, or none, is enough for that. */
export function isDoubtful({ round, runs }: KnownCrashes): boolean {
  return runs.length >= (round === 0 ? TOLERATED_ENDS - 1 : TOLERATED_ON_TRIAL);
}

/** When a convicted request is held back, unless it is answered before: one that
 * many callers make at once may be at work wherever a server ends, and is answered
 * by others meanwhile. All VMs know by then that its answers count. */
export function heldFrom({ doubtfulSince }: KnownCrashes): number {
  return doubtfulSince + HEARING;
}

/** How long a request is held back in a round. */
function holdTime(round: number): number {
  return Math.min(LONGEST_HOLD, FIRST_HOLD * 2 ** round);
}

/** When a request that is held back is let through again for a trial. */
export function heldUntil({ round, lastAt }: KnownCrashes): number {
  return lastAt + holdTime(round);
}

/** When a record of a request that is not held back is forgotten. */
export function forgottenAt({ round, lastAt }: KnownCrashes): number {
  return lastAt + MEMORY + (round === 0 ? 0 : holdTime(round - 1));
}

/** Whether all VMs should know of a request: that it is held back, or is close to
 * it, or no longer is. One that is answered somewhere is then cleared everywhere. */
export function isNotable({ round, runs, excused }: KnownCrashes): boolean {
  return round > 0 || runs.length + excused.length >= TOLERATED_ENDS - 1;
}

/** Whether a request was answered so lately that an end under it says nothing of it:
 * one that many callers make is at work wherever a server ends. */
export function isTrusted({ answeredAt }: KnownCrashes, now: number): boolean {
  return now - answeredAt <= TRUST_TIME;
}

/** A record of a request under which nothing has ended yet. */
export function newCrashes(
  request: string,
  target: string,
  round: number,
  lastAt: number,
): KnownCrashes {
  return {
    request,
    target: target.slice(0, LONGEST_TARGET),
    round,
    runs: [],
    excused: [],
    lastAt,
    answeredAt: -Infinity,
    doubtfulSince: Infinity,
    isHeld: false,
    revision: 0,
    knownAt: null,
  };
}

/** A request that is held back. */
export interface Hold {
  request: string;
  target: string;
  /** Runs of servers that have ended under it. */
  runs: readonly string[];
  /** Milliseconds until it is let through for a trial. */
  left: number;
}

/** Whether one record goes before another when there are too many. */
export function isBefore(a: KnownCrashes, b: KnownCrashes): boolean {
  if (a.isHeld !== b.isHeld) return b.isHeld;
  return a.lastAt < b.lastAt;
}

/** How a request is held back. */
export function holdOf(crashes: KnownCrashes, now: number): Hold {
  const { request, target, runs } = crashes;
  return { request, target, runs, left: heldUntil(crashes) - now };
}

/** A record as it is told now. */
export function toRecord(crashes: KnownCrashes, now: number): CrashRecord {
  const { request, target, round, runs, excused, lastAt, isHeld } = crashes;
  const age = Math.max(0, now - lastAt);
  return { request, target, round, runs, excused, age, isHeld };
}

/** Names that are in one list or the other. */
export function union(a: readonly string[], b: readonly string[]): string[] {
  return [...new Set([...a, ...b])];
}

/** Whether two lists have the same names. */
export function isSame(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((each) => b.includes(each));
}

/** A number that tells the states of two sets of records apart, whatever their
 * order. */
export function digestOf(records: readonly KnownCrashes[]): number {
  let digest = 0;
  for (const { request, round, runs, excused } of records) {
    const state = `${request} ${round} ${runs.length} ${excused.length}`;
    digest ^= hash32(state);
  }
  return digest >>> 0;
}

/** FNV-1a: tells two states apart that are not made to look alike. */
function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash;
}
