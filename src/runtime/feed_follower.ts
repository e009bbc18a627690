/**
 * Follows one feed of the store: reads all that is current, then what is
 * written from there on, and starts over when records have expired.
 *
 * @module
 */
import type { Journal } from "../logging/index.ts";
import { errorText } from "../errors/index.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type { ControlStore, Feed, StoreRead } from "./control_store.ts";
import type { OccurrenceSink } from "./entry_loop.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import { RecordFaults } from "./record_faults.ts";

/** Pause after a read that failed, in milliseconds. */
const RETRY_PAUSE = 250;
/** Longest wait for a sign that the store answers again, in milliseconds. The
 * calls of membership, which cost a tenth, find that out; feeds that kept asking
 * made 7,500 calls in 25 s while the store turned a third of 91 VMs away. */
const LONGEST_WAIT = 3_000;

/** Time after a failed read for which reads wait shortly, in milliseconds: a store
 * that has just come back may lose the answer to a call that waits without a
 * sign, which is noticed only when the call times out. */
const UNSURE_TIME = 1_500;

/** How a feed is followed. */
export interface FeedPace {
  /** Time for which a read waits for the next record, in milliseconds: for
   * feeds that change seldom, where news has to come at once. */
  wait: number;
  /** The same just after a read has failed. */
  unsureWait: number;
  /** Pause between reads, in milliseconds: for feeds that always change. */
  pause: number;
}

/** See the module's comment. */
export class FeedFollower {
  #next: number | null = null;
  #isStopped = false;
  #isOn = true;
  /** Whether a read is on its way. */
  #isReading = false;
  /** Lets a follower that was turned off go on; null while it is not waiting. */
  #resume: (() => void) | null = null;
  #failedAt = -Infinity;
  #isRefreshing = false;

  private constructor(
    private readonly store: ControlStore,
    private readonly feed: Feed,
    private readonly pace: FeedPace,
    private readonly sink: OccurrenceSink,
    private readonly faults: RecordFaults,
  ) {}

  /** Starts to follow `feed`. */
  static create(
    store: ControlStore,
    feed: Feed,
    pace: FeedPace,
    sink: OccurrenceSink,
    journal: Journal,
    metrics: EntryMetrics,
  ): FeedFollower {
    const faults = RecordFaults.create(feed, journal, metrics);
    const follower = new FeedFollower(store, feed, pace, sink, faults);
    void follower.#follow();
    return follower;
  }

  /** Reads all that is current now, beside the call that waits for news; once at a
   * time, since a large document would come no sooner twice. */
  async refresh(): Promise<void> {
    if (this.#isRefreshing) return;
    this.#isRefreshing = true;
    const sentAt = monotonicNow();
    try {
      this.#pass(await this.store.readAll(this.feed), sentAt);
    } catch (error) {
      this.#failed(error);
    } finally {
      this.#isRefreshing = false;
    }
  }

  /** Reads on, or begins no further read until it is turned on again. A read that
   * still waits then may have lost its connection without a sign, so another one
   * is made beside it. */
  turn(isOn: boolean): void {
    if (isOn === this.#isOn) return;
    this.#isOn = isOn;
    if (!isOn) return;
    if (this.#isReading) void this.refresh();
    this.#resume?.();
  }

  /** Reads nothing more. */
  stop(): void {
    this.#isStopped = true;
    this.#resume?.();
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      if (!this.#isOn) await this.#turnedOn();
      if (this.#isStopped) return;
      const startedAt = monotonicNow();
      const isDone = await this.#read(startedAt);
      const pause = isDone ? this.pace.pause : RETRY_PAUSE;
      const left = startedAt + pause - monotonicNow();
      if (left > 0) await new Promise((next) => setTimeout(next, left));
      if (!isDone) await this.store.reached(LONGEST_WAIT);
    }
  }

  async #turnedOn(): Promise<void> {
    await new Promise<void>((resolve) => this.#resume = resolve);
    this.#resume = null;
  }

  async #read(sentAt: number): Promise<boolean> {
    this.#isReading = true;
    try {
      const read = this.#next === null
        ? await this.store.readAll(this.feed)
        : await this.store.readOn(this.feed, this.#next, this.#wait(sentAt));
      if (this.#isStopped) return true;
      this.#next = read.next;
      this.#pass(read, sentAt);
      return true;
    } catch (error) {
      if (this.store.isExpired(error)) this.#next = null;
      this.#failed(error);
      return false;
    } finally {
      this.#isReading = false;
    }
  }

  /** How long a read that begins now may wait for news. */
  #wait(now: number): number {
    const isUnsure = now - this.#failedAt < UNSURE_TIME;
    return isUnsure ? this.pace.unsureWait : this.pace.wait;
  }

  #failed(error: unknown): void {
    if (this.#isStopped) return;
    this.#failedAt = monotonicNow();
    this.sink.push({
      kind: "store.failed",
      step: `follow ${this.feed}`,
      cause: errorText(error),
    });
  }

  #pass(read: StoreRead, sentAt: number): void {
    this.sink.push({ kind: "store.answered", sentAt });
    this.faults.take(read);
    for (const occurrence of read.occurrences) this.sink.push(occurrence);
  }
}
