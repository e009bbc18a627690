/**
 * Sends this VM's messages to other VMs and handles the messages received from
 * them.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";
import type {
  ServerSamples,
  ServerStatement,
  TrackedServer,
} from "../fleet/index.ts";
import type { Assignment, KeyLoads, TermCampaign } from "../keyspace/index.ts";
import {
  expandAssignment,
  FollowerLink,
  type HolderAddress,
  type HolderState,
  MAXIMUM_RATE_LIMITS,
  type MessageOf,
  NO_SERVER_REPORTS,
  type PeerMessage,
  type SenderState,
  type ServerReports,
  type ServiceAdmission,
  VmCount,
} from "../peers/index.ts";
import { ConfigurationWatch } from "./configuration_watch.ts";
import { PermitExchange } from "./permit_exchange.ts";
import { RetryShares } from "./retry_shares.ts";
import { StateExchange } from "./state_exchange.ts";
import { TokenExchange } from "./token_exchange.ts";
import type { ServerLimits } from "../rates/index.ts";
import { type RelayChoice, RelayRoster } from "../reach/index.ts";
import type { RegistryUpdate } from "../registry/index.ts";
import type { StoreHealth } from "../store_health.ts";
import {
  QuarantineExchange,
  type QuarantineSend,
} from "./quarantine_exchange.ts";
import { StatePublisher } from "./state_publisher.ts";

/**
 * Time between two calls of {@linkcode PeerExchange.advance} after which this
 * process is assumed to have been suspended, in milliseconds. Timers call it
 * four times as often.
 */
const SUSPENSION_THRESHOLD = 1_000;

/**
 * Time between two reports with the samples of servers without keys while no
 * service is busy, in milliseconds. With each report they add a fifth to the
 * traffic between zones of a small deployment.
 */
const FULL_REPORT_INTERVAL = 1_000;

/**
 * Minimum interval between two requests to the previous term holder to confirm
 * which servers hold which keys, in milliseconds.
 */
