/**
 * Decides when this VM is the term holder.
 *
 * The store elects one member of a group, the electorate; a VM that does not
 * stand for election is an observer instead. The elected VM reads what is recorded
 * and claims the next term by a write that the store accepts only if nothing
 * was written since; from then on it refuses the writes of older terms. The
 * holder's authority to send orders is bounded by its last confirmed membership
 * call, on its own monotonic clock.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import type { Assignment } from "./assignment.ts";
import { Candidacy } from "./candidacy.ts";
import type { Exposure } from "./exposure.ts";
import type { KeyLoads } from "./key_load.ts";
import type { Group, KeyspaceEffect, OrderOutcome } from "./keyspace_effect.ts";
import type { LeaseTiming } from "./lease_timing.ts";
import { TermHolder } from "./term_holder.ts";

/** Pause between membership calls, in milliseconds: a third of the time after
 * which the store takes a silent member out. */
export const JOIN_INTERVAL = 350;
/** The same pause of an observer, whose calls only tell whether the store
 * answers: shorter than the silence after which it counts as lost. */
const OBSERVER_INTERVAL = 1_000;
/** The same while the term holder tells all that is new: such a VM calls only so
 * that it notices when the store is lost. One call a second of 177 observers is a
 * fifth of what the calls of 195 VMs cost on a quiet day (worked out). */
const TOLD_INTERVAL = 5_000;
/** Longest time after its start for which a VM waits to read who held the term
 * last, in milliseconds. Until then it does not know whether a fitter VM lives;
 * standing for election and leaving again moves the place around, which cost the
 * first holder its term when 72 VMs started at once. A store that does not tell
 * in that time is hardly one that elects. */
const LONGEST_LOOK = 1_000;
/** Time for which the election must stand before a term is claimed, in
 * milliseconds: many members that join at once move it around. */
const SETTLE_TIME = 60;
/** The same pause while this VM is elected and waits for that, and while members
 * come and go: after all VMs were killed no key is held until a term is claimed. */
const SETTLING_INTERVAL = 100;
/** Age of the last confirmed membership call up to which the store cannot have
 * taken this VM for silent, in milliseconds. */
const CERTAIN_TIME = 2 * JOIN_INTERVAL;
/** Time after the sending of a membership call by which no other VM can have
 * claimed a term because of it, in milliseconds: half the time for which an
 * election must stand. */
const CERTAIN_CALL_TIME = SETTLE_TIME / 2;
/** Pause after a claim that failed, in milliseconds. */
const CLAIM_PAUSE = 200;

/** The answer to a membership call. */
export interface Membership {
  /** Grows with each change of the group. */
  generation: number;
  group: Group;
  /** Whether this VM is the elected one. */
  isElected: boolean;
  /** When the call was sent. */
  sentAt: number;
}

/** What is recorded of all services. */
export interface Records {
  /** Newest term that was claimed. */
  term: number;
  /** Where the record ends. */
  end: number;
  assignments: Assignment[];
}

/** How a write to the record ended: it is done, a newer term or another writer
 * was found, or it has to be sent again, which changes nothing if it was done. */
export type WriteOutcome = "done" | "superseded" | "again";

type Phase =
  | { kind: "follower" }
  | { kind: "settling"; since: number; generation: number }
  | { kind: "reading" }
  | { kind: "claiming"; records: Records }
  | { kind: "pausing"; until: number }
  | { kind: "leading"; holder: TermHolder };

/** See the module's comment. */
export class TermCampaign {
  #phase: Phase = { kind: "follower" };
  /** The newest holder that this VM was, also when it is none any more. */
  #last: TermHolder | null = null;
  #group: Group = "observers";
  #generation = 0;
  #startedAt: number | null = null;
  #isHolderRead = false;
  #authorityEnd = -Infinity;
  /** When the last confirmed membership call was sent. */
  #confirmedAt = -Infinity;
  /** When the first one was sent that has got no answer since, or null. */
  #unansweredSince: number | null = null;
  #joinDueAt = -Infinity;
  #isJoining = false;
  #isRetired = false;
  #orderCount = 0;

  private constructor(
    private readonly timing: LeaseTiming,
    private readonly fleet: Fleet,
    private readonly loads: KeyLoads,
    private readonly candidacy: Candidacy,
  ) {}

  /** A campaign of a VM of this fitness that is not elected yet. */
  static create(
    timing: LeaseTiming,
    fleet: Fleet,
    loads: KeyLoads,
    fitness: number,
  ): TermCampaign {
    return new TermCampaign(timing, fleet, loads, Candidacy.create(fitness));
  }

