/**
 * Executes the core's calls to the store and reports the result of each to the
 * core as events.
 *
 * @module
 */
import { MEMBERSHIP_STEP } from "../core/entry_event.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type {
  AssignmentWrite,
  GroupJoin,
  GroupLeave,
  HolderAnnouncement,
  TermClaim,
  WriteOutcome,
} from "../core/keyspace/index.ts";
import type { QuarantineWrite } from "../core/exchange/index.ts";
import type { RegistryFetch } from "../core/registry/index.ts";
import { errorText } from "../errors/index.ts";
import type { Logger } from "../logging/index.ts";
import type { ControlStore, RecordsRead } from "./control_store.ts";
import type { EventSink } from "./entry_loop.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import { RecordFaultLog } from "./record_fault_log.ts";

/** See the module's comment. */
export class StoreLink {
  private constructor(
    private readonly store: ControlStore,
    private readonly timeToLive: number,
    private readonly sink: EventSink,
    private readonly registryFaultLog: RecordFaultLog,
    private readonly ownershipFaultLog: RecordFaultLog,
  ) {}

  /**
   * Creates a link to `store`. The VM's membership of a group expires
   * `timeToLive` milliseconds after its last join call.
   */
  static create(
    store: ControlStore,
    timeToLive: number,
    sink: EventSink,
    logger: Logger,
    metrics: EntryMetrics,
  ): StoreLink {
    return new StoreLink(
      store,
      timeToLive,
      sink,
      RecordFaultLog.create("servers", logger, metrics),
      RecordFaultLog.create("ownership", logger, metrics),
    );
  }

  /** Joins a group or renews the membership. */
  async join({ group, generation }: GroupJoin): Promise<void> {
    const sentAt = monotonicNow();
    try {
      const membership = await this.store.join(
        group,
        generation,
        this.timeToLive,
      );
      this.sink.push({ kind: "store.answered", sentAt });
      this.sink.push({
        kind: "group.joined",
        membership: { ...membership, group, sentAt },
      });
    } catch (error) {
      this.#reportFailure(MEMBERSHIP_STEP, error);
      this.sink.push({ kind: "group.failed" });
    }
  }

  /** Leaves a group. */
  async leave({ group }: GroupLeave): Promise<void> {
    try {
      await this.store.leave(group);
    } catch (error) {
      this.#reportFailure("leave the group", error);
    }
  }

  /** Reads the records of term holders. */
  async readRecords(): Promise<void> {
    const sentAt = monotonicNow();
    try {
      const { records, isTermKnown } = await this.#readRecords();
      this.sink.push({ kind: "store.answered", sentAt });
      this.sink.push({
        kind: "term.read",
        records: isTermKnown ? records : null,
      });
    } catch (error) {
      this.#reportFailure("read assignments", error);
      this.sink.push({ kind: "term.read", records: null });
    }
  }

  /** Claims a term. */
  async claimTerm({ end, ...claim }: TermClaim): Promise<void> {
    const { term } = claim;
    const outcome = await this.#write(
      "claim the term",
      () => this.store.claimTerm(claim, end),
    );
    this.sink.push({ kind: "term.claimed", term, outcome });
  }

  /**
   * Announces to all VMs that this one, reachable at `address`, holds the term.
   */
  async announceHolder(
    { term, fitness }: HolderAnnouncement,
    address: string,
  ): Promise<void> {
    try {
      await this.store.announceHolder(term, address, fitness);
    } catch (error) {
      this.#reportFailure("announce the holder", error);
    }
  }

  /** Reads the recorded assignments for routing. */
  async fetchAssignments(): Promise<void> {
    const sentAt = monotonicNow();
    try {
      const { records } = await this.#readRecords();
      const { assignments } = records;
      this.sink.push({ kind: "store.answered", sentAt });
      this.sink.push({ kind: "assignments.read", assignments });
    } catch (error) {
      this.#reportFailure("fetch assignments", error);
    }
  }

  /** Reads the registry. */
  async readServers({ from }: RegistryFetch): Promise<void> {
    const sentAt = monotonicNow();
    try {
      const read = await this.store.readServers(from);
      this.registryFaultLog.update(read);
      this.sink.push({ kind: "store.answered", sentAt });
      this.sink.push({ kind: "servers.read", read, sentAt });
    } catch (error) {
      this.#reportFailure("read the registry", error);
      const isExpired = this.store.isExpired(error);
      this.sink.push({ kind: "servers.failed", isExpired });
    }
  }

  /** Records assignments. */
  async writeAssignments(
    { term, sequence, assignments }: AssignmentWrite,
  ): Promise<void> {
    const outcome = await this.#write(
      "record assignments",
      () => this.store.writeAssignments(term, sequence, assignments),
    );
    this.sink.push({ kind: "assignments.written", term, outcome });
  }

  /** Records quarantined requests. */
  async writeQuarantine({ records }: QuarantineWrite): Promise<void> {
    const outcome = await this.#write(
      "record quarantined requests",
      () => this.store.writeQuarantine(records),
    );
    const isDone = outcome === "done";
    this.sink.push({ kind: "quarantine.written", isDone });
  }

  /** Reads the records of term holders and logs those that are faulty. */
  async #readRecords(): Promise<RecordsRead> {
    const read = await this.store.readRecords();
    this.ownershipFaultLog.update(read);
    return read;
  }

  async #write(
    step: string,
    call: () => Promise<void>,
  ): Promise<WriteOutcome> {
    const sentAt = monotonicNow();
    try {
      await call();
      this.sink.push({ kind: "store.answered", sentAt });
      return "done";
    } catch (error) {
      this.#reportFailure(step, error);
      return this.store.isConflict(error) ? "superseded" : "again";
    }
  }

  #reportFailure(step: string, error: unknown): void {
    this.sink.push({ kind: "store.failed", step, cause: errorText(error) });
  }
}
