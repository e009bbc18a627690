/**
 * Decides whether this VM is the term holder.
 *
 * The store elects one member of a group of VMs, the electorate. A VM that is
 * not a candidate joins the group of observers instead. The elected VM reads
 * the records and claims the next term by a conditional write, which the store
 * accepts only if nothing has been written since the read. From then on the
 * store rejects writes of older terms.
 *
 * Each VM calls the store regularly to stay in its group (membership calls). An
 * answer stating that the VM is the elected member confirms the call.
 *
 * The authority of the term holder to send orders ends a fixed time after it
 * sent its last confirmed membership call, measured by its own monotonic clock.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import type { Assignment } from "./assignment.ts";
import { Candidacy } from "./candidacy.ts";
import type { KeyLoads } from "./key_load.ts";
import type {
  ElectionGroup,
  KeyspaceEffect,
  OrderOutcome,
} from "./keyspace_effect.ts";
import type { LeaseTiming } from "./lease_timing.ts";
import type { OutstandingLease } from "./outstanding_lease.ts";
import { TermHolder } from "./term_holder.ts";

/**
 * Interval between membership calls, in milliseconds: less than a third of the
 * default time after which the store removes a member that does not call.
 */
export const JOIN_INTERVAL = 350;
/**
 * Interval between the membership calls of an observer, in milliseconds. These
 * calls only detect whether the store answers, so the interval is shorter than
 * the time without an answer after which the store counts as unreachable.
 */
const OBSERVER_JOIN_INTERVAL = 1_000;
/**
 * Interval between the membership calls of an observer that receives the store
 * updates from the term holder, in milliseconds. Such a VM needs the calls only
 * to detect that it cannot reach the store. In a cluster of 195 VMs, one call a
 * second from each of 177 observers would be a fifth of the cost of all calls
 * to the store on a day with few requests.
 */
const UPDATED_OBSERVER_JOIN_INTERVAL = 5_000;
/**
 * Time after its start, in milliseconds, after which a VM may become a
 * candidate even if it has not read which VM was the last term holder. Before
 * that read it does not know whether a fitter VM exists. A VM that joins the
 * electorate and leaves it again can change the result of the election: when 72
 * VMs started at once, the first term holder lost its term because of this. A
 * store that does not answer within this time is unlikely to be able to elect a
 * VM.
 */
const HOLDER_READ_TIMEOUT = 1_000;
/**
 * Time for which the election result must stay the same before the elected VM
 * claims a term, in milliseconds. When many members join at once, the result
 * changes repeatedly.
 */
const SETTLE_TIME = 60;
/**
 * Interval between membership calls, in milliseconds, while this VM is elected
 * and waits for the result to settle, and while the group changes. It is short
 * because after a restart of all VMs no server holds keys until a term is
 * claimed.
 */
const SETTLING_JOIN_INTERVAL = 100;
/**
 * Time after sending the last confirmed membership call during which the store
 * cannot have removed this VM for a missing call, in milliseconds.
 */
const CONFIRMED_JOIN_SAFE_TIME = 2 * JOIN_INTERVAL;
/**
 * Time after sending an unanswered membership call during which no other VM can
 * have claimed a term because of that call, in milliseconds: half the time for
 * which an election must stay settled.
 */
const PENDING_JOIN_SAFE_TIME = SETTLE_TIME / 2;
/** Delay after a failed claim before the next one, in milliseconds. */
const CLAIM_RETRY_DELAY = 200;

/** Answer to a membership call. */
export interface Membership {
  /** Number that grows with each change of the group. */
  generation: number;
  group: ElectionGroup;
  /** Whether this VM is the elected member. */
  isElected: boolean;
  /** When the call was sent. */
  sentAt: number;
}

/** Records of all services in the store. */
export interface TermRecords {
  /** Newest term that was claimed. */
  term: number;
  /** Position of the end of the records, for the conditional write. */
  end: number;
  assignments: Assignment[];
}

/**
 * Result of a write of records: it is done, it was rejected because of a newer
 * term or another writer, or it has to be repeated. A repeated write has no
 * effect if the first one was done.
 */
export type WriteOutcome = "done" | "superseded" | "again";

/**
 * Phases of the campaign: not elected, elected but waiting for the result to
 * settle, reading the records, claiming a term, waiting before another attempt,
 * and term holder.
 */
type Phase =
  | { kind: "follower" }
  | { kind: "settling"; since: number; generation: number }
  | { kind: "reading" }
  | { kind: "claiming"; records: TermRecords }
  | { kind: "pausing"; until: number }
  | { kind: "leading"; holder: TermHolder };

