/**
 * The first phase of a term. Its holder collects promises until no lease of an
 * older term can be renewed any more, and takes over the newest view.
 *
 * @module
 */
import type { Effect } from "../effect.ts";
import type { SiteLedger } from "../ledger/index.ts";
import {
  incarnationOf,
  isBlocked,
  majority,
  type Member,
} from "../membership/index.ts";
import { comparePositions, ORIGIN, type Position } from "../position.ts";
import { EMPTY_VIEW } from "./replica.ts";
import type { View } from "./view.ts";

/** What a new term starts from. */
export interface TermBase {
  view: View;
  /**
   * Whether the view holds every grant that was ever in use. Without a live
   * majority of the old witnesses it is only a hint.
   */
  trusted: boolean;
}

/** Identifies one run of a process. */
export function memberKey(vm: string, incarnation: number): string {
  return `${vm}#${incarnation}`;
}

/** Whether a newer run of the same process has started. */
export function isReplaced(ledger: SiteLedger, member: Member): boolean {
  const newest = incarnationOf(ledger.starts, member.vm);
  return newest !== undefined && newest > member.incarnation;
}

/** See the module's comment. */
export class TermOpening {
  readonly #promises = new Map<string, Position>();
  #newest: { member: Member; position: Position } | null = null;

  private constructor(
    readonly term: number,
    private ledger: SiteLedger,
  ) {}

  /** Opens the current term of `ledger`. */
  static create(ledger: SiteLedger): TermOpening {
    return new TermOpening(ledger.term.offset, ledger);
  }

  /** Takes in what the log says since: processes may have been replaced. */
  follow(ledger: SiteLedger): void {
    this.ledger = ledger;
  }

  /** Asks all who have not promised yet. */
  ask(self: Member, out: Effect[]): void {
    for (const member of this.#asked()) {
      if (this.#promises.has(memberKey(member.vm, member.incarnation))) {
        continue;
      }
      if (member.vm === self.vm) continue;
      out.push({
        kind: "peer.send",
        to: member.vm,
        address: member.peerAddress,
        message: { kind: "term.opened", term: this.term },
      });
    }
  }

  /** Counts a promise with the newest position that the member adopted. */
  promise(vm: string, incarnation: number, adopted: Position): void {
    const member = this.#asked().find((each) =>
      each.vm === vm && each.incarnation === incarnation
    );
    if (member === undefined) return;
    this.#promises.set(memberKey(vm, incarnation), adopted);
    const newest = this.#newest?.position ?? ORIGIN;
    if (comparePositions(adopted, newest) > 0) {
      this.#newest = { member, position: adopted };
    }
  }

  /** Whether no lease of an older term can be renewed any more. */
  isSettled(): boolean {
    return this.#witnessSets().every((witnesses) =>
      witnesses.length === 0 ||
      isBlocked(witnesses, (witness) => this.#isStopped(witness))
    );
  }

  /** The member to fetch the newest view from, or null if `own` is it. */
  source(own: Position): Member | null {
    if (this.#newest === null) return null;
    return comparePositions(this.#newest.position, own) > 0
      ? this.#newest.member
      : null;
  }

  /** What the term starts from, given the newest view found. */
  base(view: View): TermBase {
    if (this.ledger.membership.offset === 0) {
      return { view: EMPTY_VIEW, trusted: true };
    }
    const trusted = this.#witnessSets().every((witnesses) => {
      const promised = witnesses.filter((each) => this.#hasPromised(each));
      return witnesses.length === 0 ||
        promised.length >= majority(witnesses.length);
    });
    return { view, trusted };
  }

  #witnessSets(): Member[][] {
    return [this.ledger.membership.witnesses, this.ledger.previousWitnesses];
  }

  #asked(): Member[] {
    return [
      ...this.ledger.membership.members,
      ...this.ledger.previousWitnesses,
    ];
  }

  #hasPromised(witness: Member): boolean {
    return this.#promises.has(memberKey(witness.vm, witness.incarnation));
  }

  #isStopped(witness: Member): boolean {
    return this.#hasPromised(witness) || isReplaced(this.ledger, witness);
  }
}
