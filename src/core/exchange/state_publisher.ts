/**
 * Publishes the term holder's state to its followers: each change of the
 * assignments and of the registry once, and to a follower that has missed
 * changes only those.
 *
 * A message to all followers costs as many transfers as there are followers, so
 * nothing is sent twice without need. With 90 followers, sending all
 * assignments to each VM that was one change behind when it reported took 11
 * Mbit/s.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";
import type { RetryShares } from "./retry_shares.ts";
import { StartPacing } from "./start_pacing.ts";
import { OverloadMonitor } from "./overload_monitor.ts";
import type { ServerSamples } from "../fleet/index.ts";
import type { KeyLoads, TermCampaign, TermHolder } from "../keyspace/index.ts";
import {
  type AssignmentChanges,
  type AssignmentSnapshot,
  type FollowerReport,
  type HolderAddress,
  HolderLink,
  type HolderState,
  MAXIMUM_SERVER_STATES,
  MessagePacing,
  type PeerSend,
  type PriorityDemand,
  type ServiceAdmission,
} from "../peers/index.ts";
import type { RegistryUpdate } from "../registry/index.ts";
import { ReturnPlanner } from "../returns/index.ts";
import type { RelayRoster } from "../reach/index.ts";
import type { StoreHealth } from "../store_health.ts";

/**
 * Time that a published change may take to reach a follower, in milliseconds.
 * During this time a report without the change is answered as if the change had
 * arrived.
 */
const PROPAGATION_TIME = 120;
/**
 * Time after the start of a term until most VMs have reported, in milliseconds.
 */
const ROSTER_TIME = 1_000;
/**
 * Maximum number of published versions that are kept. A follower with one of
 * them gets only the changes after it. Covers some seconds of a busy holder.
 */
const MAXIMUM_VERSIONS = 256;

/**
 * Time between two records of the requests that this VM has received itself, in
 * milliseconds: that between the reports of the followers during an overload.
 */
const OWN_DEMAND_INTERVAL = 200;
/** Name of this VM in the demand of all VMs. */
const OWN_NAME = "";

