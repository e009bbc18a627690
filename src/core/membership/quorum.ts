/**
 * Majorities of witnesses. Nothing is voted on: a majority only keeps the lease
 * of an old view apart from the grants of a new one.
 *
 * @module
 */
import { includesMember, type Member } from "./member.ts";

/** Most witnesses that a membership names. */
export const MAXIMUM_WITNESSES = 5;

/** How many of `size` witnesses make a majority. */
export function majority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Whether the witnesses for which `stopped` holds are so many that the others
 * make no majority any more: no lease can be renewed without one of them.
 * An empty set is blocked, since it cannot renew anything.
 */
export function isBlocked(
  witnesses: readonly Member[],
  stopped: (witness: Member) => boolean,
): boolean {
  const able = witnesses.filter((each) => !stopped(each)).length;
  return able < majority(witnesses.length);
}

/**
 * Chooses witnesses among `members`: an odd number, at most
 * {@linkcode MAXIMUM_WITNESSES}, keeping those of `current` that are still
 * members and spreading the rest over the availability zones.
 */
export function chooseWitnesses(
  members: readonly Member[],
  current: readonly Member[],
): Member[] {
  const odd = members.length - (members.length + 1) % 2;
  const wanted = Math.min(MAXIMUM_WITNESSES, odd);
  const chosen = members.filter((member) =>
    includesMember(current, member.vm, member.incarnation)
  ).slice(0, wanted);
  while (chosen.length < wanted) {
    const free = members.filter((member) => !chosen.includes(member));
    chosen.push(leastRepresented(free, chosen));
  }
  return chosen;
}

function leastRepresented(free: Member[], chosen: Member[]): Member {
  const count = (member: Member) =>
    chosen.filter((each) => each.availabilityZone === member.availabilityZone)
      .length;
  return free.reduce((best, each) => count(each) < count(best) ? each : best);
}
