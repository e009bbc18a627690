/**
 * Synchronizes between VMs the records of requests that crash servers.
 *
 * Each VM includes its new records in its reports to the term holder until a
 * report with them is answered. The holder, which thus receives the records of
 * all VMs, sends those of requests that are quarantined, or close to it, to all
 * VMs immediately. Every report includes a digest of the sender's records of
 * such requests. A VM that receives a digest other than its own answers with
 * all of its records of such requests, so that a VM that has just started or
 * has missed updates is up to date after its next report. Records of other
 * requests are sent to all VMs after a short delay. After a change of the
 * holder, each VM sends all its records again. None of this requires the store
 * or the authority of a term.
 *
 * While no message from the holder arrives, the VMs at the seed addresses take
 * its place.
 *
 * @module
 */
import type { CrashRecord, Quarantine } from "../quarantine/index.ts";
import type { QuarantineUpdate } from "../peers/index.ts";

/**
 * Time without a digest from a VM after which no more updates are sent to it,
 * in milliseconds. Several of its reports are missing by then.
 */
const PEER_TIMEOUT = 3_000;
/**
 * Minimum time between two answers to the same VM, in milliseconds. The records
 * of the first answer may still be in transit.
 */
const ANSWER_INTERVAL = 400;
/**
 * Minimum time between two updates of a VM to the seeds while they take the
 * holder's place, in milliseconds.
 */
const SEED_INTERVAL = 500;
/**
 * The same, in milliseconds per VM in the deployment, so that a seed receives
 * at most 200 updates per second. The larger of the two times applies.
 */
const SEED_INTERVAL_PER_VM = 5;
/**
 * Minimum time between a report and an urgent one, in milliseconds per VM in
 * the deployment, so that the holder receives at most 100 urgent reports per
 * second. Many VMs detect the same server crash.
 */
const URGENT_INTERVAL_PER_VM = 10;
/**
 * Time without a message from the holder after which the seeds take its place,
 * in milliseconds. Two answers are missing by then.
 */
const HOLDER_TIMEOUT = 1_200;
/**
 * Minimum time between two updates on requests that have crashed only one
 * server, in milliseconds per receiving VM, so that simultaneous crashes of
 * many servers cause few messages. A copy of such a request that arrives at
 * another VM within this time can crash one more server.
 */
const SINGLE_CRASH_INTERVAL_PER_VM = 2;
/**
 * Maximum number of reports that wait for an answer; older ones count as lost.
 */
const MAXIMUM_PENDING = 8;

/** An update to send to the VM at `address`. */
export interface QuarantineSend {
  address: string;
  update: QuarantineUpdate;
}

/**
 * A report that has not been answered. `revision` is that of the local records
 * at the time it was sent.
 */
interface PendingReport {
  sentAt: number;
  revision: number;
}

