/**
 * How a VM that does not hold the term stays in touch with the one that does.
 *
 * It reports the keys that it was asked for and gets every change of the
 * assignments at once. Where it sees that it has missed some it reports at once,
 * and again until that is answered: a connection may have died unseen. While the
 * holder does not answer it asks for what the store has recorded instead.
 *
 * @module
 */
import type { ServerRate, ServerSamples } from "../fleet/index.ts";
import type { KeyReport, Knowledge, PeerSend } from "./peer_message.ts";

/** Pause between reports, in milliseconds: how late a busy key is noticed, and
 * how old the holder's word about the registry gets. Half of it moved busy keys
 * no better and cost a tenth of the processor time of a quiet VM. */
const REPORT_INTERVAL = 500;
/** The same while what is known here seems out of date, until the holder has
 * answered; doubles with each report that it does not answer. */
const URGENT_INTERVAL = 60;
/** VMs whose first reports a new holder answers without delay. */
const ANSWERED_AT_ONCE = 20;
/** Time over which the first reports of more VMs are spread, in milliseconds for
 * each: the holder takes connections one at a time, and answers each with all
 * assignments. */
const SPREAD_PER_VM = 3;
/** Silence of the holder after which the record is read, in milliseconds. */
const HOLDER_SILENCE = 1_600;
/** The same for a holder that has not been heard at all: after a loss of all VMs
 * the announced one is gone, and the record says where the keys were. */
const FIRST_SILENCE = 60;
/** Pause between reads of the record, in milliseconds: each is paid for. */
const FETCH_INTERVAL = 1_000;
/** Age of what the holder knows of the store up to which its word does for an own
 * call, in milliseconds: its answer to the last report, up to half a second ago,
 * and the age of its own last answered call then. A store that the holder has lost
 * is asked after this time, which leaves a second for a configuration that must be
 * in force within 2.5 s. */
const CURRENT_AGE = 1_500;
/** Keys of one report for each service; a sample of more is as good. */
const MAXIMUM_KEYS = 128;

/** Asks for what the store has recorded. */
export interface AssignmentFetch {
  kind: "assignments.fetch";
}

/** A report that cannot wait. */
interface UrgentReport {
  /** When it was sent first; Infinity before that. */
  sentAt: number;
  /** Least time after the report before, in milliseconds. */
  pause: number;
}

/** See the module's comment. */
export class FollowerLink {
  #holder: string | null = null;
  #heardAt = -Infinity;
  /** When the holder was in touch with the store at the latest, as far as known. */
  #currentAt = -Infinity;
  #followsSince = -Infinity;
  #reportedAt = -Infinity;
  #fetchedAt = -Infinity;
  #urgent: UrgentReport | null = null;
  readonly #samples = new Map<string, number[]>();

  private constructor(private readonly fitness: number) {}

  /** A link of a VM of this fitness to a holder that is not known yet. */
  static create(fitness: number): FollowerLink {
    return new FollowerLink(fitness);
  }

  /** Time since the holder was heard, in milliseconds. */
  silence(now: number): number {
    return now - this.#heardAt;
  }

  /** The holder's address, or null. */
  get holder(): string | null {
    return this.#holder;
  }

