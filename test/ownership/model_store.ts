/**
 * The store under virtual time: a log of assignments that rejects writes of
 * older terms, and a group that elects one of its members. (The actual store
 * distributes partitions, and the member with the first one is elected.)
 *
 * @module
 */
import type {
  ClaimedTerm,
  RecordedAssignment,
  TermRecords,
} from "../../src/core/keyspace/index.ts";

interface Member {
  id: string;
  joinedAt: number;
}

/** Result of a conditional write. */
export type WriteResult = "done" | "superseded";

/** Number of most recent appends of a producer that the store deduplicates. */
const DEDUPLICATED_APPENDS = 5;

/** All that a store keeps, as it was at some time. */
export interface ModelStoreCopy {
  at: number;
  end: number;
  epoch: number;
  sequence: number;
  appended: number[];
  term: number;
  generation: number;
  elected: string | null;
  members: Member[];
  assignments: RecordedAssignment[];
  claimed: Omit<ClaimedTerm, "term">;
}

/** See the module's comment. */
export class ModelStore {
  /** Position after the last record of the log. */
  end = 0;
  #epoch = 0;
  #sequence = 0;
  /** Sequence numbers of the most recent appends of the epoch. */
  #appended: number[] = [];
  #term = 0;
  #generation = 0;
  #elected: string | null = null;
  readonly #members = new Map<string, Member>();
  readonly #assignments = new Map<string, RecordedAssignment>();
  /** What the record of the newest term states besides its number. */
  #claimed: Omit<ClaimedTerm, "term"> = { era: null, isUnconfirmed: false };

  private constructor(private readonly isDurable: boolean) {}

  /**
   * Creates an empty store; one that is not `isDurable` discards assignments.
   */
  static create(isDurable: boolean): ModelStore {
    return new ModelStore(isDurable);
  }

  /** Returns the recorded term and assignments. */
  read(): TermRecords {
    return {
      term: this.#term,
      ...this.#claimed,
      end: this.end,
      assignments: [...this.#assignments.values()],
    };
  }

  /**
   * Returns the store as it is now, for {@linkcode ModelStore.restore}. `now`
   * is the time.
   */
  copy(now: number): ModelStoreCopy {
    return {
      at: now,
      end: this.end,
      epoch: this.#epoch,
      sequence: this.#sequence,
      appended: [...this.#appended],
      term: this.#term,
      generation: this.#generation,
      elected: this.#elected,
      members: [...this.#members.values()].map((each) => ({ ...each })),
      assignments: [...this.#assignments.values()],
      claimed: this.#claimed,
    };
  }

  /**
   * Returns to a copy. All that was written since is lost. Memberships have as
   * long left as they had then.
   */
  restore(copy: ModelStoreCopy, now: number): void {
    this.end = copy.end;
    this.#epoch = copy.epoch;
    this.#sequence = copy.sequence;
    this.#appended = [...copy.appended];
    this.#term = copy.term;
    this.#generation = copy.generation;
    this.#elected = copy.elected;
    this.#claimed = copy.claimed;
    this.#members.clear();
    for (const { id, joinedAt } of copy.members) {
      this.#members.set(id, { id, joinedAt: joinedAt + now - copy.at });
    }
    this.#assignments.clear();
    for (const each of copy.assignments) {
      this.#assignments.set(each.service, each);
    }
  }

  /**
   * Claims a term if the log still ends at `expectedEnd`. All VMs append as the
   * same producer, so the store treats a claim with the same term and sequence
   * number as a retry, even if another VM sent it. It then returns the first
   * result again and does not check the condition.
   */
  claim(
    { term, era, isUnconfirmed }: ClaimedTerm,
    expectedEnd: number,
    sequence: number,
  ): WriteResult {
    if (this.#isRepeat(term, sequence)) return "done";
    if (expectedEnd !== this.end || term <= this.#epoch) return "superseded";
    this.#epoch = term;
    this.#appended = [];
    this.#recordAppend(sequence);
    this.#term = term;
    this.#claimed = { era, isUnconfirmed };
    this.end += 1;
    return "done";
  }

  /**
   * Records assignments; a retry with the same sequence number changes nothing.
   */
  write(
    term: number,
    sequence: number,
    assignments: readonly RecordedAssignment[],
  ): WriteResult {
    if (term < this.#epoch) return "superseded";
    if (this.#isRepeat(term, sequence)) return "done";
    const isNewEpoch = term > this.#epoch;
    if (!isNewEpoch && sequence !== this.#sequence + 1) return "superseded";
    // The store accepts the first append of a newer epoch with any sequence: it
    // has lost the claim.
    if (isNewEpoch) {
      this.#epoch = term;
      this.#appended = [];
    }
    this.#recordAppend(sequence);
    this.end += assignments.length;
    if (!this.isDurable) return "done";
    for (const each of assignments) this.#assignments.set(each.service, each);
    return "done";
  }

  /**
   * Joins the group or renews the membership. Members that have not done so
   * within `timeToLive` are removed.
   */
  join(id: string, now: number, timeToLive: number) {
    for (const member of this.#members.values()) {
      if (now - member.joinedAt > timeToLive) this.#remove(member.id);
    }
    if (!this.#members.has(id)) this.#generation += 1;
    this.#members.set(id, { id, joinedAt: now });
    this.#elected ??= id;
    return {
      generation: this.#generation,
      isElected: this.#elected === id,
    };
  }

  /** Removes a member. */
  leave(id: string): void {
    this.#remove(id);
  }

  /**
   * Elects a random member, like a rebalance of the group that no member
   * caused.
   */
  rebalance(draw: () => number): void {
    const ids = [...this.#members.keys()];
    if (ids.length === 0) return;
    this.#generation += 1;
    this.#elected = ids[Math.floor(draw() * ids.length)];
  }

  #isRepeat(term: number, sequence: number): boolean {
    return term === this.#epoch && this.#appended.includes(sequence);
  }

  #recordAppend(sequence: number): void {
    this.#sequence = sequence;
    this.#appended.push(sequence);
    this.#appended.splice(0, this.#appended.length - DEDUPLICATED_APPENDS);
  }

  #remove(id: string): void {
    if (!this.#members.delete(id)) return;
    this.#generation += 1;
    if (this.#elected !== id) return;
    this.#elected = this.#members.keys().next().value ?? null;
  }
}
