/**
 * The view lease of one router. Before bytes go to a keyed server the router
 * must hold a lease that has not run out on its own monotonic clock, counted
 * from the moment the renewal was asked for.
 *
 * @module
 */
import { majority } from "../membership/index.ts";

/** One renewal that awaits confirmations. */
interface Renewal {
  askedAt: number;
  confirmations: Set<string>;
}

/** Renewals that are kept awaiting answers. */
const MAXIMUM_RENEWALS = 16;

/** Collects confirmations into a lease. Times are monotonic milliseconds. */
export class ViewLease {
  #until = -Infinity;
  #sequence = 0;
  readonly #renewals = new Map<number, Renewal>();

  private constructor(readonly length: number) {}

  /** A lease that has not begun and lasts `length` from each renewal. */
  static create(length: number): ViewLease {
    return new ViewLease(length);
  }

  /** When the lease runs out. */
  get until(): number {
    return this.#until;
  }

  /** Whether the lease still holds. */
  isHeld(now: number): boolean {
    return now < this.#until;
  }

  /** Begins a renewal and returns its sequence number. */
  ask(now: number): number {
    this.#sequence += 1;
    this.#renewals.set(this.#sequence, {
      askedAt: now,
      confirmations: new Set(),
    });
    this.#renewals.delete(this.#sequence - MAXIMUM_RENEWALS);
    return this.#sequence;
  }

  /** Counts the confirmation of one of `witnesses` witnesses. */
  confirm(sequence: number, witness: string, witnesses: number): void {
    const renewal = this.#renewals.get(sequence);
    if (renewal === undefined) return;
    renewal.confirmations.add(witness);
    if (renewal.confirmations.size < majority(witnesses)) return;
    this.#renewals.delete(sequence);
    this.#until = Math.max(this.#until, renewal.askedAt + this.length);
  }

  /** Forgets renewals under way, whose confirmations no longer count. */
  restart(): void {
    this.#renewals.clear();
  }

  /** Gives the lease up at once. */
  release(): void {
    this.restart();
    this.#until = -Infinity;
  }
}