/** A published version of the assignments. */
interface PublishedVersion {
  version: number;
  publishedAt: number;
  /** Revision of each service's assignment table at this version. */
  revisions: ReadonlyMap<string, number>;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StatePublisher {
  readonly #link = HolderLink.create();
  readonly #overload: OverloadMonitor;
  /** Paces of servers that have started or recovered. */
  readonly pacing: StartPacing;
  /** Term and version of the assignments that were last published. */
  #published = { term: 0, version: 0 };
  #publishedAt = -Infinity;
  /** Whether the followers lack a change of a threshold. */
  #areAdmissionsDue = false;
  #admissionsSentAt = -Infinity;
  /** The current term, and when it started. */
  #term = 0;
  #termStartedAt = Infinity;
  /** Published versions of this term, oldest first. */
  #versions: PublishedVersion[] = [];
  /** Registry position up to which changes were published, or null. */
  #publishedPosition: number | null = null;
  /**
   * Version of the active configuration, and since when it is known to be
   * active.
   */
  #configuration = { version: -1, since: -Infinity };
  /**
   * Pacing of messages with all assignments, which count as the same within a
   * term, and of those with the configuration, by its version.
   */
  readonly #assignmentPacing = MessagePacing.create();
  readonly #configurationPacing = MessagePacing.create();
  /**
   * Last report of each follower, by address, that was received while changes
   * were not published yet.
   */
  readonly #deferredReports = new Map<string, FollowerReport>();

  readonly #returnPlanner: ReturnPlanner;
  #ownDemandAt = -Infinity;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly campaign: TermCampaign,
    private readonly loads: KeyLoads,
    private readonly store: StoreHealth,
    private readonly emit: Emit,
    private readonly roster: RelayRoster,
    private readonly retryShares: RetryShares,
  ) {
    this.#overload = OverloadMonitor.create(clusterState, loads);
    this.pacing = StartPacing.create(clusterState);
    this.#returnPlanner = ReturnPlanner.create((service, priority) =>
      clusterState.catalog.shortestTimeout(service, priority)
    );
  }

  /**
   * Creates a publisher that has published nothing. It records in `roster`
   * which VMs reach the servers, and names them to others. It grants the shares
   * in `retryShares`.
   */
  static create(
    clusterState: ClusterState,
    campaign: TermCampaign,
    loads: KeyLoads,
    store: StoreHealth,
    emit: Emit,
    roster: RelayRoster,
    retryShares: RetryShares,
  ): StatePublisher {
    return new StatePublisher(
      clusterState,
      campaign,
      loads,
      store,
      emit,
      roster,
      retryShares,
    );
  }

  /** Number of running VMs, including this one. */
  vmCount(now: number): number {
    return this.#link.vmCount(now);
  }

  /**
   * Returns messages with the address of the new holder to the followers that
   * receive store updates from this VM, if it was the holder. They would
   * otherwise learn of the new holder only after their timeout for messages
   * from this VM.
   */
  announceSuccessor(holder: HolderAddress): PeerSend[] {
    const senderState = this.clusterState.senderState();
    return this.#link.announceSuccessor(senderState, holder);
  }

  /**
   * Publishes the changes of the registry and, if it is due, of the
   * assignments.
   */
  advance(holder: TermHolder, now: number): void {
    if (holder.term !== this.#term) {
      this.#term = holder.term;
      this.#termStartedAt = now;
      this.#returnPlanner.reset();
    }
    this.#recordOwnDemand(now);
    this.#publishRegistry();
    this.pacing.advance(holder.term, now);
    this.#overload.advance(holder, now);
    this.#publishAdmissions(holder, now);
    if (!this.#isCurrent(holder)) this.clusterState.assign(holder.assignments);
    const isDue = now >= this.#publishedAt + this.#link.publishInterval;
    if (isDue) this.#publish(holder, now);
  }

  /** Handles a follower's report and answers it. */
  reportReceived(
    holder: TermHolder,
    address: string,
    report: FollowerReport,
    now: number,
  ): void {
    const { fleet } = this.clusterState;
    for (const { service, keys } of report.samples) {
      for (const key of keys) this.loads.of(service).record(key, now);
    }
    this.#recordLatencies(address, report, now);
    this.pacing.observe(report.latencies, now);
    this.#recordDemand(address, report.demand ?? [], report.sentAt, now);
    this.clusterState.applyPeerRates(report.rates ?? [], now);
    this.clusterState.applyPeerLeaving(report.leaving ?? [], now);
    fleet.applyPeerRefusals(report.refusing ?? [], now);
    this.campaign.observeFitness(report.fitness, now);
    this.#link.reportReceived(address, report.isTold ?? false, now);
    this.roster.reported(address, report.relayZone, now);
    const registryChanges = this.#registryChanges(report, now);
    this.emit(
      this.#link.answerReport(
        address,
        this.#holderState(now),
        registryChanges,
        { ...this.#overload.current, admissions: this.admissions(now) },
        this.pacing.states.slice(0, MAXIMUM_SERVER_STATES),
        this.clusterState.fleet.stated.leaving(),
        this.relaysFor(address, now),
        this.retryShares.grant(address, now),
        report.sentAt,
      ),
    );
    this.#sendConfiguration(address, report, now);
    if (this.#isCurrent(holder)) this.#catchUp(holder, address, report, now);
    else this.#deferredReports.set(address, report);
  }

  /**
   * VMs through which the VM at `address` may connect to servers; null
   * shortly after the start of the term, when few VMs have reported yet.
   */
  relaysFor(address: string, now: number): string[] | null {
    if (now - this.#termStartedAt < ROSTER_TIME) return null;
    return this.roster.relaysFor(address, now);
  }

  /** Which requests of overloaded services all VMs admit, and their returns. */
  admissions(now: number): readonly ServiceAdmission[] {
    const { admissions } = this.#overload.current;
    if (!this.clusterState.features.schedulesReturns) return admissions;
    return this.#returnPlanner
      .addWindows(admissions, this.#overload.capacities, now);
  }

  /** Records the requests that this VM has received itself, when it is due. */
  #recordOwnDemand(now: number): void {
    const { demand, features } = this.clusterState;
    if (!features.admitsByPriority) return;
    if (now - this.#ownDemandAt < OWN_DEMAND_INTERVAL) return;
    this.#ownDemandAt = now;
    this.#recordDemand(OWN_NAME, demand.take(), now, now);
  }

  /**
   * Records the demand at one VM, sent at `sentAt` of its clock, for the
   * admission and the planned returns.
   */
  #recordDemand(
    address: string,
    demand: readonly PriorityDemand[],
    sentAt: number,
    now: number,
  ): void {
    this.#overload.demandReported(address, demand, sentAt, now);
    if (!this.clusterState.features.schedulesReturns) return;
    for (const { service, priority, ...counts } of demand) {
      this.#returnPlanner.observe(service, priority, counts, now);
    }
  }

  /**
   * Records the latencies that the follower at `address` measured, except of
   * servers that have restarted since the registry position that the follower
   * has reached: it may have measured the previous process.
   */
  #recordLatencies(
    address: string,
    { latencies, position }: FollowerReport,
    now: number,
  ): void {
    const { fleet, registry } = this.clusterState;
    const isOfSameIncarnation = ({ server }: ServerSamples) =>
      registry.incarnationSince(server) <= (position ?? 0);
    fleet.addPeerSamples(latencies.filter(isOfSameIncarnation), address, now);
  }

  /**
   * Sends a follower the configuration if it lacks it: immediately if the
   * follower receives store updates from this VM, and otherwise after the time
   * in which the follower's own long poll should have returned it. The response
   * to the poll may have been lost.
   */
  #sendConfiguration(
    address: string,
    report: FollowerReport,
    now: number,
  ): void {
    const { configuration, version } = this.clusterState.catalog;
    if (version !== this.#configuration.version) {
      this.#configuration = { version, since: now };
    }
    const isPropagated = now - this.#configuration.since > PROPAGATION_TIME;
    if (configuration === null || report.configuration >= version) return;
    if (!isPropagated && !report.isTold) return;
    const { sentAt } = report;
    const pacing = this.#configurationPacing;
    if (!pacing.maySend(address, version, sentAt, now)) return;
    const senderState = this.clusterState.senderState(this.#published);
    this.emit(
      this.#link.sendConfiguration(address, senderState, configuration),
    );
  }

  /**
   * Sends a follower the assignments or the changes that it lacks, unless they
   * may still be in transit.
   */
  #catchUp(
    holder: TermHolder,
    address: string,
    report: FollowerReport,
    now: number,
  ): void {
    const { term, version } = report;
    const isCurrentTerm = term === this.#published.term;
    if (isCurrentTerm && version === this.#published.version) return;
    const index = isCurrentTerm
      ? this.#versions.findIndex((each) => each.version === version)
      : -1;
    const next = this.#versions[index + 1];
    if (index < 0 || next === undefined) {
      this.#sendAssignments(holder, address, report, now);
    } else if (now - next.publishedAt > PROPAGATION_TIME) {
      const changes = this.#changesSince(
        holder,
        this.#versions[index],
      );
      this.emit(
        this.#link.sendChanges(address, this.#holderState(now), changes),
      );
    }
  }

  /** Sends a follower all assignments unless they are already in transit. */
  #sendAssignments(
    holder: TermHolder,
    address: string,
    { sentAt }: FollowerReport,
    now: number,
  ): void {
    const { term } = holder;
    if (!this.#assignmentPacing.maySend(address, term, sentAt, now)) return;
    this.emit(this.#link.sendAssignments(address, this.#snapshot(holder, now)));
  }

  /** Whether the published assignments are the holder's current ones. */
  #isCurrent({ term, version }: TermHolder): boolean {
    return term === this.#published.term && version === this.#published.version;
  }

  /**
   * Publishes the holder's assignments if they have changed, and then sends
   * the senders of the deferred reports what they lack.
   */
  #publish(holder: TermHolder, now: number): void {
    if (this.#isCurrent(holder)) return;
    const { term, version } = holder;
    const isNewTerm = term !== this.#published.term;
    const last = isNewTerm ? undefined : this.#versions.at(-1);
    this.#published = { term, version };
    this.#publishedAt = now;
    if (last === undefined) {
      this.#versions = [];
      this.emit(...this.#link.publishAssignments(this.#snapshot(holder, now)));
    } else {
      const changes = this.#changesSince(holder, last);
      this.emit(...this.#link.publishChanges(this.#holderState(now), changes));
    }
    const { revisions } = holder;
    this.#versions.push({ version, publishedAt: now, revisions });
    if (this.#versions.length > MAXIMUM_VERSIONS) this.#versions.shift();
    for (const [address, report] of this.#deferredReports) {
      this.#catchUp(holder, address, report, now);
    }
    this.#deferredReports.clear();
  }

  #changesSince(
    holder: TermHolder,
    { version, revisions }: PublishedVersion,
  ): AssignmentChanges {
    return { since: version, assignments: holder.changesSince(revisions) };
  }

  /**
   * Sends the state of overloaded servers to all followers if a threshold has
   * changed much. With their next reports, they would receive it up to 0.5 s
   * later.
   */
  #publishAdmissions(holder: TermHolder, now: number): void {
    if (this.#overload.advanceAdmissions(holder, now)) {
      this.#areAdmissionsDue = true;
    }
    const isDue = now >= this.#admissionsSentAt + this.#link.publishInterval;
    if (!this.#areAdmissionsDue || !isDue) return;
    this.#areAdmissionsDue = false;
    this.#admissionsSentAt = now;
    this.emit(
      ...this.#link.publishOverload(
        this.#holderState(now),
        { ...this.#overload.current, admissions: this.admissions(now) },
        this.clusterState.fleet.stated.leaving(),
      ),
    );
  }

  #publishRegistry(): void {
    const { registry } = this.clusterState;
    const since = this.#publishedPosition;
    this.#publishedPosition = registry.position;
    if (since === null || since === registry.position) return;
    const changes = registry.updateSince(since, null);
    if (
      changes === null || changes.entries.length + changes.removed.length === 0
    ) {
      return;
    }
    const senderState = this.clusterState.senderState(this.#published);
    this.emit(...this.#link.publishRegistry(senderState, changes));
  }

  /** Registry changes that the sender of a report lacks, or null. */
  #registryChanges(
    { position, sentAt, era }: FollowerReport,
    now: number,
  ): RegistryUpdate | null {
    const { registry } = this.clusterState;
    if (position === null || (era ?? null) !== this.clusterState.era) {
      return null;
    }
    // The time at which the registry data was current, on the follower's clock.
    // The age of the data counts from when the follower sent the report, since
    // the report and the answer can be delayed.
    return registry.updateSince(position, sentAt - (now - registry.knownAt));
  }

  #holderState(now: number): HolderState {
    return {
      ...this.clusterState.senderState(this.#published),
      vms: this.vmCount(now),
      fittest: this.campaign.highestFitness(now),
      storeSilence: Math.max(0, this.store.silence(now)),
    };
  }

  #snapshot(holder: TermHolder, now: number): AssignmentSnapshot {
    return {
      holderState: this.#holderState(now),
      assignments: holder.assignments,
    };
  }
}
