/**
 * Follows one feed of the store: reads the current records, then polls for new
 * ones, and starts over when records have expired.
 *
 * @module
 */
import type { Logger } from "../logging/index.ts";
import { errorText } from "../errors/index.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type { ControlStore, Feed, FeedRead } from "./control_store.ts";
import type { EventSink } from "./entry_loop.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import { RecordFaultLog } from "./record_fault_log.ts";

/** Delay after a failed read, in milliseconds. */
const RETRY_DELAY = 250;
/**
 * Maximum wait for the store to become reachable again, in milliseconds.
 * Membership calls detect that the store is reachable, and cost a tenth of a
 * read. Feeds that kept polling instead made 7,500 calls in 25 s while the
 * store rejected the calls of a third of 91 VMs.
 */
const MAXIMUM_RETRY_WAIT = 3_000;

/**
 * Time after a failed read during which reads use the short long-poll timeout,
 * in milliseconds. The next read uses it however long the outage was. A store that has just recovered may lose the answer to a
 * long poll without resetting the connection, which is detected only when the
 * call times out.
 */
const AFTER_FAILURE_PERIOD = 1_500;

/** Timing of the reads of a feed. */
export interface FeedTiming {
  /**
   * Long-poll timeout of a read, in milliseconds. Long polls suit feeds that
   * change seldom and whose updates are needed at once.
   */
  longPollTimeout: number;
  /** Long-poll timeout shortly after a failed read, in milliseconds. */
  longPollTimeoutAfterFailure: number;
  /**
   * Minimum interval between the starts of two reads, in milliseconds. Reading
   * at intervals suits feeds that change constantly.
   */
  readInterval: number;
}

/** See the module's comment. */
export class FeedFollower {
  /** Position of the next read; null to read all current records. */
  #nextPosition: number | null = null;
  /** Era of the store to which that position belongs. */
  #era: number | null = null;
  #isStopped = false;
  #isEnabled = true;
  /** Whether a read is in flight. */
  #isReading = false;
  /** Resumes a paused follower; null while it is not paused. */
  #resume: (() => void) | null = null;
  #failedAt = -Infinity;
  /** Whether the last read failed. */
  #hasFailed = false;
  #isRefreshing = false;

  private constructor(
    private readonly store: ControlStore,
    private readonly feed: Feed,
    private readonly timing: FeedTiming,
    private readonly sink: EventSink,
    private readonly faultLog: RecordFaultLog,
  ) {}

  /** Starts to follow `feed`. */
  static create(
    store: ControlStore,
    feed: Feed,
    timing: FeedTiming,
    sink: EventSink,
    logger: Logger,
    metrics: EntryMetrics,
  ): FeedFollower {
    const faultLog = RecordFaultLog.create(feed, logger, metrics);
    const follower = new FeedFollower(store, feed, timing, sink, faultLog);
    void follower.#follow();
    return follower;
  }

  /**
   * Reads all current records in parallel with the pending long poll. Only one
   * refresh runs at a time: a second transfer would not make a large document
   * arrive sooner.
   */
  async refresh(): Promise<void> {
    if (this.#isRefreshing) return;
    this.#isRefreshing = true;
    const sentAt = monotonicNow();
    try {
      this.#applyRead(await this.store.readAll(this.feed), sentAt);
    } catch (error) {
      this.#reportFailure(error);
    } finally {
      this.#isRefreshing = false;
    }
  }

  /**
   * Resumes or pauses reading; while it is paused, no further read starts. A
   * read that is still pending at the resumption may have lost its connection
   * without a reset, so another one is started in parallel.
   */
  setEnabled(isEnabled: boolean): void {
    if (isEnabled === this.#isEnabled) return;
    this.#isEnabled = isEnabled;
    if (!isEnabled) return;
    if (this.#isReading) void this.refresh();
    this.#resume?.();
  }

  /** Starts no further reads. */
  stop(): void {
    this.#isStopped = true;
    this.#resume?.();
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      if (!this.#isEnabled) await this.#waitUntilEnabled();
      if (this.#isStopped) return;
      const startedAt = monotonicNow();
      const isDone = await this.#read(startedAt);
      const pause = isDone ? this.timing.readInterval : RETRY_DELAY;
      const delay = startedAt + pause - monotonicNow();
      if (delay > 0) await new Promise((next) => setTimeout(next, delay));
      if (!isDone) await this.store.waitUntilReachable(MAXIMUM_RETRY_WAIT);
    }
  }

  async #waitUntilEnabled(): Promise<void> {
    await new Promise<void>((resolve) => this.#resume = resolve);
    this.#resume = null;
  }

  /** Reads once; returns whether the read succeeded. */
  async #read(sentAt: number): Promise<boolean> {
    this.#isReading = true;
    const sentIn = this.store.era.current;
    if (this.#era !== sentIn) this.#nextPosition = null;
    try {
      const read = this.#nextPosition === null
        ? await this.store.readAll(this.feed)
        : await this.store.readFrom(
          this.feed,
          this.#nextPosition,
          this.#longPollTimeout(sentAt),
        );
      if (this.#isStopped) return true;
      this.#nextPosition = read.next;
      this.#era = sentIn ?? this.store.era.current;
      this.#applyRead(read, sentAt);
      return true;
    } catch (error) {
      if (this.store.isExpired(error)) this.#nextPosition = null;
      this.#reportFailure(error);
      return false;
    } finally {
      this.#isReading = false;
    }
  }

  /** Long-poll timeout of a read that starts at `now`. */
  #longPollTimeout(now: number): number {
    return this.#hasFailed || now - this.#failedAt < AFTER_FAILURE_PERIOD
      ? this.timing.longPollTimeoutAfterFailure
      : this.timing.longPollTimeout;
  }

  #reportFailure(error: unknown): void {
    if (this.#isStopped) return;
    this.#failedAt = monotonicNow();
    this.#hasFailed = true;
    this.sink.push({
      kind: "store.failed",
      step: `follow ${this.feed}`,
      cause: errorText(error),
    });
  }

  #applyRead(read: FeedRead, sentAt: number): void {
    this.#hasFailed = false;
    this.sink.push({ kind: "store.answered", sentAt });
    this.faultLog.update(read);
    for (const event of read.events) this.sink.push(event);
  }
}
