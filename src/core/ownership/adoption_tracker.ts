/**
 * What the members of a site have adopted and drained, as they report it to the
 * term holder, and who else may still hold a lease.
 *
 * @module
 */
import {
  isBlocked,
  type Member,
  type Membership,
  sameMember,
} from "../membership/index.ts";
import { comparePositions, type Position } from "../position.ts";
import type { HolderContext } from "./holder_context.ts";
import { isReplaced, memberKey } from "./term_opening.ts";
import { leaseBound } from "./timing.ts";

/** How far a member has come. */
export interface Progress {
  adopted: Position;
  drained: Position;
}

/** A process that was left out and may hold a lease for a little longer. */
interface Departure {
  member: Member;
  position: Position;
  until: number | null;
}

/** See the module's comment. */
export class AdoptionTracker {
  readonly #progress = new Map<string, Progress>();
  #departures: Departure[] = [];

  private constructor() {}

  /** Knows of no reports yet. */
  static create(): AdoptionTracker {
    return new AdoptionTracker();
  }

  /** A member reports how far it has come. */
  report(vm: string, incarnation: number, progress: Progress): void {
    this.#progress.set(memberKey(vm, incarnation), progress);
  }

  /** Members that the view at `position` no longer names. */
  depart(old: Membership, next: Membership, position: Position): void {
    const kept = new Set(
      next.members.map((each) => memberKey(each.vm, each.incarnation)),
    );
    for (const member of old.members) {
      if (kept.has(memberKey(member.vm, member.incarnation))) continue;
      this.#departures.push({ member, position, until: null });
    }
  }

  /** Forgets those whose last lease has surely run out. */
  releaseDeparted(context: HolderContext): void {
    if (this.#departures.length === 0) return;
    for (const departure of this.#departures) {
      if (departure.until !== null) continue;
      if (!this.isBlockedAt(context, departure.position)) continue;
      departure.until = context.now + leaseBound(context.timing);
    }
    this.#departures = this.#departures.filter(({ until }) =>
      until === null || context.now < until
    );
  }

  /** Keys of all processes that may hold a lease. */
  leaseHolders({ replica }: HolderContext): Set<string> {
    const departing = this.#departures.map((each) => each.member);
    const all = [...replica.view.membership.members, ...departing];
    return new Set(all.map((each) => memberKey(each.vm, each.incarnation)));
  }

  /** Whether `member` may still hold a lease and has not drained so far. */
  isAwaited(member: string, position: Position, holders: Set<string>): boolean {
    if (!holders.has(member)) return false;
    const progress = this.#progress.get(member);
    return progress === undefined ||
      comparePositions(progress.drained, position) < 0;
  }

  /** Whether no lease on a view before `position` can be renewed any more. */
  isBlockedAt(context: HolderContext, position: Position): boolean {
    const { ledger, replica } = context;
    const stopped = (witness: Member) =>
      isReplaced(ledger, witness) ||
      this.#hasAdopted(context, witness, position);
    const sets = [
      replica.view.membership.witnesses,
      ledger.membership.witnesses,
      ledger.previousWitnesses,
    ];
    return sets.every((set) => set.length === 0 || isBlocked(set, stopped));
  }

  #hasAdopted(
    { self, replica }: HolderContext,
    member: Member,
    position: Position,
  ): boolean {
    const adopted = sameMember(member, self)
      ? replica.view.position
      : this.#progress.get(memberKey(member.vm, member.incarnation))?.adopted;
    return adopted !== undefined && comparePositions(adopted, position) >= 0;
  }
}