  /** Fitness of this VM. */
  get fitness(): number {
    return this.candidacy.fitness;
  }

  /** Fitness of the fittest VM that is heard of, this one included. */
  fittest(now: number): number {
    return this.candidacy.fittest(now);
  }

  /** Another VM of this fitness is heard of. */
  hearFitness(fitness: number, now: number): void {
    this.candidacy.hear(fitness, now);
  }

  /** The store has told who held the term last, if anybody did. */
  holderRead(): void {
    this.#isHolderRead = true;
  }

  /** The holder while this VM leads, or null. */
  get holder(): TermHolder | null {
    return this.#phase.kind === "leading" ? this.#phase.holder : null;
  }

  /** Whether this VM stands for election no more, since it is about to stop. */
  get isRetired(): boolean {
    return this.#isRetired;
  }

  /** Whether this VM stands by for fitter ones. */
  get isObserver(): boolean {
    return this.#group === "observers";
  }

  /** What this VM is doing about the term, for operators. */
  get phase(): Phase["kind"] {
    return this.#phase.kind;
  }

  /** A membership call was answered. */
  joined(membership: Membership, now: number): void {
    this.#isJoining = false;
    if (membership.group !== this.#group) return;
    this.#joinDueAt = membership.sentAt + this.#joinInterval(membership);
    this.#generation = Math.max(this.#generation, membership.generation);
    if (this.#isRetired) return;
    if (!membership.isElected) {
      this.#phase = { kind: "follower" };
      return;
    }
    this.#authorityEnd = membership.sentAt + this.timing.authority;
    this.#confirmedAt = membership.sentAt;
    this.#unansweredSince = null;
    this.#settle(membership.generation, now);
  }

  /** A membership call failed; it is repeated. */
  joinFailed(now: number): void {
    this.#isJoining = false;
    const isStanding = this.#group === "electorate";
    this.#joinDueAt = now +
      (isStanding ? JOIN_INTERVAL : OBSERVER_INTERVAL) / 2;
  }

  /** The record was read, or could not be (null). */
  read(records: Records | null, now: number): KeyspaceEffect[] {
    if (this.#phase.kind !== "reading") return [];
    if (records === null) return this.#pause(now);
    this.#phase = { kind: "claiming", records };
    const term = Math.max(records.term + 1, this.#generation);
    return [{ kind: "term.claim", term, end: records.end }];
  }

  /** A claim was answered. */
  claimed(term: number, outcome: WriteOutcome, now: number): KeyspaceEffect[] {
    if (this.#phase.kind !== "claiming") return [];
    if (outcome !== "done") return this.#pause(now);
    const { records } = this.#phase;
    const holder = TermHolder.create(
      term,
      records.assignments,
      this.timing,
      this.fleet,
      this.loads,
      () => this.#orderCount += 1,
      now,
    );
    const former = this.#last;
    if (former?.term === records.term) {
      holder.relieve(former.exposures(now), now);
    }
    this.#last = holder;
    this.#phase = { kind: "leading", holder };
    const formerTerm = records.term;
    // VMs that start and read it stand by for a fitter one that this VM stands in
    // for.
    const fitness = this.fittest(now);
    return [{ kind: "holder.announce", term, formerTerm, fitness }];
  }

  /** A write of the holder was answered. */
  written(term: number, outcome: WriteOutcome, now: number): KeyspaceEffect[] {
    if (this.holder?.term !== term) return [];
    if (outcome === "superseded") return this.#pause(now);
    if (outcome === "done") this.holder.record.written();
    else this.holder.record.writeAgain(now);
    return [];
  }

  /** An order was answered. */
  ordered(id: number, outcome: OrderOutcome, now: number): KeyspaceEffect[] {
    const holder = this.holder;
    if (holder === null || holder.ordered(id, outcome, now)) return [];
    return this.#pause(now);
  }

  /** Takes all steps that are due; `isTold` when the holder's word does for this
   * VM's own calls, `isTimerEvent` in the step of a timer event. */
  advance(
    services: readonly string[],
    now: number,
    storeSilence: number,
    isTold: boolean,
    isTimerEvent = true,
  ): KeyspaceEffect[] {
    const effects: KeyspaceEffect[] = [];
    this.#startedAt ??= now;
    const hasLooked = this.#isHolderRead ||
      now >= this.#startedAt + LONGEST_LOOK;
    if (!this.#isRetired && hasLooked) {
      effects.push(...this.#chooseGroup(now));
    }
    const rest = isTold && this.isObserver
      ? TOLD_INTERVAL - OBSERVER_INTERVAL
      : 0;
    const isJoinDue = now >= this.#joinDueAt + rest ||
      this.holder?.isStoreWanted;
    if (!this.#isJoining && !this.#isRetired && isJoinDue) {
      this.#isJoining = true;
      this.#unansweredSince ??= now;
      const group = this.#group;
      effects.push({ kind: "group.join", group, generation: this.#generation });
    }
    const phase = this.#phase;
    if (phase.kind !== "follower" && now >= this.#authorityEnd) {
      this.#phase = { kind: "follower" };
    } else if (phase.kind === "settling") {
      if (now - phase.since >= SETTLE_TIME) effects.push(...this.#startRead());
    } else if (phase.kind === "pausing") {
      if (now >= phase.until) effects.push(...this.#startRead());
    } else if (phase.kind === "leading") {
      effects.push(
        ...phase.holder.advance(
          services,
          now,
          this.#authorityEnd,
          storeSilence,
          this.#isUncontested(now),
          isTimerEvent,
        ),
      );
    }
    return effects;
  }

  /**
   * Another VM has claimed `term`: this one gives no orders of older terms from
   * here on. Returns until when servers may hold keys by its grants, or null
   * when it was not the holder of `formerTerm`.
   */
  yieldTo(
    term: number,
    formerTerm: number,
    now: number,
  ): readonly Exposure[] | null {
    const last = this.#last;
    if (last === null || last.term !== formerTerm || term <= last.term) {
      return null;
    }
    if (this.holder === last) this.#phase = { kind: "follower" };
    return last.exposures(now);
  }

  /** The clock may be ahead of the time that has gone by: servers may hold keys for
   * longer than it says. The term goes, with all that was reckoned of its grants; a
   * successor, this VM or another, assumes the worst of them. */
  doubtTime(): void {
    this.#phase = { kind: "follower" };
    this.#last = null;
    this.#authorityEnd = -Infinity;
    this.#confirmedAt = -Infinity;
    this.#joinDueAt = -Infinity;
  }

  /** Gives the term up for good, since the process is about to stop. */
  retire(): KeyspaceEffect[] {
    this.#isRetired = true;
    this.#phase = { kind: "follower" };
    return [{ kind: "group.leave", group: this.#group }];
  }

  /**
   * Whether no other VM can have claimed a term by now. The store passes the
   * place on when its member calls, leaves or falls silent; a call without an
   * answer may have done it.
   */
  #isUncontested(now: number): boolean {
    const callEnd = (this.#unansweredSince ?? now) + CERTAIN_CALL_TIME;
    return now < this.#confirmedAt + CERTAIN_TIME && now < callEnd;
  }

  /** Joins the group that this VM belongs to now. It leaves the electorate with a
   * call: the store could still elect a member that has only fallen silent. */
  #chooseGroup(now: number): KeyspaceEffect[] {
    const isElected = this.#phase.kind !== "follower";
    const isStanding = this.candidacy.isStanding(now, isElected);
    const group = isStanding ? "electorate" : "observers";
    if (group === this.#group) return [];
    const former = this.#group;
    const hasJoined = this.#generation > 0;
    this.#group = group;
    this.#generation = 0;
    this.#joinDueAt = now;
    this.#phase = { kind: "follower" };
    const mustLeave = former === "electorate" && hasJoined;
    return mustLeave ? [{ kind: "group.leave", group: former }] : [];
  }

  /** The store passes the place on only after the member that had it has called
   * again, so calls come fast while the group changes. */
  #joinInterval({ isElected, group, generation }: Membership): number {
    if (group === "observers") return OBSERVER_INTERVAL;
    const isChanging = generation !== this.#generation;
    const isSettling = isElected && this.holder === null;
    return isSettling || isChanging ? SETTLING_INTERVAL : JOIN_INTERVAL;
  }

  #settle(generation: number, now: number): void {
    const phase = this.#phase;
    const isNew = phase.kind === "follower";
    const hasMoved = phase.kind === "settling" &&
      phase.generation !== generation;
    if (isNew || hasMoved) {
      this.#phase = { kind: "settling", since: now, generation };
    }
  }

  #startRead(): KeyspaceEffect[] {
    this.#phase = { kind: "reading" };
    return [{ kind: "term.read" }];
  }

  #pause(now: number): KeyspaceEffect[] {
    this.#phase = { kind: "pausing", until: now + CLAIM_PAUSE };
    return [];
  }
}
