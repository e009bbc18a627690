/**
 * In a deployment with many VMs of low fitness, most of them are observers, to
 * which the term holder sends all store updates. They stop their own long polls
 * and most of their membership calls, which would be the largest part of all
 * billed calls to the store. They must not miss updates when the holder cannot
 * reach the store.
 */
import test from "ava";
import { emptyConfiguration } from "../../test/support/empty_configuration.ts";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { UntimedEvent } from "./entry_event.ts";
import type { PeerMessage } from "./peers/index.ts";

const HOLDER = "holder:1";
/** Fitness of a VM that is an observer while the holder's fitness is 1. */
const OBSERVER_FITNESS = 0.5;
/** Time between two timer events, in milliseconds. */
const STEP = 50;
/** Time between two answers of the holder, in milliseconds. */
const ANSWER_INTERVAL = 500;

/** Returns the holder's answer to a report that was sent at `answersTo`. */
function holderAlive(answersTo: number, storeSilence: number): PeerMessage {
  return {
    kind: "holder.alive",
    term: 1,
    version: 0,
    configuration: 1,
    vms: 200,
    fittest: 1,
    storeSilence,
    registry: null,
    answersTo,
  };
}

/** Creates an observer of `HOLDER`. */
function createObserver() {
  const { entry, step } = createSteppedEntry({ fitness: OBSERVER_FITNESS });
  const holder = { term: 1, vm: "v", address: HOLDER, fitness: 1 };
  const effects: { now: number; effect: EntryEffect }[] = [];
  let answeredAt = -Infinity;
  /**
   * Passes an event to the VM; membership calls succeed if the store is
   * reachable.
   */
  const deliver = (
    now: number,
    event: UntimedEvent,
    isStoreReachable: boolean,
  ) => {
    for (const effect of step(now, event)) {
      effects.push({ now, effect });
      if (effect.kind !== "group.join") continue;
      if (!isStoreReachable) {
        deliver(now, { kind: "group.failed" }, isStoreReachable);
        continue;
      }
      const { group } = effect;
      const membership = { generation: 1, isElected: false, sentAt: now };
      deliver(now, { kind: "store.answered", sentAt: now }, isStoreReachable);
      const joined = { ...membership, group };
      deliver(
        now,
        { kind: "group.joined", membership: joined },
        isStoreReachable,
      );
    }
  };
  /**
   * Advances the time from `from` to `end`. `storeSilence` returns the age of
   * the holder's own last answered store call; while it returns null, the
   * holder does not answer.
   */
  const advance = (
    from: number,
    end: number,
    storeSilence: (now: number) => number | null,
    isStoreReachable = true,
  ) => {
    for (let now = from; now < end; now += STEP) {
      deliver(now, { kind: "timer" }, isStoreReachable);
      const silence = storeSilence(now);
      if (silence === null || now - answeredAt < ANSWER_INTERVAL) continue;
      answeredAt = now;
      const message = holderAlive(now, silence);
      deliver(
        now,
        { kind: "peer.received", address: HOLDER, message },
        isStoreReachable,
      );
    }
  };
  /**
   * Summarizes the effects since the last call: when following of the feeds was
   * switched on or off, and the numbers of membership calls and of state
   * requests.
   */
  const takeEffects = () => {
    const all = effects.splice(0);
    return {
      feedSwitches: all.flatMap(({ now, effect }) =>
        effect.kind === "feeds.follow" ? [[now, effect.isOn]] : []
      ),
      joins: all.filter(({ effect }) => effect.kind === "group.join").length,
      stateRequests:
        all.filter(({ effect }) =>
          effect.kind === "peer.send" && effect.message.kind === "state.wanted"
        ).length,
    };
  };
  deliver(0, {
    kind: "configuration.read",
    configuration: emptyConfiguration(1),
  }, true);
  deliver(0, { kind: "holder.read" }, true);
  deliver(0, { kind: "holder.announced", holder }, true);
  return { entry, step, advance, takeEffects };
}

test("store updates: an observer does not follow feeds while the holder reaches the store", (t) => {
  const { advance, takeEffects } = createObserver();
  advance(0, 20_000, () => 300);
  const { feedSwitches, joins } = takeEffects();
  t.deepEqual(feedSwitches, [[0, false]]);
  t.true(joins <= 6, `${joins} membership calls in 20 s`);
});

test("store updates: an observer follows feeds again if the holder does not answer", (t) => {
  const { advance, takeEffects } = createObserver();
  advance(0, 5_000, () => 0);
  takeEffects();
  advance(5_000, 9_000, () => null);
  const { feedSwitches, joins } = takeEffects();
  // The holder's last answer was at 4,500.
  t.deepEqual(feedSwitches, [[6_050, true]]);
  t.true(joins >= 2, "membership calls are made again");
});

// Guards against a VM that still refuses requests by an old configuration 3.3 s
// after a newer one was acknowledged. A holder that cannot reach the store
// answers its followers until its authority ends, and they then wait for
// further answers before they call the store.
test("store updates: an observer follows feeds again if the holder cannot reach the store", (t) => {
  const { advance, takeEffects } = createObserver();
  const lostAt = 5_000;
  advance(0, lostAt, () => 0);
  takeEffects();
  advance(lostAt, 9_000, (now) => now - lostAt);
  const [[switchedAt, isOn]] = takeEffects().feedSwitches;
  t.true(isOn);
  t.true(Number(switchedAt) - lostAt <= 1_600, `${switchedAt}`);
});

test("store updates: the age of a delayed answer counts from the report that it answers", (t) => {
  const { entry, step } = createObserver();
  step(9_000, {
    kind: "peer.received",
    address: HOLDER,
    message: holderAlive(7_000, 0),
  });
  t.false(entry.peers.hasHolderUpdates(9_000));
});

test("store updates: an observer that cannot reach the store requests no state from other VMs", (t) => {
  const { advance, takeEffects } = createObserver();
  advance(0, 20_000, () => 300, false);
  t.true(takeEffects().stateRequests <= 1, "only at its start");
});

test("store updates: a VM that can be elected follows feeds itself", (t) => {
  const { entry, step } = createSteppedEntry({ fitness: 1 });
  step(0, { kind: "holder.read" });
  step(0, {
    kind: "holder.announced",
    holder: { term: 1, vm: "v", address: HOLDER, fitness: 1 },
  });
  step(10, {
    kind: "peer.received",
    address: HOLDER,
    message: holderAlive(5, 0),
  });
  t.false(entry.peers.hasHolderUpdates(20));
});

test("store updates: an observer learns of a new holder from the previous one", (t) => {
  const { entry, advance, step } = createObserver();
  advance(0, 2_000, () => 0);
  const holder = { term: 2, vm: "w", address: "next:1", fitness: 1 };
  step(2_000, {
    kind: "peer.received",
    address: HOLDER,
    message: {
      kind: "holder.changed",
      term: 1,
      version: 0,
      configuration: 1,
      holder,
    },
  });
  t.is(entry.peers.followerLink.holder, "next:1");
  t.true(
    entry.peers.hasHolderUpdates(2_000),
    "a change of the holder does not switch feeds on",
  );
});