const CONFIRMATION_REQUEST_INTERVAL = 200;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class PeerExchange {
  readonly followerLink: FollowerLink;
  readonly permitExchange: PermitExchange;
  readonly tokenExchange: TokenExchange;
  readonly retryShares: RetryShares;
  readonly #publisher: StatePublisher;
  readonly #stateExchange: StateExchange;
  readonly #configurationWatch: ConfigurationWatch;
  readonly #quarantine: QuarantineExchange;
  /** Whether a caller has requested a key of a keyed service. */
  #isAssignmentNeeded = false;
  #advancedAt = -Infinity;
  /** When the last report with the samples of all services was created. */
  #fullReportAt = -Infinity;
  readonly #vmCount = VmCount.create();
  readonly #roster = RelayRoster.create();
  /** The previous term holder, from which this one has requested its grants. */
  #former: (HolderAddress & { requestedAt: number }) | null = null;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly campaign: TermCampaign,
    loads: KeyLoads,
    limits: ServerLimits,
    private readonly store: StoreHealth,
    private readonly emit: Emit,
    private readonly ownAddress: string,
    seeds: readonly string[],
    private readonly relays: RelayChoice,
    private readonly relayZone: (now: number) => string | undefined,
    private readonly draw: () => number,
    retryWindowSeconds: number,
  ) {
    this.retryShares = RetryShares.create(
      retryWindowSeconds,
      (now) => campaign.authorityTerm(now),
    );
    this.followerLink = FollowerLink.create(() => campaign.fitness);
    this.#publisher = StatePublisher.create(
      clusterState,
      campaign,
      loads,
      store,
      emit,
      this.#roster,
      this.retryShares,
    );
    this.permitExchange = PermitExchange.create(clusterState, emit, ownAddress);
    this.tokenExchange = TokenExchange.create(
      clusterState,
      limits,
      (now) => campaign.authorityTerm(now),
      emit,
      ownAddress,
      () => this.vms,
      draw,
    );
    this.#stateExchange = StateExchange.create(
      clusterState,
      store,
      emit,
      seeds,
    );
    this.#configurationWatch = ConfigurationWatch.create(clusterState, emit);
    this.#quarantine = QuarantineExchange.create(
      clusterState.quarantine,
      seeds,
    );
  }

  /**
   * Creates an exchange for the process at `ownAddress` that has received no
   * messages. Tokens are requested for servers with `limits`. `seeds` are the
   * addresses of VMs to contact while no configuration is known or the term
   * holder sends no messages. The VMs that
   * reach the servers are recorded in `relays`; `relayZone` returns the
   * availability zone of this VM while it is one of them. `draw` returns a
   * random number in [0, 1). `retryWindowSeconds` is the window of the retry
   * budget.
   */
  static create(
    clusterState: ClusterState,
    campaign: TermCampaign,
    loads: KeyLoads,
    limits: ServerLimits,
    store: StoreHealth,
    emit: Emit,
    ownAddress: string,
    seeds: readonly string[],
    relays: RelayChoice,
    relayZone: (now: number) => string | undefined,
    draw: () => number,
    retryWindowSeconds: number,
  ): PeerExchange {
    return new PeerExchange(
      clusterState,
      campaign,
      loads,
      limits,
      store,
      emit,
      ownAddress,
      seeds,
      relays,
      relayZone,
      draw,
      retryWindowSeconds,
    );
  }

  /** Estimated number of VMs, or null if it is not known yet. */
  get vms(): number | null {
    return this.#vmCount.value;
  }

  /** Number of servers to which this VM, as the term holder, gives a pace. */
  get pacedServers(): number {
    return this.campaign.holder === null ? 0 : this.#publisher.pacing.count;
  }

  /**
   * Whether this VM receives store updates from the term holder instead of
   * reading them from the store. Only observers do, the VMs that are not
   * candidates for term holder: they need nothing else from the store.
   */
  hasHolderUpdates(now: number): boolean {
    return this.campaign.isObserver &&
      this.followerLink.isStoreStateCurrent(now);
  }

  /** Records a request for a key. Assignments are needed from now on. */
  keyRequested(service: string, key: number): void {
    this.#isAssignmentNeeded = true;
    this.followerLink.sampleKey(service, key);
  }

  /**
   * Handles a server's refusal of a request for a key that, to this VM's
   * knowledge, is assigned to the server. This VM may have missed a change, so
   * its next report is urgent.
   */
  keyRefused(): void {
    this.followerLink.expedite();
  }

  /**
   * Applies what a server has stated of itself to this VM with the response to
   * a request or an order that was sent at `sentAt`. If other VMs need it, the
   * next report to the term holder is urgent.
   */
  applyStatement(
    server: TrackedServer,
    statement: ServerStatement,
    sentAt: number,
    now: number,
  ): void {
    const { clusterState } = this;
    if (clusterState.applyStatement(server, statement, sentAt, now)) {
      this.followerLink.expedite();
    }
  }

  /**
   * Time by which {@linkcode advance} must be called for an urgent or a first
   * report; Infinity if there is none.
   */
  nextAt(): number {
    return this.campaign.holder === null
      ? this.followerLink.nextAt()
      : Infinity;
  }

  /**
   * Follows the announced term holder if its term is newer than the known one.
   */
  follow(holder: HolderAddress, now: number): void {
    this.campaign.observeTerm(holder.term);
    const isNew = this.clusterState.acceptHolder(holder);
    if (!isNew) return;
    const { address, fitness } = holder;
    const isOwn = address === this.ownAddress;
    if (!isOwn) this.emit(...this.#publisher.announceSuccessor(holder));
    this.permitExchange.follow(address, now);
    this.tokenExchange.holderChanged();
    const chance = this.draw();
    this.followerLink.follow(isOwn ? null : address, this.vms, chance, now);
    this.campaign.observeFitness(fitness, now);
  }

  /** Handles a message from the VM at `address`. */
  receive(address: string, message: PeerMessage, now: number): void {
    this.#configurationWatch.observe(address, message.configuration, now);
    this.campaign.observeTerm(message.term);
    const { evacuation: zones } = message;
    if (zones !== undefined) this.clusterState.applyPeerEvacuations(zones, now);
    if (message.quarantine !== undefined) {
      const { quarantine } = message;
      const answer = this.#quarantine.receive(address, quarantine, now);
      if (answer !== null) this.#sendQuarantine(answer);
    }
    switch (message.kind) {
      case "keys.asked":
        return this.#handleReport(address, message, now);
      case "holder.alive":
        this.#handleAnswer(address, message, now);
        if (this.#isOfSameEra(message)) {
          this.#applyRegistry(message.registry, now);
        }
        this.#applyOverload(address, message, now);
        return this.#applyHolderState(address, message, now);
      case "configuration.told":
        return this.clusterState.configure(message.told, "vm", now);
      case "servers.told":
        if (!this.#isOfSameEra(message)) return;
        return this.#applyRegistry(message.registry, now);
      case "assignments.told":
        this.#applyHolderState(address, message, now);
        return this.clusterState.assign(
          message.assignments.map((each) =>
            expandAssignment(each, message.term, message.version)
          ),
        );
      case "assignments.changed":
        this.#applyHolderState(address, message, now);
        return this.clusterState.applyAssignmentChanges(
          message.changes.map((each) =>
            expandAssignment(each, message.term, message.version)
          ),
          message.since,
        );
      case "holder.changed":
        if (message.holder.address === address) {
          this.#applyLiveness(message.holder, now);
        }
        return this.follow(message.holder, now);
      case "state.wanted":
        return this.#stateExchange.sendState(address, message);
      case "state.told": {
        const holder = this.#stateExchange.applyState(message, now);
        return holder === null ? undefined : this.follow(holder, now);
      }
      case "term.taken":
        return this.#handleTermTaken(address, message, now);
      case "term.yielded":
        return this.#handleTermYielded(message, now);
      case "permit.asked":
      case "permit.told":
      case "permit.returned":
        return this.permitExchange.receive(address, message, now);
      case "token.asked":
      case "token.told":
        return this.tokenExchange.receive(address, message, now);
      case "relay.closing":
        this.relays.remove(address);
        return this.emit({ kind: "relay.retire", relay: address });
    }
  }

  /**
   * Handles assignments read from the store. If they are newer than those known
   * here and of the holder's term, the holder still runs, even if it is too
   * busy to answer reports.
   */
  assignmentsRead(assignments: readonly Assignment[], now: number): void {
    const { holder, directory } = this.clusterState;
    const { term, version } = directory.position;
    const hasNewer = assignments.some((each) =>
      each.term === holder?.term &&
      (each.term > term || each.version > version)
    );
    if (holder === null || !hasNewer) return;
    this.campaign.observeFitness(holder.fitness, now);
  }

  /**
   * Requests the unexpired grants of the previous holder, in case it still
   * runs. Without them, the new holder must assume that unreachable servers
   * still hold their keys.
   */
  requestFormerGrants(term: number, formerTerm: number, now: number): void {
    const former = this.clusterState.holder;
    if (former === null) return;
    const isNeeded = this.campaign.needsConfirmation;
    if (former.term !== formerTerm && !isNeeded) return;
    this.#former = { ...former, requestedAt: now };
    this.#requestGrants(term, former);
  }

  #requestGrants(term: number, former: HolderAddress): void {
    const { version } = this.clusterState.directory.position;
    this.#send(former.address, {
      kind: "term.taken",
      ...this.clusterState.senderState({ term, version }),
      formerTerm: former.term,
    });
  }

  /**
   * Repeats the request to the previous holder while this VM needs it to know
   * which servers hold which keys.
   */
  #repeatRequest(now: number): void {
    const former = this.#former;
    const term = this.campaign.claimedTerm;
    if (former === null || term === null) return;
    if (!this.campaign.needsConfirmation) return;
    if (now < former.requestedAt + CONFIRMATION_REQUEST_INTERVAL) return;
    former.requestedAt = now;
    this.#requestGrants(term, former);
  }

  /** Sends a successor what this VM has confirmed for it. */
  #sendYield(now: number): void {
    const yielded = this.campaign.takeYield(now);
    if (yielded === null) return;
    const { address, toTerm, leases, confirmed } = yielded;
    this.clusterState.logDecision("term.confirmed", {
      toTerm,
      ranges: confirmed.length,
    });
    this.#send(address, {
      kind: "term.yielded",
      ...this.clusterState.senderState(),
      toTerm,
      exposures: [...leases],
      confirmed: [...confirmed],
    });
  }

  /**
   * Announces to the VMs at `users` that this VM, through which they have
   * connections to servers, is about to stop. The next report to the term
   * holder is urgent, so that it names this VM to no other.
   */
  announceStop(users: readonly string[]): void {
    const message: PeerMessage = {
      kind: "relay.closing",
      ...this.clusterState.senderState(),
    };
    for (const address of users) this.#send(address, message);
    this.followerLink.expedite();
  }

  /** Performs all actions that are due. */
  advance(now: number): void {
    const { store } = this;
    const { admission, features } = this.clusterState;
    this.#repeatRequest(now);
    this.#sendYield(now);
    // Messages sent during a suspension may have been lost together with the
    // connection.
    if (
      now - this.#advancedAt >= SUSPENSION_THRESHOLD &&
      this.#advancedAt > -Infinity
    ) {
      this.followerLink.expedite();
    }
    this.#advancedAt = now;
    this.#configurationWatch.advance(this.hasHolderUpdates(now), now);
    this.#stateExchange.advance(
      this.#quarantine.digestUpdate,
      this.followerLink.holder,
      now,
    );
    this.#shareQuarantine(now);
    const { holder } = this.campaign;
    if (holder !== null) {
      this.#roster.reported(this.ownAddress, this.relayZone(now), now);
      this.#vmCount.observe(this.#publisher.vmCount(now), now);
      this.tokenExchange.advance(now);
      this.retryShares.renewOwn(this.ownAddress, now);
      this.#publisher.advance(holder, now);
      this.#applyReturns(this.#publisher.admissions(now), now);
      const relays = this.#publisher.relaysFor(this.ownAddress, now);
      if (relays !== null) this.relays.replace(relays);
      return;
    }
    if (features.admitsByPriority && admission.isBusy(now)) {
      this.followerLink.hasten(this.vms, now);
    }
    const senderState = this.#reportState(now);
    const mayFetch = this.#isAssignmentNeeded && !store.isFailing(now);
    const { position } = this.clusterState.registry;
    this.emit(
      ...this.followerLink.advance(
        now,
        senderState,
        position,
        this.#takeServerReports(now),
        mayFetch,
        this.hasHolderUpdates(now),
      ),
    );
  }

  /**
   * State to include in a report to the holder. If a report is due, the state
   * contains a quarantine update.
   */
  #reportState(now: number): SenderState {
    const state = this.clusterState.senderState();
    const { holder } = this.followerLink;
    if (holder === null || !this.followerLink.isReportDue(now)) return state;
    return { ...state, quarantine: this.#quarantine.report(holder, now) };
  }

  /** Sends the quarantine updates that are due. */
  #shareQuarantine(now: number): void {
    const updates = this.#quarantine.advance(
      this.#holderSilence(now),
      this.vms,
      now,
    );
    for (const each of updates) this.#sendQuarantine(each);
    if (this.#quarantine.isUrgent(this.vms, now)) this.followerLink.expedite();
  }

  /**
   * Time since the last message from the term holder, in milliseconds; 0 if
   * this VM is the announced holder, which needs none.
   */
  #holderSilence(now: number): number {
    const isOwn = this.clusterState.holder?.address === this.ownAddress;
    return isOwn ? 0 : this.followerLink.silence(now);
  }

  /**
   * Sends a quarantine update. Any message can include one. This kind is used
   * because older versions accept it: the rest of it only repeats the known
   * term holder.
   */
  #sendQuarantine({ address, update }: QuarantineSend): void {
    const { holder } = this.clusterState;
    if (holder === null) return;
    this.#send(address, {
      kind: "holder.changed",
      ...this.clusterState.senderState(),
      quarantine: update,
      holder,
    });
  }

  /**
   * Returns this VM's samples of servers for a report. Servers that hold keys
   * are in each report. Admission by priority and paces need those of all
   * services, but mostly only while a service is busy: otherwise they are in a
   * report each {@linkcode FULL_REPORT_INTERVAL}.
   */
  #takeSamples(now: number): ServerSamples[] {
    const { admission, catalog, features, fleet } = this.clusterState;
    const needsAll = features.admitsByPriority || features.pacesStarts;
    const isFull = admission.isBusy(now) ||
      now - this.#fullReportAt >= FULL_REPORT_INTERVAL;
    if (isFull) this.#fullReportAt = now;
    return catalog.services.flatMap(({ name, isKeyed }) => {
      if (isKeyed) return fleet.takeSamples(name, now);
      return needsAll ? fleet.takeSamples(name, now, !isFull) : [];
    });
  }

  /** If a report is due, returns what it contains on servers. */
  #takeServerReports(now: number): ServerReports {
    if (!this.followerLink.isReportDue(now)) return NO_SERVER_REPORTS;
    const { demand, features, fleet } = this.clusterState;
    return {
      latencies: this.#takeSamples(now),
      rates: fleet.takeUnsentRateLimits(now).slice(0, MAXIMUM_RATE_LIMITS),
      leaving: fleet.stated.unsharedLeaving(),
      refusing: fleet.stated.refusing(now),
      relayZone: this.relayZone(now),
      ...(features.admitsByPriority ? { demand: demand.take() } : {}),
    };
  }

  /**
   * Whether the sender of a message knows the same era of the store as this VM.
   * Positions in the store that a message of another era names belong to
   * records that may be lost.
   */
  #isOfSameEra({ era }: SenderState): boolean {
    return (era ?? null) === this.clusterState.era;
  }

  /** Applies the term holder's registry update. */
  #applyRegistry(update: RegistryUpdate | null, now: number): void {
    const { registry, fleet } = this.clusterState;
    const changes = update === null ? null : registry.applyUpdate(update);
    if (changes === null) return;
    // The store may be reachable again before this VM has detected it. Servers
    // whose entries expired during the outage get time to register again.
    if (this.store.isLost && changes.removed.length > 0) fleet.recovered(now);
    this.clusterState.applyServerChanges(
      fleet.apply(changes.entries, changes.removed, now, changes.unreadable),
      now,
    );
    fleet.confirmPeerEntries((id) => registry.isListed(id), now);
  }

  #applyHolderState(
    address: string,
    { vms, fittest: highestFitness }: HolderState,
    now: number,
  ): void {
    if (address === this.followerLink.holder) this.followerLink.received(now);
    this.#vmCount.observe(vms, now);
    this.campaign.observeFitness(highestFitness, now);
  }

  #handleAnswer(
    address: string,
    message: MessageOf<"holder.alive">,
    now: number,
  ): void {
    const { answersTo, storeSilence, retryShare = 0 } = message;
    const isOfHolder = address === this.followerLink.holder;
    if (!isOfHolder || answersTo === undefined) return;
    this.retryShares.receive(retryShare, answersTo, now);
    // The age of the store contact counts from when this VM sent the report,
    // because the answer may have been delayed.
    const isCurrent = this.#isOfSameEra(message);
    const storeContactAt = isCurrent
      ? answersTo - (storeSilence ?? Infinity)
      : -Infinity;
    this.followerLink.reportAnswered(answersTo, storeContactAt);
    this.#quarantine.reportAnswered(address, answersTo);
    if (!this.store.confirmedByPeer(storeContactAt, now)) return;
    this.clusterState.storeRegained(now);
  }

  /** Applies the planned returns of refused callers. */
  #applyReturns(admissions: readonly ServiceAdmission[], now: number): void {
    const { features, returns } = this.clusterState;
    if (features.schedulesReturns) returns.receive(admissions, now);
  }

  /** Applies the term holder's data on overloaded and leaving servers. */
  #applyOverload(
    address: string,
    message: MessageOf<"holder.alive">,
    now: number,
  ): void {
    if (address !== this.followerLink.holder) return;
    const { limits = [], loads = [], rates, leaving = [], relays } = message;
    const { admission, features } = this.clusterState;
    const admissions = message.admissions ?? [];
    if (features.admitsByPriority) admission.replace(admissions, now);
    this.#applyReturns(admissions, now);
    if (features.pacesStarts && message.answersTo !== undefined) {
      this.clusterState.fleet.applyPaces(message.servers ?? [], now);
    }
    this.clusterState.keyLimits.replace(limits, now);
    this.clusterState.fleet.applyPeerLoads(loads, now);
    this.clusterState.applyPeerRates(rates ?? [], now);
    this.clusterState.applyPeerLeaving(leaving, now);
    this.clusterState.fleet.stated.confirmLeaving(leaving);
    if (relays !== undefined) this.relays.replace(relays);
    this.tokenExchange.holderAnswered(rates !== undefined);
  }

  #handleReport(
    address: string,
    message: MessageOf<"keys.asked">,
    now: number,
  ): void {
    const { holder } = this.campaign;
    if (holder === null) return this.#announceLiveness(address, now);
    this.#publisher.reportReceived(holder, address, message, now);
  }

  /**
   * Shows a follower that this VM, the last term holder, still runs although it
   * has lost its authority. During a store outage no VM has authority. If no VM
   * of high fitness were known to run, VMs of lower fitness would become
   * candidates and, because there are more of them, win the election once the
   * store is reachable again.
   */
  #announceLiveness(address: string, now: number): void {
    const { holder } = this.clusterState;
    if (holder?.address !== this.ownAddress || this.campaign.isRetired) return;
    this.#send(address, {
      kind: "holder.changed",
      ...this.clusterState.senderState(),
      holder: { ...holder, fitness: this.campaign.highestFitness(now) },
    });
  }

  /**
   * Handles a message that shows that the last term holder, which has lost its
   * authority, still runs. It is ignored if this VM can reach the store: a
   * holder that alone cannot reach it must not keep other VMs from being
   * elected.
   */
  #applyLiveness({ fitness }: HolderAddress, now: number): void {
    if (this.store.isLost) this.campaign.observeFitness(fitness, now);
  }

  #handleTermTaken(
    address: string,
    { term, formerTerm }: MessageOf<"term.taken">,
    now: number,
  ): void {
    if (this.campaign.confirmFor(address, term, formerTerm)) return;
    const outstandingLeases = this.campaign.yieldTo(term, formerTerm, now);
    if (outstandingLeases === null) return;
    this.clusterState.logDecision("term.yielded", {
      term: formerTerm,
      toTerm: term,
    });
    this.#send(address, {
      kind: "term.yielded",
      ...this.clusterState.senderState(),
      toTerm: term,
      exposures: [...outstandingLeases],
    });
  }

  #handleTermYielded(
    { toTerm, exposures, confirmed = [] }: MessageOf<"term.yielded">,
    now: number,
  ): void {
    const isApplied = this.campaign.termYielded(
      toTerm,
      exposures,
      confirmed,
      now,
    );
    if (isApplied) this.#former = null;
  }

  #send(address: string, message: PeerMessage): void {
    this.emit({ kind: "peer.send", address, message });
  }
}
