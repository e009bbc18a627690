/**
 * Keeps the membership in the log true: the term holder names the processes
 * that it hears, and leaves out those that it has not heard for a while.
 *
 * @module
 */
import type { LogRecord, SiteLedger, Start } from "../ledger/index.ts";
import {
  chooseWitnesses,
  includesMember,
  isBlocked,
  type Liveness,
  type Member,
  sameMember,
} from "../membership/index.ts";
import { isReplaced } from "./term_opening.ts";
import type { OwnershipTiming } from "./timing.ts";

/** What a change of membership is decided upon. */
export interface MembershipInput {
  now: number;
  site: string;
  self: Member;
  /** When this process became the holder. */
  heldSince: number;
  ledger: SiteLedger;
  liveness: Liveness;
  timing: OwnershipTiming;
}

/**
 * The record that brings the membership up to date, or null when it is. Nothing
 * is written by a holder that does not hear a majority of the witnesses: it may
 * be the one that is cut off.
 */
export function membershipRecord(input: MembershipInput): LogRecord | null {
  const { ledger, self } = input;
  if (!hearsMajority(input)) return null;
  const members = ledger.starts
    .filter((start) => isPresent(input, start))
    .map(toMember)
    .sort((a, b) => a.incarnation - b.incarnation);
  if (!members.some((member) => sameMember(member, self))) return null;
  const current = ledger.membership;
  const witnesses = chooseWitnesses(members, current.witnesses);
  const settled = sameMembers(ledger.previousWitnesses, current.witnesses);
  const unchanged = sameMembers(members, current.members) &&
    sameMembers(witnesses, current.witnesses);
  if (unchanged && settled) return null;
  return {
    kind: "membership.changed",
    site: input.site,
    term: ledger.term.offset,
    basedOn: current.offset,
    members,
    // Witnesses change in two steps: the set that was just chosen first stands
    // alone in a record of its own before another replaces it.
    witnesses: settled ? witnesses : current.witnesses,
  };
}

function hearsMajority({ ledger, self, ...input }: MembershipInput): boolean {
  const { witnesses } = ledger.membership;
  const since = input.now - 2 * input.timing.renewal;
  return witnesses.length === 0 ||
    isBlocked(
      witnesses,
      (witness) =>
        sameMember(witness, self) || isReplaced(ledger, witness) ||
        input.liveness.lastHeard(witness.vm, witness.incarnation) >= since,
    );
}

function isPresent(input: MembershipInput, start: Start): boolean {
  if (sameMember(start, input.self)) return true;
  const heard = input.liveness.lastHeard(start.vm, start.incarnation);
  const since = input.now - input.timing.memberTimeout;
  if (heard >= since) return true;
  const { members } = input.ledger.membership;
  const isNamed = includesMember(members, start.vm, start.incarnation);
  return isNamed && input.heldSince >= since;
}

function toMember({ nonce: _, ...member }: Start): Member {
  return member;
}

function sameMembers(a: readonly Member[], b: readonly Member[]): boolean {
  return a.length === b.length &&
    a.every((member) => includesMember(b, member.vm, member.incarnation));
}
