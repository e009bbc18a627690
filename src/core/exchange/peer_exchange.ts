/**
 * What this process says to the other VMs and takes from them.
 *
 * @module
 */
import type { Beliefs, Emit } from "../beliefs.ts";
import type {
  ServerRate,
  ServerRateChange,
  ServerSamples,
} from "../fleet/index.ts";
import type { Assignment, KeyLoads, TermCampaign } from "../keyspace/index.ts";
import {
  expandAssignment,
  FollowerLink,
  type HolderAddress,
  type HolderState,
  type Knowledge,
  MAXIMUM_RATES,
  type MessageOf,
  type PeerMessage,
  VmCount,
} from "../peers/index.ts";
import { ConfigurationWatch } from "./configuration_watch.ts";
import { PermitExchange } from "./permit_exchange.ts";
import { StateExchange } from "./state_exchange.ts";
import { TokenExchange } from "./token_exchange.ts";
import type { RegistryNews } from "../registry/index.ts";
import type { StoreHealth } from "../store_health.ts";
import {
  QuarantineExchange,
  type QuarantineSend,
} from "./quarantine_exchange.ts";
import { TermPublication } from "./term_publication.ts";

/** Time between two steps after which this process counts as having slept, in
 * milliseconds; timers go off four times as often. */
const SLEEP = 1_000;

/** See the module's comment. */
export class PeerExchange {
  readonly followerLink: FollowerLink;
  readonly permits: PermitExchange;
  readonly tokens: TokenExchange;
  readonly #publication: TermPublication;
  readonly #stateExchange: StateExchange;
  readonly #configurationWatch: ConfigurationWatch;
  readonly #quarantine: QuarantineExchange;
  #areKeysAsked = false;
  #advancedAt = -Infinity;
  readonly #vms = VmCount.create();

