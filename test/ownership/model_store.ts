/**
 * The store under virtual time: a record of assignments that fences older
 * terms, and a group whose first partition elects one member.
 *
 * @module
 */
import type { Assignment, Records } from "../../src/core/keyspace/index.ts";

interface Member {
  id: string;
  heardAt: number;
}

/** Answer to a conditional write. */
export type Written = "done" | "superseded";

/** Appends of a producer that the store knows again. */
const REMEMBERED_APPENDS = 5;

/** See the module's comment. */
export class ModelStore {
  end = 0;
  #epoch = 0;
  #sequence = 0;
  /** Sequences of the newest appends of the epoch. */
  #appended: number[] = [];
  #term = 0;
  #generation = 0;
  #elected: string | null = null;
  readonly #members = new Map<string, Member>();
  readonly #assignments = new Map<string, Assignment>();

  private constructor(private readonly isKeeping: boolean) {}

  /** An empty store; one that is not `isKeeping` forgets assignments. */
  static create(isKeeping: boolean): ModelStore {
    return new ModelStore(isKeeping);
  }

  /** What is recorded. */
  read(): Records {
    return {
      term: this.#term,
      end: this.end,
      assignments: [...this.#assignments.values()],
    };
  }

  /** Claims a term. All VMs are one producer to the store, so it takes a claim
   * under the same term and sequence for a repeat, also one by another VM, and
   * gives the first answer again, whatever the condition. */
  claim(term: number, at: number, sequence: number): Written {
    if (this.#isRepeat(term, sequence)) return "done";
    if (at !== this.end || term <= this.#epoch) return "superseded";
    this.#epoch = term;
    this.#appended = [];
    this.#note(sequence);
    this.#term = term;
    this.end += 1;
    return "done";
  }

  /** Records assignments; a repeat under the same number changes nothing. */
  write(
    term: number,
    sequence: number,
    assignments: readonly Assignment[],
  ): Written {
    if (term !== this.#epoch) return "superseded";
    if (this.#isRepeat(term, sequence)) return "done";
    if (sequence !== this.#sequence + 1) return "superseded";
    this.#note(sequence);
    this.end += assignments.length;
    if (!this.isKeeping) return "done";
    for (const each of assignments) this.#assignments.set(each.service, each);
    return "done";
  }

  /** Joins the group or stays in it. */
  join(id: string, now: number, timeToLive: number) {
    for (const member of this.#members.values()) {
      if (now - member.heardAt > timeToLive) this.#drop(member.id);
    }
    if (!this.#members.has(id)) this.#generation += 1;
    this.#members.set(id, { id, heardAt: now });
    this.#elected ??= id;
    return {
      generation: this.#generation,
      isElected: this.#elected === id,
    };
  }

  /** Takes a member out at once. */
  leave(id: string): void {
    this.#drop(id);
  }

  /** Elects another member although nobody asked for it. */
  rebalance(draw: () => number): void {
    const ids = [...this.#members.keys()];
    if (ids.length === 0) return;
    this.#generation += 1;
    this.#elected = ids[Math.floor(draw() * ids.length)];
  }

  #isRepeat(term: number, sequence: number): boolean {
    return term === this.#epoch && this.#appended.includes(sequence);
  }

  #note(sequence: number): void {
    this.#sequence = sequence;
    this.#appended.push(sequence);
    this.#appended.splice(0, this.#appended.length - REMEMBERED_APPENDS);
  }

  #drop(id: string): void {
    if (!this.#members.delete(id)) return;
    this.#generation += 1;
    if (this.#elected !== id) return;
    this.#elected = this.#members.keys().next().value ?? null;
  }
}
