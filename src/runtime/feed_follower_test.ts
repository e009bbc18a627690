import { Writable } from "node:stream";
import test from "ava";
import { Journal } from "../logging/index.ts";
import type { ControlStore, StoreRead } from "./control_store.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { FeedFollower } from "./feed_follower.ts";

/** Longest wait of a read here, in milliseconds. */
const WAIT = 29_000;

/** The waits that a follower asks for, of a store whose reads answer as `answers`
 * say in turn; then no more. */
function follow(answers: readonly ("news" | "failure")[]) {
  const waits: number[] = [];
  const read: StoreRead = {
    occurrences: [],
    faults: [],
    sound: [],
    isWhole: false,
    next: 1,
  };
  let count = 0;
  let whole = 0;
  const store = {
    readAll: () => {
      whole += 1;
      return Promise.resolve(read);
    },
    readOn: (_feed: string, _from: number, wait: number) => {
      waits.push(wait);
      const answer = answers[count];
      count += 1;
      if (answer === "failure") return Promise.reject(new Error("reset"));
      if (answer === "news") return Promise.resolve(read);
      return new Promise<StoreRead>(() => {});
    },
    isExpired: () => false,
    reached: () => Promise.resolve(),
  } as unknown as ControlStore;
  const output = new Writable({ write: (_chunk, _encoding, done) => done() });
  const follower = FeedFollower.create(
    store,
    "configuration",
    {
      longPollTimeout: WAIT,
      longPollTimeoutAfterFailure: 500,
      readInterval: 0,
    },
    { push: () => {} },
    Journal.create("vm", "error", output),
    EntryMetrics.create(() => ({})),
  );
  return { follower, waits, readAll: () => whole };
}

test("feed: reads wait long for news while nothing has failed", async (t) => {
  const { follower, waits } = follow(["news", "news"]);
  await new Promise((next) => setTimeout(next, 50));
  follower.stop();
  t.deepEqual(waits, [WAIT, WAIT, WAIT]);
});

test("feed: one that is turned off begins no read until it is turned on", async (t) => {
  const { follower, waits, readAll } = follow(["news"]);
  follower.setEnabled(false);
  await new Promise((next) => setTimeout(next, 50));
  t.deepEqual(waits, []);
  follower.setEnabled(true);
  await new Promise((next) => setTimeout(next, 50));
  t.deepEqual(waits, [WAIT, WAIT]);
  // The read that still waits may never be answered: another is made beside it.
  const before = readAll();
  follower.setEnabled(false);
  follower.setEnabled(true);
  t.is(readAll(), before + 1);
  follower.stop();
});

test("feed: reads just after a failure wait shortly, since their answers may be lost", async (t) => {
  const { follower, waits } = follow(["failure", "news"]);
  await new Promise((next) => setTimeout(next, 600));
  follower.stop();
  t.deepEqual(waits, [WAIT, 500, 500]);
});