  private constructor(
    private readonly beliefs: Beliefs,
    private readonly campaign: TermCampaign,
    loads: KeyLoads,
    private readonly store: StoreHealth,
    private readonly emit: Emit,
    private readonly ownAddress: string,
    seeds: readonly string[],
    private readonly draw: () => number,
  ) {
    this.followerLink = FollowerLink.create(campaign.fitness);
    this.#publication = TermPublication.create(
      beliefs,
      campaign,
      loads,
      store,
      emit,
    );
    this.permits = PermitExchange.create(beliefs, emit, ownAddress);
    this.tokens = TokenExchange.create(
      beliefs,
      emit,
      ownAddress,
      () => this.vms,
      draw,
    );
    this.#stateExchange = StateExchange.create(beliefs, store, emit, seeds);
    this.#configurationWatch = ConfigurationWatch.create(beliefs, emit);
    this.#quarantine = QuarantineExchange.create(beliefs.quarantine, seeds);
  }

  /** An exchange of the process at `ownAddress`, which has heard nobody; it asks
   * `seeds` at need. */
  static create(
    beliefs: Beliefs,
    campaign: TermCampaign,
    loads: KeyLoads,
    store: StoreHealth,
    emit: Emit,
    ownAddress: string,
    seeds: readonly string[],
    draw: () => number,
  ): PeerExchange {
    return new PeerExchange(
      beliefs,
      campaign,
      loads,
      store,
      emit,
      ownAddress,
      seeds,
      draw,
    );
  }

  /** Estimated number of VMs, or null. */
  get vms(): number | null {
    return this.#vms.value;
  }

  /** Whether the term holder's word does for this VM's calls to the store: it only
   * observes, so nothing but news is of use to it. */
  isTold(now: number): boolean {
    return this.campaign.isObserver &&
      this.followerLink.isStoreStateCurrent(now);
  }

  /** A caller asked for a key: from here on assignments are needed. */
  keyAsked(service: string, key: number): void {
    this.#areKeysAsked = true;
    this.followerLink.sampleKey(service, key);
  }

  /** A server refused a key that it holds by what is known here. */
  keyRefused(): void {
    this.followerLink.outdated();
  }

  /** The rate limit that a server states to this VM has begun or ended. Makes the next
   * report due at once, so that the other VMs learn of it soon. */
  rateLimitChanged(change: ServerRateChange, now: number): void {
    this.beliefs.rateLimitChanged(change, now);
    this.followerLink.outdated();
  }

  /** When {@linkcode advance} is needed soon; Infinity when it can wait. */
  nextAt(): number {
    return this.campaign.holder === null
      ? this.followerLink.nextAt()
      : Infinity;
  }

  /** Another VM may have announced that it holds a term. */
  follow(holder: HolderAddress, now: number): void {
    const isNew = this.beliefs.followHolder(holder);
    if (!isNew) return;
    const { address, fitness } = holder;
    const isOwn = address === this.ownAddress;
    if (!isOwn) this.emit(...this.#publication.tellSuccessor(holder));
    this.permits.follow(address, now);
    this.tokens.follow(address, now);
    const chance = this.draw();
    this.followerLink.follow(isOwn ? null : address, this.vms, chance, now);
    this.campaign.hearFitness(fitness, now);
  }

  /** Takes a message. */
  receive(address: string, message: PeerMessage, now: number): void {
    const isTold = this.isTold(now);
    this.#configurationWatch.compare(message.configuration, isTold, now);
    const { evacuation } = message;
    if (evacuation !== undefined) this.beliefs.evacuationsTold(evacuation, now);
    if (message.quarantine !== undefined) {
      const { quarantine } = message;
      const answer = this.#quarantine.receive(address, quarantine, now);
      if (answer !== null) this.#sendQuarantine(answer);
    }
    switch (message.kind) {
      case "keys.asked":
        return this.#takeReport(address, message, now);
      case "holder.alive":
        this.#takeAnswer(address, message, now);
        this.#takeRegistry(message.registry, now);
        this.#takeCrowding(address, message, now);
        return this.#hear(address, message, now);
      case "configuration.told":
        return this.beliefs.configure(message.told);
      case "servers.told":
        return this.#takeRegistry(message.registry, now);
      case "assignments.told":
        this.#hear(address, message, now);
        return this.beliefs.assign(
          message.assignments.map((each) =>
            expandAssignment(each, message.term, message.version)
          ),
        );
      case "assignments.changed":
        this.#hear(address, message, now);
        return this.beliefs.changeAssignments(
          message.changes.map((each) =>
            expandAssignment(each, message.term, message.version)
          ),
          message.since,
        );
      case "holder.changed":
        if (message.holder.address === address) {
          this.#takeSignOfLife(message.holder, now);
        }
        return this.follow(message.holder, now);
      case "state.wanted":
        return this.#stateExchange.tellState(address, message);
      case "state.told": {
        const holder = this.#stateExchange.takeState(message, now);
        return holder === null ? undefined : this.follow(holder, now);
      }
      case "term.taken":
        return this.#yield(address, message, now);
      case "term.yielded":
        return this.#relieve(message, now);
      case "permit.asked":
      case "permit.told":
      case "permit.returned":
        return this.permits.receive(address, message, now);
      case "token.asked":
      case "token.told":
        return this.tokens.receive(address, message, now);
    }
  }

  /** The record of assignments was read: a holder that goes on writing it lives,
   * also while it is too busy to answer. */
  recordRead(assignments: readonly Assignment[], now: number): void {
    const { holder, directory } = this.beliefs;
    const { term, version } = directory.position;
    const isNews = assignments.some((each) =>
      each.term === holder?.term &&
      (each.term > term || each.version > version)
    );
    if (holder === null || !isNews) return;
    this.campaign.hearFitness(holder.fitness, now);
  }

  /**
   * Asks the holder before, if it lives, what it has granted: without its word
   * the worst has to be assumed of servers that do not answer.
   */
  askFormerHolder(term: number, formerTerm: number): void {
    const former = this.beliefs.holder;
    if (former === null || former.term !== formerTerm) return;
    const { version } = this.beliefs.directory.position;
    this.#send(former.address, {
      kind: "term.taken",
      ...this.beliefs.knowledge({ term, version }),
      formerTerm,
    });
  }

  /** Takes all steps that are due. */
  advance(now: number): void {
    const { store } = this;
    // Whatever was told meanwhile may have been lost with its connection.
    if (now - this.#advancedAt >= SLEEP && this.#advancedAt > -Infinity) {
      this.followerLink.outdated();
    }
    this.#advancedAt = now;
    this.#stateExchange.advance(
      this.#quarantine.question,
      this.followerLink.holder,
      now,
    );
    this.#shareQuarantine(now);
    const { holder } = this.campaign;
    if (holder !== null) {
      this.#vms.observe(this.#publication.vms(now), now);
      return this.#publication.advance(holder, now);
    }
    const known = this.#reported(now);
    const mayFetch = this.#areKeysAsked && !store.isFailing(now);
    const { position } = this.beliefs.registry;
    const latencies = this.#takeLatencies(now);
    const rates = this.#takeRates(now);
    this.emit(
      ...this.followerLink.advance(
        now,
        known,
        position,
        latencies,
        mayFetch,
        this.isTold(now),
        rates,
      ),
    );
  }

  /** What a report to the holder tells that this VM knows. */
  #reported(now: number): Knowledge {
    const known = this.beliefs.knowledge();
    const { holder } = this.followerLink;
    if (holder === null || !this.followerLink.isReportDue(now)) return known;
    return { ...known, quarantine: this.#quarantine.report(holder, now) };
  }

  #shareQuarantine(now: number): void {
    const words = this.#quarantine.advance(
      this.#hubSilence(now),
      this.vms,
      now,
    );
    for (const each of words) this.#sendQuarantine(each);
    if (this.#quarantine.isUrgent(this.vms, now)) this.followerLink.outdated();
  }

  /** How long the VM that all others report to has not been heard here, in
   * milliseconds; that VM itself needs to hear nobody. */
  #hubSilence(now: number): number {
    const isOwn = this.beliefs.holder?.address === this.ownAddress;
    return isOwn ? 0 : this.followerLink.silence(now);
  }

  /** Any message may carry it; this one says nothing else that is new, and VMs that
   * have not been renewed yet take it for that. */
  #sendQuarantine({ address, word }: QuarantineSend): void {
    const { holder } = this.beliefs;
    if (holder === null) return;
    this.#send(address, {
      kind: "holder.changed",
      ...this.beliefs.knowledge(),
      quarantine: word,
      holder,
    });
  }

  /** What a report that is due tells of the servers that hold keys. */
  #takeLatencies(now: number): ServerSamples[] {
    const { catalog, fleet } = this.beliefs;
    if (!this.followerLink.isReportDue(now)) return [];
    return catalog.keyedServices.flatMap(({ name }) =>
      fleet.takeSamples(name, now)
    );
  }

  /** Rate limits to include in the report, if one is due. */
  #takeRates(now: number): ServerRate[] {
    if (!this.followerLink.isReportDue(now)) return [];
    return this.beliefs.fleet.takeRates(now).slice(0, MAXIMUM_RATES);
  }

  #takeRegistry(news: RegistryNews | null, now: number): void {
    const { registry, fleet } = this.beliefs;
    const changes = news === null ? null : registry.take(news);
    if (changes === null) return;
    // The store may be back without this VM knowing yet: entries that lapsed
    // in the outage are given the time to return.
    if (this.store.isLost && changes.removed.length > 0) fleet.regained(now);
    this.beliefs.changeServers(
      fleet.apply(changes.entries, changes.removed, now, changes.unreadable),
      now,
    );
    fleet.confirm((id) => registry.isListed(id), now);
  }

  #hear(address: string, { vms, fittest }: HolderState, now: number): void {
    if (address === this.followerLink.holder) this.followerLink.received(now);
    this.#vms.observe(vms, now);
    this.campaign.hearFitness(fittest, now);
  }

  #takeAnswer(
    address: string,
    { answersTo, storeSilence }: MessageOf<"holder.alive">,
    now: number,
  ): void {
    const isOfHolder = address === this.followerLink.holder;
    if (!isOfHolder || answersTo === undefined) return;
    // Reckoned from when this VM asked: the answer may be long on its way.
    const currentAt = answersTo - (storeSilence ?? Infinity);
    this.followerLink.reportAnswered(answersTo, currentAt);
    this.#quarantine.answered(address, answersTo);
    if (!this.store.vouched(currentAt, now)) return;
    this.beliefs.storeRegained(now);
  }

  /** Takes what the holder tells of servers that cannot do all that is asked. */
  #takeCrowding(
    address: string,
    { limits = [], loads = [], rates }: MessageOf<"holder.alive">,
    now: number,
  ): void {
    if (address !== this.followerLink.holder) return;
    this.beliefs.keyLimits.take(limits, now);
    this.beliefs.fleet.hearLoads(loads, now);
    this.beliefs.hearRates(rates ?? [], now);
    this.tokens.holderAnswered(rates !== undefined);
  }

  #takeReport(
    address: string,
    message: MessageOf<"keys.asked">,
    now: number,
  ): void {
    const { holder } = this.campaign;
    if (holder === null) return this.#showLife(address, now);
    this.#publication.reported(holder, address, message, now);
  }

  /**
   * Tells a follower that this VM, which has lost the authority of the term that it
   * was the last to hold, lives. In an outage of the store nobody has authority;
   * without a sign of a fit VM the small ones would stand for election, and win by
   * their number once the store is back.
   */
  #showLife(address: string, now: number): void {
    const { holder } = this.beliefs;
    if (holder?.address !== this.ownAddress || this.campaign.isRetired) return;
    this.#send(address, {
      kind: "holder.changed",
      ...this.beliefs.knowledge(),
      holder: { ...holder, fitness: this.campaign.fittest(now) },
    });
  }

  /** The last holder lives, without authority. It counts while the store answers
   * nobody: one that alone is cut off must not keep others from the term. */
  #takeSignOfLife({ fitness }: HolderAddress, now: number): void {
    if (this.store.isLost) this.campaign.hearFitness(fitness, now);
  }

  #yield(
    address: string,
    { term, formerTerm }: MessageOf<"term.taken">,
    now: number,
  ): void {
    const exposures = this.campaign.yieldTo(term, formerTerm, now);
    if (exposures === null) return;
    this.beliefs.note("term.yielded", { term: formerTerm, toTerm: term });
    this.#send(address, {
      kind: "term.yielded",
      ...this.beliefs.knowledge(),
      toTerm: term,
      exposures: [...exposures],
    });
  }

  #relieve(
    { toTerm, exposures }: MessageOf<"term.yielded">,
    now: number,
  ): void {
    const { holder } = this.campaign;
    if (holder?.term === toTerm) holder.relieve(exposures, now);
  }

  #send(address: string, message: PeerMessage): void {
    this.emit({ kind: "peer.send", address, message });
  }
}
