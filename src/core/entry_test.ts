import test from "ava";
import { fingerprintOf } from "../../test/support/fingerprint.ts";
import { backendServer } from "../../test/support/backend_server.ts";
import { emptyConfiguration } from "../../test/support/empty_configuration.ts";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { Occurrence } from "./entry_event.ts";

function configured(version: number): Occurrence {
  return {
    kind: "configuration.read",
    configuration: emptyConfiguration(version),
  };
}

function told(configuration: number): Occurrence {
  return {
    kind: "peer.received",
    address: "holder",
    message: {
      kind: "holder.alive",
      term: 1,
      version: 0,
      configuration,
      vms: 2,
      fittest: 1,
      registry: null,
    },
  };
}

const kinds = (effects: EntryEffect[]) => effects.map((each) => each.kind);

test("entry: a configuration that only a peer has is fetched, not too often", (t) => {
  const { step } = createSteppedEntry();
  step(0, configured(3));
  t.false(kinds(step(10, told(3))).includes("configuration.fetch"));
  // It is left to arrive by itself for a while, then fetched.
  t.false(kinds(step(20, told(5))).includes("configuration.fetch"));
  t.false(kinds(step(519, told(5))).includes("configuration.fetch"));
  t.true(kinds(step(620, told(5))).includes("configuration.fetch"));
  t.false(kinds(step(630, told(5))).includes("configuration.fetch"));
  t.true(kinds(step(1_100, told(5))).includes("configuration.fetch"));
  step(1_110, configured(5));
  t.false(kinds(step(2_000, told(5))).includes("configuration.fetch"));
});

test("entry: a shutdown leaves the group at once and stops when idle", (t) => {
  const { step } = createSteppedEntry();
  step(0, configured(1));
  t.snapshot({
    asked: kinds(step(1_000, { kind: "shutdown", lateness: 0 })),
    soon: kinds(step(4_000, { kind: "timer" })),
    late: kinds(step(4_600, { kind: "timer" })),
    sending: kinds(step(4_650, { kind: "timer" })),
    sent: kinds(step(4_660, { kind: "callers.closed" })),
    after: kinds(step(4_700, { kind: "timer" })),
  });
});

test("entry: a shutdown ends at its time whatever callers are still sent", (t) => {
  const { step } = createSteppedEntry();
  step(0, configured(1));
  step(1_000, { kind: "shutdown", lateness: 0 });
  step(4_600, { kind: "timer" });
  t.deepEqual(kinds(step(6_740, { kind: "timer" })), []);
  t.true(kinds(step(6_750, { kind: "timer" })).includes("process.stop"));
});

test("entry: the first failure of each step is noted while the store is out", (t) => {
  const { step } = createSteppedEntry();
  const failed = (step: string): Occurrence => ({
    kind: "store.failed",
    step,
    cause: "no answer",
  });
  const notes = (effects: EntryEffect[]) =>
    effects.flatMap((each) => each.kind === "note" ? [each.decision] : []);
  t.snapshot({
    first: notes(step(0, failed("join"))),
    again: notes(step(10, failed("join"))),
    other: notes(step(20, failed("read"))),
    answered: notes(step(30, { kind: "store.answered", sentAt: 25 })),
    next: notes(step(40, failed("join"))),
  });
});

test("entry: connections to the older run of a server are dropped", (t) => {
  const { step } = createSteppedEntry();
  const list = (position: number, incarnation: number) => {
    const entries = [backendServer("i-1", { incarnation, address: "h:1" })];
    const read = {
      entries,
      removed: [],
      unreadable: [],
      isWhole: true,
      position,
    };
    return step(position, { kind: "servers.read", read, sentAt: position })
      .filter((each) => each.kind === "connections.close");
  };
  t.deepEqual(list(1, 100), []);
  t.deepEqual(list(2, 100), []);
  t.deepEqual(list(3, 200), [{ kind: "connections.close", server: "i-1" }]);
});

test("entry: a peer's word without a position does not change which run is meant", (t) => {
  const { entry, step } = createSteppedEntry();
  const state = (servers: [id: string, incarnation: number][]): Occurrence => {
    const read = configured(1);
    if (read.kind !== "configuration.read") throw new Error("unexpected");
    return {
      kind: "peer.received",
      address: "vm-2",
      message: {
        kind: "state.told",
        term: 0,
        version: 0,
        configuration: 1,
        state: {
          configuration: read.configuration,
          servers: servers.map(([id, incarnation]) =>
            backendServer(id, { incarnation })
          ),
          assignments: [],
          holder: null,
        },
      },
    };
  };
  step(0, state([["i-1", 200]]));
  // The store stays silent, so peers go on being believed.
  step(60_000, { kind: "timer" });
  step(60_010, state([["i-1", 100], ["i-2", 300]]));
  const runs = entry.beliefs.fleet.all().map((each) =>
    `${each.id} ${each.entry.incarnation}`
  );
  t.deepEqual(runs, ["i-1 200", "i-2 300"]);
});

