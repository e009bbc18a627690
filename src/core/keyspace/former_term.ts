/**
 * The former term of a VM after the store has returned from a copy: its servers
 * confirm which of them hold which keys, for the next term of this VM or for a
 * successor.
 *
 * @module
 */
import type { ConfirmedRange } from "./assignment.ts";
import type { KeyspaceEffect } from "./keyspace_effect.ts";
import {
  confirmationEnd,
  type LeaseTiming,
  predecessorGrantsEnd,
} from "./lease_timing.ts";
import type { OutstandingLease } from "./outstanding_lease.ts";
import type { TermHolder } from "./term_holder.ts";

/** What a former term holder sends to its successor. */
export interface TermYield {
  /** Address of the VM that holds the newer term. */
  address: string;
  toTerm: number;
  leases: readonly OutstandingLease[];
  confirmed: readonly ConfirmedRange[];
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class FormerTerm {
  /** The successor that waits for the confirmed ranges, or null. */
  #successor: { address: string; term: number } | null = null;

  private constructor(
    readonly holder: TermHolder,
    private readonly renewalEnd: number,
    private readonly expiryAt: number,
  ) {}

  /**
   * Begins to confirm the ranges of `holder`, which sent its last confirmed
   * membership call at `confirmedAt`.
   */
  static create(
    holder: TermHolder,
    confirmedAt: number,
    timing: LeaseTiming,
    now: number,
  ): FormerTerm {
    holder.beginConfirmation(now);
    return new FormerTerm(
      holder,
      confirmationEnd(confirmedAt, timing),
      predecessorGrantsEnd(confirmedAt, timing),
    );
  }

  /** Returns the orders that are due. */
  advance(now: number, isTimerEvent: boolean): KeyspaceEffect[] {
    return now < this.renewalEnd
      ? this.holder.advanceConfirmation(now, isTimerEvent)
      : [];
  }

  /** Whether no range waits for its confirmation. */
  isSettled(now: number): boolean {
    return this.holder.isConfirmationComplete || now >= this.renewalEnd;
  }

  /**
   * Whether a successor may have assigned confirmed ranges, since all leases of
   * this term have ended.
   */
  isExpired(now: number): boolean {
    return now >= this.expiryAt;
  }

  /**
   * Records that the VM at `address` has claimed `term` and waits for the
   * confirmed ranges of `formerTerm`. Returns whether this is that term.
   */
  setSuccessor(address: string, term: number, formerTerm: number): boolean {
    if (this.holder.term !== formerTerm || term <= formerTerm) return false;
    this.#successor = { address, term };
    return true;
  }

  /** Returns what the successor waits for once it is known, or null. */
  yield(now: number): TermYield | null {
    if (this.#successor === null || !this.isSettled(now)) return null;
    const { address, term: toTerm } = this.#successor;
    return {
      address,
      toTerm,
      leases: this.holder.outstandingLeases(now),
      confirmed: this.holder.confirmedRanges(now),
    };
  }
}
