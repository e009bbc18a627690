/**
 * Decides when this process claims the term of its site: when the holder has
 * not been heard for a while, each member after a delay of its own, so that
 * claims rarely meet. Where they do, the log's order decides.
 *
 * @module
 */
import type { LogRecord, SiteLedger } from "../ledger/index.ts";
import {
  includesMember,
  type Liveness,
  type Member,
  sameMember,
} from "../membership/index.ts";
import { isReplaced } from "./term_opening.ts";
import type { OwnershipTiming } from "./timing.ts";

/** What a claim is decided upon. */
export interface ClaimInput {
  now: number;
  site: string;
  self: Member;
  ledger: SiteLedger;
  liveness: Liveness;
  timing: OwnershipTiming;
}

/** Time after which an unanswered claim is written again, in milliseconds. */
const CLAIM_RETRY = 1_000;

/** Watches the holder of the term. */
export class TermClaim {
  #term = -1;
  #since = 0;
  #claimedAt = -Infinity;

  private constructor() {}

  /** Has seen no term yet. */
  static create(): TermClaim {
    return new TermClaim();
  }

  /** The record that claims the term, or null while it is not time. */
  decide(input: ClaimInput): LogRecord | null {
    const { now, ledger, self, timing } = input;
    const { term } = ledger;
    if (term.offset !== this.#term) {
      this.#term = term.offset;
      this.#since = now;
      this.#claimedAt = -Infinity;
    }
    const isOwn = term.vm === self.vm && term.incarnation === self.incarnation;
    if (isOwn) return null;
    const silentSince = this.#silentSince(input);
    if (now < silentSince || now < this.#claimedAt + CLAIM_RETRY) return null;
    const delay = rank(ledger, self) * timing.claimSpacing;
    if (now < silentSince + delay) return null;
    this.#claimedAt = now;
    return {
      kind: "term.claimed",
      site: input.site,
      vm: self.vm,
      incarnation: self.incarnation,
      basedOn: term.offset,
    };
  }

  /** Since when the holder counts as silent; the future while it does not. */
  #silentSince({ ledger, liveness, timing }: ClaimInput): number {
    const { term } = ledger;
    const holder: Member = {
      vm: term.vm,
      incarnation: term.incarnation,
      availabilityZone: "",
      peerAddress: "",
      startedAt: 0,
    };
    if (term.offset === 0 || isReplaced(ledger, holder)) return this.#since;
    const heard = liveness.lastHeard(term.vm, term.incarnation);
    return Math.max(heard, this.#since) + timing.holderTimeout;
  }
}

/** Members come first, in their order, then processes that just started. */
function rank(ledger: SiteLedger, self: Member): number {
  const { members } = ledger.membership;
  const live = members.filter((member) => !isReplaced(ledger, member));
  const index = live.findIndex((member) => sameMember(member, self));
  if (index >= 0) return index;
  const starts = ledger.starts.filter((start) =>
    !includesMember(live, start.vm, start.incarnation)
  );
  const position = starts.findIndex((start) => sameMember(start, self));
  return live.length + Math.max(0, position);
}