/** Runs the election of this VM; see the module's comment. */
export class TermCampaign {
  #phase: Phase = { kind: "follower" };
  /**
   * State of the newest term of which this VM was the holder, kept after that
   * term has ended; null if there is none.
   */
  #latestHolder: TermHolder | null = null;
  #group: ElectionGroup = "observers";
  #generation = 0;
  #startedAt: number | null = null;
  #isHolderRead = false;
  #authorityEnd = -Infinity;
  /** When the last confirmed membership call was sent. */
  #confirmedAt = -Infinity;
  /**
   * When the first membership call since the last confirmed one was sent, or
   * null.
   */
  #unconfirmedSince: number | null = null;
  #joinDueAt = -Infinity;
  #isJoining = false;
  #isRetired = false;
  /** Whether this VM can send orders to servers. */
  #reachesServers = true;
  #orderCount = 0;

  private constructor(
    private readonly timing: LeaseTiming,
    private readonly fleet: Fleet,
    private readonly loads: KeyLoads,
    private readonly candidacy: Candidacy,
  ) {}

  /** Creates the campaign of a VM that has not been elected yet. */
  static create(
    timing: LeaseTiming,
    fleet: Fleet,
    loads: KeyLoads,
    fitness: number,
  ): TermCampaign {
    return new TermCampaign(timing, fleet, loads, Candidacy.create(fitness));
  }

  /** Fitness of this VM; 0 while it cannot send orders to servers. */
  get fitness(): number {
    return this.#reachesServers ? this.candidacy.fitness : 0;
  }

  /** Returns the highest fitness among the known VMs, including this one. */
  highestFitness(now: number): number {
    return this.candidacy.highestFitness(now);
  }

