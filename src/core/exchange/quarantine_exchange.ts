/**
 * How VMs share which requests servers have ended under.
 *
 * Each VM tells the term holder what it has seen, with its reports, until one that has
 * it is answered; the holder, which sees the ends of all VMs, tells all of them what
 * is held back, or close to it, as soon as it is. Every report carries a digest of
 * that, and whoever gets one that differs answers with all of it: so a VM that has
 * just started, or has missed something, catches up within a report, and a new holder
 * is told everything anew. None of this needs the store, nor authority to give orders.
 *
 * While the holder is not heard, the VMs at the seed addresses stand in for it.
 *
 * @module
 */
import type { CrashRecord, Quarantine } from "../quarantine/index.ts";
import type { QuarantineUpdate } from "../peers/index.ts";

/** Silence after which a VM is not told unasked any more, in milliseconds: several of
 * its reports are missing. */
const LISTENER_SILENCE = 3_000;
/** Shortest pause between two answers to one VM, in milliseconds: what it lacks may be
 * on its way. */
const ANSWER_PAUSE = 400;
/** Pause between two words to the seeds while the holder is silent, in
 * milliseconds. */
const SEED_PAUSE = 500;
/** The same for each VM that tells them, so that a seed takes at most 200 words a
 * second. */
const SEED_PAUSE_PER_VM = 5;
/** Shortest pause before a report that cannot wait, in milliseconds for each VM, so
 * that a holder gets at most 100 of them a second: many VMs see each server end. */
const URGENT_PAUSE_PER_VM = 10;
/** Silence of the holder after which the seeds stand in for it, in milliseconds: two
 * of its answers are missing. */
const HOLDER_SILENCE = 1_200;
/** Shortest pause before the listeners are told of requests under which one server has
 * ended, in milliseconds for each of them: the ends of many servers at once are then
 * told in few words, and a copy that comes within that time meets one more end. */
const SUSPECTS_PAUSE_PER_VM = 2;
/** Reports whose answers are awaited; older ones count as lost. */
const MAXIMUM_AWAITED = 8;

/** A word to another VM. */
export interface QuarantineSend {
  address: string;
  word: QuarantineUpdate;
}

/** A report that has not been answered. */
interface Awaited {
  sentAt: number;
  revision: number;
}

/** A VM that has told its digest. */
interface Listener {
  heardAt: number;
  answeredAt: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class QuarantineExchange {
  readonly #listeners = new Map<string, Listener>();
  #holder: string | null = null;
  /** Up to which change the holder is known to have what is known here. */
  #holderRevision = 0;
  #awaited: Awaited[] = [];
  /** Up to which change the listeners were told, and what they were told then. */
  #toldRevision = 0;
  #toldDigest = 0;
  #toldAt = -Infinity;
  #seedsToldAt = -Infinity;
  #reportedAt = -Infinity;

  private constructor(
    private readonly quarantine: Quarantine,
    private readonly seeds: readonly string[],
  ) {}

  /** An exchange that has heard nobody. */
  static create(
    quarantine: Quarantine,
    seeds: readonly string[],
  ): QuarantineExchange {
    return new QuarantineExchange(quarantine, seeds);
  }

  /** Whether something that has not been told to the holder yet should not wait for
   * the next report; `vms` share what the holder can take. */
  isUrgent(vms: number | null, now: number): boolean {
    const last = this.#awaited.at(-1);
    const told = last?.revision ?? this.#holderRevision;
    if (this.#holder === null || this.quarantine.ownRevision <= told) {
      return false;
    }
    return now - this.#reportedAt >= URGENT_PAUSE_PER_VM * (vms ?? 0);
  }

  /** What a VM says that asks others for all that they know. */
  get question(): QuarantineUpdate {
    return { digest: this.quarantine.digest, records: [] };
  }

  /** The part of a report to the holder at an address that is sent now. */
  report(holder: string, now: number): QuarantineUpdate {
    this.#follow(holder);
    const { revision } = this.quarantine;
    this.#reportedAt = now;
    this.#awaited.push({ sentAt: now, revision });
    if (this.#awaited.length > MAXIMUM_AWAITED) this.#awaited.shift();
    return this.#word(this.#holderRevision, now, holder);
  }

  /** The holder at an address has answered the report that was sent at `sentAt`. */
  answered(holder: string, sentAt: number): void {
    if (holder !== this.#holder) return;
    const index = this.#awaited.findLastIndex((each) => each.sentAt <= sentAt);
    if (index < 0) return;
    const { revision } = this.#awaited[index];
    this.#holderRevision = Math.max(this.#holderRevision, revision);
    this.#awaited = this.#awaited.slice(index + 1);
  }

  /** Takes another VM's word; returns the answer to it, if it lacks something. */
  receive(
    address: string,
    { digest, records }: QuarantineUpdate,
    now: number,
  ): QuarantineSend | null {
    this.quarantine.merge(records, now, address);
    if (digest === null) return null;
    const known = this.#listeners.get(address);
    const answeredAt = known?.answeredAt ?? -Infinity;
    const listener = { heardAt: now, answeredAt };
    this.#listeners.set(address, listener);
    const isNew = known === undefined;
    if (digest === this.quarantine.digest && !isNew) return null;
    if (now - answeredAt < ANSWER_PAUSE) return null;
    listener.answeredAt = now;
    const all = isNew
      ? this.quarantine.suspects(now)
      : this.quarantine.notable(now);
    const word = { digest: null, records: all };
    return word.records.length === 0 ? null : { address, word };
  }

  /** Words that are due: news for those that listen here, and for the seeds while the
   * holder has been silent for `silence` milliseconds. `vms` share the seeds. */
  advance(
    silence: number,
    vms: number | null,
    now: number,
  ): QuarantineSend[] {
    this.quarantine.expire(now);
    const news = this.#tellListeners(now);
    if (silence < HOLDER_SILENCE) return news;
    return [...news, ...this.#tellSeeds(vms ?? 0, now)];
  }

  #tellListeners(now: number): QuarantineSend[] {
    const { digest, revision } = this.quarantine;
    const since = this.#toldRevision;
    if (revision === since) return [];
    const pause = SUSPECTS_PAUSE_PER_VM * this.#listeners.size;
    const isUrgent = digest !== this.#toldDigest;
    if (!isUrgent && now - this.#toldAt < pause) return [];
    this.#toldRevision = revision;
    this.#toldDigest = digest;
    this.#toldAt = now;
    const records = this.quarantine.changesSince(since, now);
    if (records.length === 0) return [];
    const word = { digest: null, records };
    for (const [address, { heardAt }] of this.#listeners) {
      if (now - heardAt > LISTENER_SILENCE) this.#listeners.delete(address);
    }
    return [...this.#listeners.keys()].map((address) => ({ address, word }));
  }

  #tellSeeds(vms: number, now: number): QuarantineSend[] {
    if (this.quarantine.revision === 0) return [];
    const pause = Math.max(SEED_PAUSE, SEED_PAUSE_PER_VM * vms);
    if (now - this.#seedsToldAt < pause) return [];
    this.#seedsToldAt = now;
    const word = this.#word(0, now);
    return this.seeds.map((address) => ({ address, word }));
  }

  #follow(holder: string): void {
    if (holder === this.#holder) return;
    this.#holder = holder;
    this.#holderRevision = 0;
    this.#awaited = [];
  }

  #word(
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
