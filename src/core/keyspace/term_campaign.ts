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
import type {
  Assignment,
  ConfirmedRange,
  RecordedAssignment,
} from "./assignment.ts";
import { Candidacy } from "./candidacy.ts";
import type { KeyLoads } from "./key_load.ts";
import type {
  ElectionGroup,
  KeyspaceEffect,
  OrderOutcome,
} from "./keyspace_effect.ts";
import { FormerTerm, type TermYield } from "./former_term.ts";
import { confirmationEnd, type LeaseTiming } from "./lease_timing.ts";
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
/**
 * Number of terms by which a claim in a new era of the store is above the
 * recorded term: more than can have been claimed in the seconds that the store
 * has lost, since a claim takes at least {@linkcode SETTLE_TIME}.
 */
const TERMS_PER_ERA = 4_096;
/** Highest era of a store that has never returned from a copy. */
const FIRST_ERA = 1;
/** Maximum number of eras for which terms are left out. */
const MAXIMUM_COUNTED_ERAS = 64;
/**
 * Time for which a term holder waits for the ranges that a former one has
 * confirmed, in milliseconds. It sends no orders meanwhile.
 */
const ADOPTION_TIMEOUT = 1_000;

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
  /** Era of the store in which it was claimed; null if unknown. */
  era: number | null;
  /** Whether a service without a record may have servers that hold its keys. */
  isUnconfirmed: boolean;
  /** Position of the end of the records, for the conditional write. */
  end: number;
  assignments: RecordedAssignment[];
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
 * waiting for a former term holder to confirm which servers hold which keys, and
 * term holder.
 */