/**
 * Seen: a VM went on listing a server that had ended half a minute before, and
 * sent requests to it. It had slept through the removal; when it woke, the term
 * holder's news took the server off its list, and a peer that did not know of the
 * removal yet put it back by telling all that it knew. News say only what changes,
 * so nothing ever took it off again.
 */
for (const isFirst of [true, false]) {
  const order = isFirst ? "before" : "after";
  test(`entry: a server that has ended goes, though a peer tells of it ${order} the news`, (t) => {
    const { entry, step } = createSteppedEntry();
    const servers = [backendServer("i-1", { incarnation: 5, address: "h:1" })];
    const configuration = configured(1);
    if (configuration.kind !== "configuration.read") return t.fail();
    const knowledge = { term: 0, version: 0, configuration: 1 };
    const state: Occurrence = {
      kind: "peer.received",
      address: "vm-2",
      message: {
        ...knowledge,
        kind: "state.told",
        state: { ...configuration, servers, assignments: [], holder: null },
      },
    };
    const news = (since: number, removed: string[]): Occurrence => ({
      kind: "peer.received",
      address: "vm-3",
      message: {
        ...knowledge,
        kind: "servers.told",
        registry: {
          since,
          position: 6,
          entries: [],
          removed,
          unreadable: [],
          knownAt: null,
        },
      },
    });
    step(0, configuration);
    const read = {
      entries: servers,
      removed: [],
      unreadable: [],
      isWhole: true,
      position: 5,
    };
    step(10, { kind: "servers.read", read, sentAt: 0 });
    step(60_000, { kind: "timer" });
    const told = [state, news(5, ["i-1"])];
    for (const each of isFirst ? told : told.reverse()) step(60_010, each);
    step(60_500, news(6, []));
    step(63_000, state);
    step(63_500, news(6, []));
    step(66_000, { kind: "timer" });
    t.deepEqual(entry.beliefs.fleet.all().map(({ id }) => id), []);
  });
}

test("entry: the holder's word spares a read of the registry, and its silence brings one", (t) => {
  const { step } = createSteppedEntry();
  const entries = [backendServer("i-1", { address: "h:1" })];
  const read = {
    entries,
    removed: [],
    unreadable: [],
    isWhole: true,
    position: 5,
  };
  const fetches = (effects: EntryEffect[]) =>
    effects.filter((each) => each.kind === "servers.fetch").length;
  t.is(fetches(step(0, { kind: "timer" })), 1);
  step(10, { kind: "store.answered", sentAt: 0 });
  step(10, { kind: "servers.read", read, sentAt: 0 });
  const word = (knownAt: number, removed: string[]): Occurrence => ({
    kind: "peer.received",
    address: "holder",
    message: {
      kind: "holder.alive",
      term: 1,
      version: 0,
      configuration: 3,
      vms: 2,
      fittest: 1,
      registry: {
        since: 5,
        position: 6,
        entries: [],
        removed,
        unreadable: [],
        knownAt,
      },
    },
  });
  // Long enough after the store was first reached for removals to count.
  for (const now of [1_000, 2_000, 3_000]) {
    step(now, { kind: "store.answered", sentAt: now - 5 });
    step(now, { kind: "servers.read", read, sentAt: now - 5 });
  }
  const effects = step(4_000, word(3_900, ["i-1"]));
  t.true(kinds(effects).includes("connections.close"));
  t.is(fetches(step(5_000, { kind: "timer" })), 0);
  t.is(fetches(step(5_100, { kind: "timer" })), 1);
});

test("entry: requests that come late in a shutdown are turned away, others not", (t) => {
  const { step } = createSteppedEntry();
  step(0, configured(1));
  step(1_000, { kind: "shutdown", lateness: 0 });
  const decisionAt = (now: number) =>
    step(now, {
      kind: "request.arrived",
      arrival: {
        exchange: now,
        id: "r",
        host: "h",
        target: "/",
        timeout: 5_000,
        key: null,
        fingerprint: fingerprintOf("/"),
      },
    }).flatMap((each) => each.kind === "note" ? [each.decision] : []);
  t.true(decisionAt(3_870).includes("request.unrouted"));
  t.deepEqual(decisionAt(3_880), ["request.turned_away"]);
});
