import { Writable } from "node:stream";
import test from "ava";
import { Logger } from "../logging/index.ts";
import type { ControlStore, FeedRead } from "./control_store.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { FeedFollower } from "./feed_follower.ts";
import { StoreEra } from "./store_era.ts";

/** Long-poll timeout in these tests, in milliseconds. */
const LONG_POLL_TIMEOUT = 29_000;

/**
 * Follows a store whose long polls have these results; further ones stay
 * pending. After a failure, the store is unreachable for `outage` milliseconds.
 * Returns the timeouts of the long polls and the number of reads of
 * all current records.
 */
function startFollower(
  results: readonly ("update" | "failure")[],
  outage = 0,
) {
  const timeouts: number[] = [];
  const read: FeedRead = {
    events: [],
    faults: [],
    sound: [],
    isWhole: false,
    next: 1,
  };
  let readCount = 0;
  let readAllCount = 0;
  const era = StoreEra.create();
  const store = {
    era,
    readAll: () => {
      readAllCount += 1;
      return Promise.resolve(read);
    },
    readFrom: (_feed: string, _from: number, timeout: number) => {
      timeouts.push(timeout);
      const result = results[readCount];
      readCount += 1;
      if (result === "failure") return Promise.reject(new Error("reset"));
      if (result === "update") return Promise.resolve(read);
      return new Promise<FeedRead>(() => {});
    },
    isExpired: () => false,
    waitUntilReachable: () => new Promise((next) => setTimeout(next, outage)),
  } as unknown as ControlStore;
  const output = new Writable({ write: (_chunk, _encoding, done) => done() });
  const follower = FeedFollower.create(
    store,
    "configuration",
    {
      longPollTimeout: LONG_POLL_TIMEOUT,
      longPollTimeoutAfterFailure: 500,
      readInterval: 0,
    },
    { push: () => {} },
    Logger.create("vm", "error", output),
    EntryMetrics.create(() => ({})),
  );
  return { follower, timeouts, readAll: () => readAllCount, era };
}

test("feed follower: uses the long-poll timeout while no read has failed", async (t) => {
  const { follower, timeouts } = startFollower(["update", "update"]);
  await new Promise((next) => setTimeout(next, 50));
  follower.stop();
  t.deepEqual(timeouts, [
    LONG_POLL_TIMEOUT,
    LONG_POLL_TIMEOUT,
    LONG_POLL_TIMEOUT,
  ]);
});

test("feed follower: starts no read while it is disabled", async (t) => {
  const { follower, timeouts, readAll } = startFollower(["update"]);
  follower.setEnabled(false);
  await new Promise((next) => setTimeout(next, 50));
  t.deepEqual(timeouts, []);
  follower.setEnabled(true);
  await new Promise((next) => setTimeout(next, 50));
  t.deepEqual(timeouts, [LONG_POLL_TIMEOUT, LONG_POLL_TIMEOUT]);
  // The pending read may never complete, so another one starts in parallel.
  const before = readAll();
  follower.setEnabled(false);
  follower.setEnabled(true);
  t.is(readAll(), before + 1);
  follower.stop();
});

test("feed follower: uses the short long-poll timeout after a failed read", async (t) => {
  const { follower, timeouts } = startFollower(["failure", "update"]);
  await new Promise((next) => setTimeout(next, 600));
  follower.stop();
  t.deepEqual(timeouts, [LONG_POLL_TIMEOUT, 500, 500]);
});

// Guards against a long poll whose answer is lost just after an outage of the
// store that was longer than the period with the short timeout.
test("feed follower: uses the short long-poll timeout for the first read after an outage, however long it was", async (t) => {
  const results = ["failure", "update"] as const;
  const { follower, timeouts } = startFollower(results, 1_600);
  await new Promise((next) => setTimeout(next, 2_200));
  follower.stop();
  t.deepEqual(timeouts, [LONG_POLL_TIMEOUT, 500, LONG_POLL_TIMEOUT]);
});

// Guards against a position in a log that the store has lost: the log grows past
// it again, and what is new below it would never be read.
test("feed follower: reads all records again when the store has returned from a copy", async (t) => {
  const { follower, readAll, era } = startFollower(["update", "failure"]);
  await new Promise((next) => setTimeout(next, 20));
  era.learn(1);
  await new Promise((next) => setTimeout(next, 400));
  t.is(readAll(), 2);
  follower.stop();
});
