/**
 * What the term holder tells the other VMs: each change of the assignments and
 * of the registry once, and to a VM that has missed some just those.
 *
 * Every message goes to all followers, so what is told twice is paid for as many
 * times as there are VMs: whole assignments to each VM that was a change behind
 * when it reported made 11 Mbit/s with 90 followers.
 *
 * @module
 */
import type { Beliefs, Emit } from "../beliefs.ts";
import { CrowdingWatch } from "./crowding_watch.ts";
import type { ServerSamples } from "../fleet/index.ts";
import type { KeyLoads, TermCampaign, TermHolder } from "../keyspace/index.ts";
import {
  type AssignmentChanges,
  type AssignmentSnapshot,
  type FollowerReport,
  type HolderAddress,
  HolderLink,
  type HolderState,
  MessagePacing,
  type PeerSend,
} from "../peers/index.ts";
import type { RegistryNews } from "../registry/index.ts";
import type { StoreHealth } from "../store_health.ts";

/** Time that a published change may need to reach a follower, in milliseconds:
 * a report that crosses it is answered as if it had arrived. */
const IN_FLIGHT = 120;
/** Published versions that are kept as places from which a follower can be told
 * what has changed: some seconds of a busy holder. */
const MAXIMUM_MARKS = 256;

/** A version that was published. */
interface Mark {
  version: number;
  publishedAt: number;
  /** How far each table had changed. */
  revisions: ReadonlyMap<string, number>;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class TermPublication {
  readonly #link = HolderLink.create();
  readonly #crowding: CrowdingWatch;
  #published = { term: 0, version: 0 };
  #publishedAt = -Infinity;
  /** Versions of this term, oldest first. */
  #marks: Mark[] = [];
  /** Position up to which followers were told the registry, or null. */
  #publishedPosition: number | null = null;
  /** Version of the configuration, and since when it is known here. */
  #configuration = { version: -1, since: -Infinity };
  /** All assignments, by their term, and the configuration, by its version. */
  readonly #assignmentPacing = MessagePacing.create();
  readonly #configurationPacing = MessagePacing.create();
  /** Reports that came while changes waited to be published. */
  readonly #owed = new Map<string, FollowerReport>();

  private constructor(
    private readonly beliefs: Beliefs,
    private readonly campaign: TermCampaign,
    private readonly loads: KeyLoads,
    private readonly store: StoreHealth,
    private readonly emit: Emit,
  ) {
    this.#crowding = CrowdingWatch.create(beliefs, loads);
  }

  /** A publication that has told nobody anything. */
  static create(
    beliefs: Beliefs,
    campaign: TermCampaign,
    loads: KeyLoads,
    store: StoreHealth,
    emit: Emit,
  ): TermPublication {
    return new TermPublication(beliefs, campaign, loads, store, emit);
  }

  /** Number of VMs that are heard, this one included. */
  vms(now: number): number {
    return this.#link.vmCount(now);
  }

  /** Tells those that leave the store's news to this VM, if it was the holder, who
   * is now: they would miss it for as long as they take to find this one silent. */
  tellSuccessor(holder: HolderAddress): PeerSend[] {
    const knowledge = this.beliefs.knowledge();
    return this.#link.announceSuccessor(knowledge, holder);
  }

  /** Tells all followers what has changed. */
  advance(holder: TermHolder, now: number): void {
    this.#publishRegistry();
    this.#crowding.advance(holder, now);
    if (!this.#isPublished(holder)) this.beliefs.assign(holder.assignments);
    const isDue = now >= this.#publishedAt + this.#link.publishInterval;
    if (isDue) this.#publish(holder, now);
  }

  /** Takes a follower's report and answers it. */
  reported(
    holder: TermHolder,
    address: string,
    report: FollowerReport,
    now: number,
  ): void {
    for (const { service, keys } of report.samples) {
      for (const key of keys) this.loads.of(service).record(key, now);
    }
    this.#observe(report, now);
    this.beliefs.hearRates(report.rates ?? [], now);
    this.campaign.hearFitness(report.fitness, now);
    this.#link.reportReceived(address, report.isTold ?? false, now);
    const news = this.#news(report, now);
    this.emit(
      this.#link.answerReport(
        address,
        this.#word(now),
        news,
        this.#crowding.current,
        report.sentAt,
      ),
    );
    this.#tellConfiguration(address, report, now);
    if (this.#isPublished(holder)) this.#catchUp(holder, address, report, now);
    else this.#owed.set(address, report);
  }

  /** Takes what a follower measured of the runs that are listed here; by its
   * position it may know an older run of some server. */
  #observe({ latencies, position }: FollowerReport, now: number): void {
    const { fleet, registry } = this.beliefs;
    const isOfSameRun = ({ server }: ServerSamples) =>
      registry.runSince(server) <= (position ?? 0);
    fleet.observe(latencies.filter(isOfSameRun), now);
  }

  /** Tells a follower the configuration if it lacks it: at once where it leaves
   * the store's news to the holder, else once a read of its own would have brought
   * it, since the call that waits for news may have lost its answer. */
  #tellConfiguration(
    address: string,
    report: FollowerReport,
    now: number,
  ): void {
    const { configuration, version } = this.beliefs.catalog;
    if (version !== this.#configuration.version) {
      this.#configuration = { version, since: now };
    }
    const isSettled = now - this.#configuration.since > IN_FLIGHT;
    if (configuration === null || report.configuration >= version) return;
    if (!isSettled && !report.isTold) return;
    const { sentAt } = report;
    const pacing = this.#configurationPacing;
    if (!pacing.maySend(address, version, sentAt, now)) return;
    const knowledge = this.beliefs.knowledge(this.#published);
    this.emit(this.#link.sendConfiguration(address, knowledge, configuration));
  }

  /** Tells a follower what it has missed, if anything. */
  #catchUp(
    holder: TermHolder,
    address: string,
    report: FollowerReport,
    now: number,
  ): void {
    const { term, version } = report;
    const isOfTerm = term === this.#published.term;
    if (isOfTerm && version === this.#published.version) return;
    const index = isOfTerm
      ? this.#marks.findIndex((mark) => mark.version === version)
      : -1;
    const next = this.#marks[index + 1];
    if (index < 0 || next === undefined) {
      this.#tellAll(holder, address, report, now);
    } else if (now - next.publishedAt > IN_FLIGHT) {
      const changes = this.#changesSince(holder, this.#marks[index]);
      this.emit(this.#link.sendChanges(address, this.#word(now), changes));
    }
  }

  /** Tells a follower everything, unless that is on its way already. */
  #tellAll(
    holder: TermHolder,
    address: string,
    { sentAt }: FollowerReport,
    now: number,
  ): void {
    const { term } = holder;
    if (!this.#assignmentPacing.maySend(address, term, sentAt, now)) return;
    this.emit(this.#link.sendAssignments(address, this.#bulletin(holder, now)));
  }

  #isPublished({ term, version }: TermHolder): boolean {
    return term === this.#published.term && version === this.#published.version;
  }

  #publish(holder: TermHolder, now: number): void {
    if (this.#isPublished(holder)) return;
    const { term, version } = holder;
    const isNewTerm = term !== this.#published.term;
    const last = isNewTerm ? undefined : this.#marks.at(-1);
    this.#published = { term, version };
    this.#publishedAt = now;
    if (last === undefined) {
      this.#marks = [];
      this.emit(...this.#link.publishAssignments(this.#bulletin(holder, now)));
    } else {
      const changes = this.#changesSince(holder, last);
      this.emit(...this.#link.publishChanges(this.#word(now), changes));
    }
    const { revisions } = holder;
    this.#marks.push({ version, publishedAt: now, revisions });
    if (this.#marks.length > MAXIMUM_MARKS) this.#marks.shift();
    for (const [address, report] of this.#owed) {
      this.#catchUp(holder, address, report, now);
    }
    this.#owed.clear();
  }

  #changesSince(
    holder: TermHolder,
    { version, revisions }: Mark,
  ): AssignmentChanges {
    return { since: version, assignments: holder.changesSince(revisions) };
  }

  #publishRegistry(): void {
    const { registry } = this.beliefs;
    const since = this.#publishedPosition;
    this.#publishedPosition = registry.position;
    if (since === null || since === registry.position) return;
    const news = registry.news(since, null);
    if (news === null || news.entries.length + news.removed.length === 0) {
      return;
    }
    const knowledge = this.beliefs.knowledge(this.#published);
    this.emit(...this.#link.publishRegistry(knowledge, news));
  }

  /** What the sender of a report does not know of the registry. */
  #news(
    { position, sentAt }: FollowerReport,
    now: number,
  ): RegistryNews | null {
    const { registry } = this.beliefs;
    if (position === null) return null;
    // Older than this answer by the age of what is known here; the follower
    // reckons from when it asked, since messages may be held up on their way.
    return registry.news(position, sentAt - (now - registry.knownAt));
  }

  #word(now: number): HolderState {
    return {
      ...this.beliefs.knowledge(this.#published),
      vms: this.vms(now),
      fittest: this.campaign.fittest(now),
      storeSilence: Math.max(0, this.store.silence(now)),
    };
  }

  #bulletin(holder: TermHolder, now: number): AssignmentSnapshot {
    return { holderState: this.#word(now), assignments: holder.assignments };
  }
}