type Phase =
  | { kind: "follower" }
  | { kind: "settling"; since: number; generation: number }
  | { kind: "reading" }
  | { kind: "claiming"; records: TermRecords; isTrusted: boolean }
  | { kind: "pausing"; until: number }
  | { kind: "adopting"; holder: TermHolder; until: number }
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
  /** Era of the store, or null if none is known. */
  #era: number | null = null;
  /** Whether the store has returned from a copy since this process started. */
  #hasSeenRestoration = false;
  /** Highest term that is known to have been claimed. */
  #highestTerm = 0;
  /** When the last membership call was sent that confirmed the current term. */
  #termConfirmedAt = -Infinity;
  /** This VM's former term after the store has returned from a copy. */
  #formerTerm: FormerTerm | null = null;

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
   * Whether this VM sends orders, as the holder of the current term or to
   * confirm the ranges of its former one.
   */
  get sendsOrders(): boolean {
    return this.holder !== null || this.#formerTerm !== null;
  }

  /** See {@linkcode TermHolder.hasDeferredOrders}. */
  get hasDeferredOrders(): boolean {
    const holder = this.holder ?? this.#formerTerm?.holder;
    return holder?.hasDeferredOrders ?? false;
  }

  /** Records that a term was claimed, by any VM. */
  observeTerm(term: number): void {
    this.#highestTerm = Math.max(this.#highestTerm, term);
  }

  /**
   * Whether this VM has a new term and does not know of all keys which servers
   * hold them.
   */
  get needsConfirmation(): boolean {
    const phase = this.#phase;
    if (phase.kind === "adopting") return true;
    return phase.kind === "leading" && phase.holder.isUnconfirmed;
  }

  /** The term that this VM has claimed and still holds, or null. */
  get claimedTerm(): number | null {
    const phase = this.#phase;
    const isClaimed = phase.kind === "adopting" || phase.kind === "leading";
    return isClaimed ? phase.holder.term : null;
  }

  /**
   * The term of which this VM has the authority now, or null. No other VM has
   * authority at the same time.
   */
  authorityTerm(now: number): number | null {
    return now < this.#authorityEnd ? this.holder?.term ?? null : null;
  }

  /** Records the era of the store before anything was read from it. */
  setInitialEra(era: number): void {
    this.#era = era;
  }

  /**
   * Handles that the store has returned from a copy, in a new era. The group,
   * the terms and the records that it returns are older ones, so this VM's term
   * ends. If it was the term holder, it confirms which servers hold which keys,
   * for itself if it is elected again or for its successor.
   */
  storeRestored(era: number, now: number): void {
    const phase = this.#phase;
    const isCurrent = phase.kind === "leading" || phase.kind === "adopting";
    const latest = this.#latestHolder;
    if (latest !== null && (isCurrent || this.#canConfirm(latest, now))) {
      this.#formerTerm = FormerTerm.create(
        latest,
        this.#termConfirmedAt,
        this.timing,
        now,
      );
    }
    this.#era = era;
    this.#hasSeenRestoration = true;
    this.#phase = { kind: "follower" };
    this.#generation = 0;
    this.#joinDueAt = now;
    this.#authorityEnd = -Infinity;
    this.#confirmedAt = -Infinity;
    this.#unconfirmedSince = null;
  }

  /**
   * Whether the ranges of this VM's latest term can still be confirmed: no other
   * VM has taken it over, as far as is known.
   */
  #canConfirm(latest: TermHolder, now: number): boolean {
    return latest !== this.#formerTerm?.holder &&
      latest.term >= this.#highestTerm &&
      now < confirmationEnd(this.#termConfirmedAt, this.timing);
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
    if (this.#phase.kind === "leading" || this.#phase.kind === "adopting") {
      this.#termConfirmedAt = membership.sentAt;
    }
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
    const isTrusted = this.#isTrusted(records);
    this.#phase = { kind: "claiming", records, isTrusted };
    // Counted from the record alone: a VM that knows of no other terms than the
    // recorded one must not claim a term again that another VM has counted from
    // a higher one.
    const lostTerms = isTrusted ? 0 : TERMS_PER_ERA * this.#lostEras(records);
    const next = Math.max(records.term + 1, this.#generation) + lostTerms;
    const term = Math.max(next, this.#highestTerm + 1);
    const { end } = records;
    const isUnconfirmed = !isTrusted || records.isUnconfirmed;
    return [{ kind: "term.claim", term, era: this.#era, isUnconfirmed, end }];
  }

  /**
   * Whether no term can have been claimed after the recorded one that the store
   * has lost. Records of older versions state no era.
   */
  #isTrusted({ term, era }: TermRecords): boolean {
    if (term === 0) {
      // If the store has ever returned from a copy, the copy may be older than
      // the first claim.
      return this.#highestTerm === 0 && !this.#hasSeenRestoration &&
        (this.#era ?? FIRST_ERA) <= FIRST_ERA;
    }
    return era === null ? !this.#hasSeenRestoration : era === this.#era;
  }

  /** Number of times that the store may have returned since the records. */
  #lostEras({ era }: TermRecords): number {
    const eras = (this.#era ?? FIRST_ERA) - (era ?? FIRST_ERA);
    return Math.min(MAXIMUM_COUNTED_ERAS, Math.max(1, eras));
  }

  /**
   * Handles the outcome of a claim. `known` are the assignments that this VM
   * knows.
   */
  onClaimed(
    term: number,
    outcome: WriteOutcome,
    now: number,
    known: readonly Assignment[] = [],
  ): KeyspaceEffect[] {
    if (this.#phase.kind !== "claiming") return [];
    if (outcome !== "done") return this.#pause(now);
    const { records, isTrusted } = this.#phase;
    const trusted = isTrusted
      ? records.assignments.filter(({ era }) =>
        era === this.#era || (era === null && !this.#hasSeenRestoration)
      )
      : [];
    const holder = TermHolder.create(
      term,
      trusted,
      this.timing,
      this.fleet,
      this.loads,
      () => this.#orderCount += 1,
      now,
      this.#era,
    );
    const isComplete = isTrusted && !records.isUnconfirmed &&
      trusted.length === records.assignments.length;
    if (!isComplete) {
      const newest = newestOf([...known, ...records.assignments]);
      holder.addUnconfirmed(newest, now);
    }
    const formerTerm = isTrusted ? records.term : this.#highestTerm;
    const former = this.#latestHolder;
    if (former?.term === formerTerm && isTrusted) {
      holder.applyOutstandingLeases(former.outstandingLeases(now), now);
    }
    if (this.#formerTerm !== null) {
      holder.adopt(this.#formerTerm.holder.confirmedRanges(now), now);
      this.#formerTerm = null;
    }
    this.#latestHolder = holder;
    this.#termConfirmedAt = this.#confirmedAt;
    this.observeTerm(term);
    const mustWait = holder.isUnconfirmed && former?.term !== formerTerm;
    this.#phase = mustWait
      ? { kind: "adopting", holder, until: now + ADOPTION_TIMEOUT }
      : { kind: "leading", holder };
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
    const { holder } = this;
    const former = this.#formerTerm?.holder;
    if (former?.pendingOrder(id) !== undefined) {
      // A server has received a token of a newer term, so this VM does not know
      // which servers hold the keys.
      if (!former.onOrderEnded(id, outcome, now)) this.#formerTerm = null;
      return [];
    }
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
    if (this.#formerTerm?.isExpired(now)) this.#formerTerm = null;
    effects.push(...this.#formerTerm?.advance(now, isTimerEvent) ?? []);
    const phase = this.#phase;
    if (phase.kind !== "follower" && now >= this.#authorityEnd) {
      this.#phase = { kind: "follower" };
    } else if (phase.kind === "settling") {
      const isSettled = now - phase.since >= SETTLE_TIME;
      if (isSettled && (this.#formerTerm?.isSettled(now) ?? true)) {
        effects.push(...this.#startRead());
      }
    } else if (phase.kind === "adopting") {
      if (now >= phase.until || !phase.holder.isUnconfirmed) {
        this.#phase = { kind: "leading", holder: phase.holder };
      }
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
    this.observeTerm(term);
    if (last === null || last.term !== formerTerm || term <= last.term) {
      return null;
    }
    if (this.holder === last) this.#phase = { kind: "follower" };
    return last.outstandingLeases(now);
  }

  /**
   * Handles that the VM at `address` has claimed `term` after the store has
   * returned from a copy, and needs to know which servers hold the keys of
   * `formerTerm`. Returns whether {@linkcode takeYield} will return the answer.
   */
  confirmFor(address: string, term: number, formerTerm: number): boolean {
    this.observeTerm(term);
    return this.#formerTerm?.setSuccessor(address, term, formerTerm) ?? false;
  }

  /**
   * Returns what the successor of this VM waits for once it is known, or null.
   * This VM sends no more orders of its former term then.
   */
  takeYield(now: number): TermYield | null {
    const yielded = this.#formerTerm?.yield(now) ?? null;
    if (yielded !== null) this.#formerTerm = null;
    return yielded;
  }

  /**
   * Applies what the former term holder has yielded to this VM's term
   * `toTerm`. Returns whether this VM holds that term.
   */
  termYielded(
    toTerm: number,
    leases: readonly OutstandingLease[],
    confirmed: readonly ConfirmedRange[],
    now: number,
  ): boolean {
    const phase = this.#phase;
    if (phase.kind !== "adopting" && phase.kind !== "leading") return false;
    const { holder } = phase;
    if (holder.term !== toTerm) return false;
    if (holder.isUnconfirmed) {
      holder.adopt(confirmed, now);
      this.#phase = { kind: "leading", holder };
    } else holder.applyOutstandingLeases(leases, now);
    return true;
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
    this.#formerTerm = null;
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

/** Returns the newest of the assignments of each service. */
function newestOf(assignments: readonly Assignment[]): Assignment[] {
  const newest = new Map<string, Assignment>();
  for (const each of assignments) {
    const other = newest.get(each.service);
    const isNewer = other === undefined || each.term > other.term ||
      (each.term === other.term && each.version > other.version);
    if (isNewer) newest.set(each.service, each);
  }
  return [...newest.values()];
}