  /** Another VM holds the term now, or this one itself (null). All VMs hear of it
   * in the same moment: `chance`, in [0, 1), spreads their first reports, of which
   * there are as many as there are VMs, and with them all that follow. */
  follow(
    address: string | null,
    vms: number | null,
    chance: number,
    now: number,
  ): void {
    if (address === this.#holder) return;
    this.#holder = address;
    const many = Math.max(0, (vms ?? 0) - ANSWERED_AT_ONCE);
    const spread = Math.min(REPORT_INTERVAL, many * SPREAD_PER_VM);
    this.#reportedAt = now - REPORT_INTERVAL + spread * chance;
    this.#followsSince = now;
  }

  /** The holder was heard. */
  heard(now: number): void {
    this.#heardAt = now;
  }

  /** What is known here seems out of date. */
  outdated(): void {
    this.#urgent ??= { sentAt: Infinity, pause: URGENT_INTERVAL };
  }

  /** Whether the holder's word does for calls to the store. */
  isCurrent(now: number): boolean {
    return this.#holder !== null && now - this.#currentAt <= CURRENT_AGE;
  }

  /** The holder has answered the report that was sent at `sentAt`; its store had
   * answered it at `currentAt` at the latest, by this VM's clock. */
  answered(sentAt: number, currentAt: number): void {
    this.#currentAt = Math.max(this.#currentAt, currentAt);
    if (this.#urgent !== null && sentAt >= this.#urgent.sentAt) {
      this.#urgent = null;
    }
  }

  /** Whether a report to the holder is due. */
  isReportDue(now: number): boolean {
    const pause = this.#urgent?.pause ?? REPORT_INTERVAL;
    return now - this.#reportedAt >= pause;
  }

  /** When a report is due that cannot wait, or the first one to a new holder;
   * Infinity without one. */
  nextAt(): number {
    if (this.#holder === null) return Infinity;
    const isFirst = this.#reportedAt < this.#followsSince;
    const pause = this.#urgent?.pause ?? (isFirst ? REPORT_INTERVAL : Infinity);
    return this.#reportedAt + pause;
  }

  /** A key was asked for. */
  sample(service: string, key: number): void {
    const keys = this.#samples.get(service) ?? [];
    if (keys.length < MAXIMUM_KEYS) keys.push(key);
    this.#samples.set(service, keys);
  }

  /**
   * Takes all steps that are due. `position` is up to where the registry is
   * known, `latencies` what was measured since the last report, `rates` the rate
   * limits stated since the last report; `mayFetch` when assignments are needed and
   * the store answers, `isTold` while the store's news are left to the holder.
   */
  advance(
    now: number,
    known: Knowledge,
    position: number | null,
    latencies: readonly ServerSamples[],
    mayFetch: boolean,
    isTold: boolean,
    rates: readonly ServerRate[] = [],
  ): (PeerSend | AssignmentFetch)[] {
    const effects: (PeerSend | AssignmentFetch)[] = [];
    if (this.#holder !== null && this.isReportDue(now)) {
      this.#reported(now);
      const report = this.#report(known, position, latencies, now);
      const stated = rates.length > 0 ? { rates: [...rates] } : {};
      const message = { ...report, isTold, ...stated };
      effects.push({ kind: "peer.send", address: this.#holder, message });
    }
    const isFetchDue = now - this.#fetchedAt >= FETCH_INTERVAL;
    if (mayFetch && isFetchDue && this.#isHolderSilent(now)) {
      this.#fetchedAt = now;
      effects.push({ kind: "assignments.fetch" });
    }
    return effects;
  }

  #reported(now: number): void {
    this.#reportedAt = now;
    const urgent = this.#urgent;
    if (urgent === null) return;
    if (urgent.sentAt === Infinity) urgent.sentAt = now;
    else urgent.pause = Math.min(REPORT_INTERVAL, urgent.pause * 2);
  }

  /** Whether a holder was announced that does not answer. */
  #isHolderSilent(now: number): boolean {
    const isUnheard = this.#heardAt < this.#followsSince;
    const since = isUnheard ? this.#followsSince : this.#heardAt;
    const patience = this.#heardAt === -Infinity
      ? FIRST_SILENCE
      : HOLDER_SILENCE;
    return since > -Infinity && now - since >= patience;
  }

  #report(
    known: Knowledge,
    position: number | null,
    latencies: readonly ServerSamples[],
    now: number,
  ): KeyReport {
    const samples = [...this.#samples]
      .map(([service, keys]) => ({ service, keys }));
    this.#samples.clear();
    const { fitness } = this;
    return {
      kind: "keys.asked",
      ...known,
      samples,
      latencies: [...latencies],
      position,
      sentAt: now,
      fitness,
    };
  }
}