/** A VM that has sent its digest. */
interface Peer {
  receivedAt: number;
  answeredAt: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class QuarantineExchange {
  readonly #peers = new Map<string, Peer>();
  #holder: string | null = null;
  /** Revision of the local records up to which the holder has received them. */
  #holderRevision = 0;
  #pending: PendingReport[] = [];
  /**
   * Revision and digest of the local records when they were last sent to the
   * peers.
   */
  #publishedRevision = 0;
  #publishedDigest = 0;
  #publishedAt = -Infinity;
  #seedsUpdatedAt = -Infinity;
  #reportedAt = -Infinity;

  private constructor(
    private readonly quarantine: Quarantine,
    private readonly seeds: readonly string[],
  ) {}

  /** Creates an exchange that has received no updates. */
  static create(
    quarantine: Quarantine,
    seeds: readonly string[],
  ): QuarantineExchange {
    return new QuarantineExchange(quarantine, seeds);
  }

  /**
   * Whether this VM has observed changes that it has not yet sent to the holder
   * and that should not wait for the next regular report. `vmCount` is the
   * estimated number of VMs that send reports to the holder, or null.
   */
  isUrgent(vmCount: number | null, now: number): boolean {
    const last = this.#pending.at(-1);
    const sentRevision = last?.revision ?? this.#holderRevision;
    if (this.#holder === null || this.quarantine.ownRevision <= sentRevision) {
      return false;
    }
    return now - this.#reportedAt >= URGENT_INTERVAL_PER_VM * (vmCount ?? 0);
  }

  /**
   * An update with the digest only. A receiver whose digest differs answers
   * with its records.
   */
  get digestUpdate(): QuarantineUpdate {
    return { digest: this.quarantine.digest, records: [] };
  }

  /**
   * Returns the update to include in a report that is sent now to the holder at
   * address `holder`.
   */
  report(holder: string, now: number): QuarantineUpdate {
    this.#follow(holder);
    const { revision } = this.quarantine;
    this.#reportedAt = now;
    this.#pending.push({ sentAt: now, revision });
    if (this.#pending.length > MAXIMUM_PENDING) this.#pending.shift();
    return this.#createUpdate(this.#holderRevision, now, holder);
  }

  /**
   * Records that the holder at address `holder` answered the report sent at
   * `sentAt`.
   */
  reportAnswered(holder: string, sentAt: number): void {
    if (holder !== this.#holder) return;
    const index = this.#pending.findLastIndex((each) => each.sentAt <= sentAt);
    if (index < 0) return;
    const { revision } = this.#pending[index];
    this.#holderRevision = Math.max(this.#holderRevision, revision);
    this.#pending = this.#pending.slice(index + 1);
  }

  /**
   * Merges the update of the VM at `address`. Returns the answer, or null if
   * none is needed.
   */
  receive(
    address: string,
    { digest, records }: QuarantineUpdate,
    now: number,
  ): QuarantineSend | null {
    this.quarantine.merge(records, now, address);
    if (digest === null) return null;
    const previous = this.#peers.get(address);
    const answeredAt = previous?.answeredAt ?? -Infinity;
    const peer = { receivedAt: now, answeredAt };
    this.#peers.set(address, peer);
    const isNew = previous === undefined;
    if (digest === this.quarantine.digest && !isNew) return null;
    if (now - answeredAt < ANSWER_INTERVAL) return null;
    peer.answeredAt = now;
    const recordsToSend = isNew
      ? this.quarantine.startupRecords(now)
      : this.quarantine.replicatedRecords(now);
    const update = { digest: null, records: recordsToSend };
    return update.records.length === 0 ? null : { address, update };
  }

  /**
   * Returns the updates that are due: to peers and, while they take the
   * holder's place, to the seeds. `silence` is the time since the holder's last
   * message in milliseconds, `vmCount` the estimated number of VMs or null.
   */
  advance(
    silence: number,
    vmCount: number | null,
    now: number,
  ): QuarantineSend[] {
    this.quarantine.advance(now);
    const updates = this.#updatePeers(now);
    if (silence < HOLDER_TIMEOUT) return updates;
    return [...updates, ...this.#updateSeeds(vmCount ?? 0, now)];
  }

  #updatePeers(now: number): QuarantineSend[] {
    const { digest, revision } = this.quarantine;
    const since = this.#publishedRevision;
    if (revision === since) return [];
    const interval = SINGLE_CRASH_INTERVAL_PER_VM * this.#peers.size;
    const isUrgent = digest !== this.#publishedDigest;
    if (!isUrgent && now - this.#publishedAt < interval) return [];
    this.#publishedRevision = revision;
    this.#publishedDigest = digest;
    this.#publishedAt = now;
    const records = this.quarantine.changesSince(since, now);
    if (records.length === 0) return [];
    const update = { digest: null, records };
    for (const [address, { receivedAt }] of this.#peers) {
      if (now - receivedAt > PEER_TIMEOUT) this.#peers.delete(address);
    }
    return [...this.#peers.keys()].map((address) => ({ address, update }));
  }

  #updateSeeds(vmCount: number, now: number): QuarantineSend[] {
    if (this.quarantine.revision === 0) return [];
    const interval = Math.max(SEED_INTERVAL, SEED_INTERVAL_PER_VM * vmCount);
    if (now - this.#seedsUpdatedAt < interval) return [];
    this.#seedsUpdatedAt = now;
    const update = this.#createUpdate(0, now);
    return this.seeds.map((address) => ({ address, update }));
  }

  #follow(holder: string): void {
    if (holder === this.#holder) return;
    this.#holder = holder;
    this.#holderRevision = 0;
    this.#pending = [];
  }

  /**
   * Returns the digest and the records that changed after revision `since`.
   * Those that the VM at `address` is known to have are left out.
   */
  #createUpdate(
    since: number,
    now: number,
    address: string | null = null,
  ): QuarantineUpdate {
    const records: CrashRecord[] = this.quarantine.changesSince(
      since,
      now,
      address,
    );
    return { digest: this.quarantine.digest, records };
  }
}