  /** Records the fitness of another VM that is known to run. */
  observeFitness(fitness: number, now: number): void {
    this.candidacy.observe(fitness, now);
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now.
   */
  processStalled(duration: number): void {
    this.candidacy.processStalled(duration);
  }

  /**
   * Records that this VM has read from the store which VM was the last term
   * holder, even if there was none.
   */
  onHolderRead(): void {
    this.#isHolderRead = true;
  }

  /** State of the current term while this VM is the term holder, or null. */
  get holder(): TermHolder | null {
    return this.#phase.kind === "leading" ? this.#phase.holder : null;
  }

  /**
   * Whether this VM has left the election permanently because it is about to
   * stop.
   */
  get isRetired(): boolean {
    return this.#isRetired;
  }

  /** Whether this VM is in the group of observers. */
  get isObserver(): boolean {
    return this.#group === "observers";
  }

  /** Current phase of the campaign, which is also shown to operators. */
  get phase(): Phase["kind"] {
    return this.#phase.kind;
  }

  /**
   * Sets whether this VM can send orders to servers, directly or through other
   * VMs. While it cannot, it is no candidate, and another VM is elected.
   */
  setReachesServers(reachesServers: boolean): void {
    this.#reachesServers = reachesServers;
  }

  /** Handles the answer to a membership call. */
  onJoined(membership: Membership, now: number): void {
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
    this.#unconfirmedSince = null;
    this.#settle(membership.generation, now);
  }

  /** Handles a failed membership call and schedules the next one. */
  onJoinFailed(now: number): void {
    this.#isJoining = false;
    const isCandidate = this.#group === "electorate";
    this.#joinDueAt = now +
      (isCandidate ? JOIN_INTERVAL : OBSERVER_JOIN_INTERVAL) / 2;
  }

  /**
   * Handles the result of reading the records; null if they could not be read.
   */
  onRecordsRead(records: TermRecords | null, now: number): KeyspaceEffect[] {
    if (this.#phase.kind !== "reading") return [];
    if (records === null) return this.#pause(now);
    this.#phase = { kind: "claiming", records };
    const term = Math.max(records.term + 1, this.#generation);
    return [{ kind: "term.claim", term, end: records.end }];
  }

  /** Handles the outcome of a claim. */
  onClaimed(
    term: number,
    outcome: WriteOutcome,
    now: number,
  ): KeyspaceEffect[] {
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
    const former = this.#latestHolder;
    if (former?.term === records.term) {
      holder.applyOutstandingLeases(former.outstandingLeases(now), now);
    }
    this.#latestHolder = holder;
    this.#phase = { kind: "leading", holder };
    const formerTerm = records.term;
    // VMs read the announced fitness when they start, and do not become
    // candidates if theirs is clearly lower. The known VM with the highest
    // fitness may be another one than this term holder.
    const fitness = this.highestFitness(now);
    return [{ kind: "holder.announce", term, formerTerm, fitness }];
  }

  /** Handles the outcome of a write of the term holder. */
  onWritten(
    term: number,
    outcome: WriteOutcome,
    now: number,
  ): KeyspaceEffect[] {
    if (this.holder?.term !== term) return [];
    if (outcome === "superseded") return this.#pause(now);
    if (outcome === "done") this.holder.recordWriter.confirm();
    else this.holder.recordWriter.scheduleRetry(now);
    return [];
  }

  /** Handles the outcome of an order. */
  onOrderEnded(
    id: number,
    outcome: OrderOutcome,
    now: number,
  ): KeyspaceEffect[] {
    const holder = this.holder;
    if (holder === null || holder.onOrderEnded(id, outcome, now)) return [];
    return this.#pause(now);
  }

  /**
   * Takes all steps that are due. `storeSilence` is the time for which the
   * store has not answered, in milliseconds. `hasHolderUpdates` tells whether
   * this VM receives the store updates from the term holder, so that it need
   * not call the store often, and `isTimerEvent` whether this step handles a
   * timer event.
   */
  advance(
    services: readonly string[],
    now: number,
    storeSilence: number,
    hasHolderUpdates: boolean,
    isTimerEvent = true,
  ): KeyspaceEffect[] {
    const effects: KeyspaceEffect[] = [];
    this.#startedAt ??= now;
    const mayChooseGroup = this.#isHolderRead ||
      now >= this.#startedAt + HOLDER_READ_TIMEOUT;
    if (!this.#isRetired && mayChooseGroup) {
      effects.push(...this.#chooseGroup(now));
    }
    const extraInterval = hasHolderUpdates && this.isObserver
      ? UPDATED_OBSERVER_JOIN_INTERVAL - OBSERVER_JOIN_INTERVAL
      : 0;
    const isJoinDue = now >= this.#joinDueAt + extraInterval ||
      this.holder?.isAwaitingStore;
    if (!this.#isJoining && !this.#isRetired && isJoinDue) {
      this.#isJoining = true;
      this.#unconfirmedSince ??= now;
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
   * Ends the authority of this VM because another VM has claimed `term`.
   * Returns the leases that servers may still have from this VM's grants, or
   * null if this VM was not the holder of `formerTerm` or `term` is not newer.
   */
  yieldTo(
    term: number,
    formerTerm: number,
    now: number,
  ): readonly OutstandingLease[] | null {
    const last = this.#latestHolder;
    if (last === null || last.term !== formerTerm || term <= last.term) {
      return null;
    }
    if (this.holder === last) this.#phase = { kind: "follower" };
    return last.outstandingLeases(now);
  }

  /**
   * Gives up the term because the clock may have jumped ahead. Servers may then
   * hold keys for longer than this VM's clock shows, so all lease ends that it
   * has computed are invalid. The next term holder, which may be this VM again,
   * assumes the longest possible leases.
   */
  onClockJumped(): void {
    this.#phase = { kind: "follower" };
    this.#latestHolder = null;
    this.#authorityEnd = -Infinity;
    this.#confirmedAt = -Infinity;
    this.#joinDueAt = -Infinity;
  }

  /** Leaves the election permanently because the process is about to stop. */
  retire(): KeyspaceEffect[] {
    this.#isRetired = true;
    this.#phase = { kind: "follower" };
    return [{ kind: "group.leave", group: this.#group }];
  }

  /**
   * Whether it is certain that no other VM has claimed a term. The store elects
   * another member when the elected one calls, leaves or has not called for too
   * long, so an unanswered call may have caused a new election.
   */
  #isUncontested(now: number): boolean {
    const safeEnd = (this.#unconfirmedSince ?? now) + PENDING_JOIN_SAFE_TIME;
    return now < this.#confirmedAt + CONFIRMED_JOIN_SAFE_TIME && now < safeEnd;
  }

  /**
   * Switches to the group that this VM should belong to now. It leaves the
   * electorate by an explicit call, because the store could still elect a
   * member that has only stopped calling.
   */
  #chooseGroup(now: number): KeyspaceEffect[] {
    const isElected = this.#phase.kind !== "follower";
    const isCandidate = this.#reachesServers &&
      this.candidacy.isCandidate(now, isElected);
    const group = isCandidate ? "electorate" : "observers";
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

  /**
   * Returns the interval until the next membership call. The store elects
   * another member only after the elected one has called again, so calls are
   * frequent while the group changes.
   */
  #joinInterval({ isElected, group, generation }: Membership): number {
    if (group === "observers") return OBSERVER_JOIN_INTERVAL;
    const isChanging = generation !== this.#generation;
    const isSettling = isElected && this.holder === null;
    return isSettling || isChanging ? SETTLING_JOIN_INTERVAL : JOIN_INTERVAL;
  }

  #settle(generation: number, now: number): void {
    const phase = this.#phase;
    const isNew = phase.kind === "follower";
    const hasGroupChanged = phase.kind === "settling" &&
      phase.generation !== generation;
    if (isNew || hasGroupChanged) {
      this.#phase = { kind: "settling", since: now, generation };
    }
  }

  #startRead(): KeyspaceEffect[] {
    this.#phase = { kind: "reading" };
    return [{ kind: "term.read" }];
  }

  #pause(now: number): KeyspaceEffect[] {
    this.#phase = { kind: "pausing", until: now + CLAIM_RETRY_DELAY };
    return [];
  }
}
