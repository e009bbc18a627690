import test from "ava";
import { fingerprintOf } from "../../test/support/fingerprint.ts";
import { backendServer } from "../../test/support/backend_server.ts";
import { emptyConfiguration } from "../../test/support/empty_configuration.ts";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { UntimedEvent } from "./entry_event.ts";

/** Returns the event of an empty configuration read from the store. */
function configurationRead(version: number): UntimedEvent {
  return {
    kind: "configuration.read",
    configuration: emptyConfiguration(version),
  };
}

/**
 * Returns the event of an answer from a term holder with the given
 * configuration version.
 */
function holderAlive(configuration: number): UntimedEvent {
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

/** Returns the kinds of the effects, in order. */
const kinds = (effects: EntryEffect[]) => effects.map((each) => each.kind);

test("entry: a newer configuration of another VM is fetched after a delay, at limited frequency", (t) => {
  const { step } = createSteppedEntry();
  step(0, configurationRead(3));
  t.false(kinds(step(10, holderAlive(3))).includes("configuration.fetch"));
  // It may still arrive through the long poll. It is fetched 600 ms later if it
  // has not.
  t.false(kinds(step(20, holderAlive(5))).includes("configuration.fetch"));
  t.false(kinds(step(519, holderAlive(5))).includes("configuration.fetch"));
  t.true(kinds(step(620, holderAlive(5))).includes("configuration.fetch"));
  t.false(kinds(step(630, holderAlive(5))).includes("configuration.fetch"));
  t.true(kinds(step(1_100, holderAlive(5))).includes("configuration.fetch"));
  step(1_110, configurationRead(5));
  t.false(kinds(step(2_000, holderAlive(5))).includes("configuration.fetch"));
});

test("entry: on shutdown the VM leaves its election group at once and stops when idle", (t) => {
  const { step } = createSteppedEntry();
  step(0, configurationRead(1));
  t.snapshot({
    asked: kinds(step(1_000, { kind: "shutdown", lateness: 0 })),
    soon: kinds(step(4_000, { kind: "timer" })),
    late: kinds(step(4_600, { kind: "timer" })),
    sending: kinds(step(4_650, { kind: "timer" })),
    sent: kinds(step(4_660, { kind: "callers.closed" })),
    after: kinds(step(4_700, { kind: "timer" })),
  });
});

test("entry: a shutdown ends at the time limit even if responses are still being sent", (t) => {
  const { step } = createSteppedEntry();
  step(0, configurationRead(1));
  step(1_000, { kind: "shutdown", lateness: 0 });
  step(4_600, { kind: "timer" });
  t.deepEqual(kinds(step(6_740, { kind: "timer" })), []);
  t.true(kinds(step(6_750, { kind: "timer" })).includes("process.stop"));
});

test("entry: during a store outage only the first failure of each step is logged", (t) => {
  const { step } = createSteppedEntry();
  const failed = (step: string): UntimedEvent => ({
    kind: "store.failed",
    step,
    cause: "no answer",
  });
  const decisions = (effects: EntryEffect[]) =>
    effects.flatMap((each) => each.kind === "note" ? [each.decision] : []);
  t.snapshot({
    first: decisions(step(0, failed("join"))),
    again: decisions(step(10, failed("join"))),
    other: decisions(step(20, failed("read"))),
    answered: decisions(step(30, { kind: "store.answered", sentAt: 25 })),
    next: decisions(step(40, failed("join"))),
  });
});

test("entry: connections to the previous process of a server are closed", (t) => {
  const { step } = createSteppedEntry();
  const readRegistry = (position: number, incarnation: number) => {
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
  t.deepEqual(readRegistry(1, 100), []);
  t.deepEqual(readRegistry(2, 100), []);
  t.deepEqual(readRegistry(3, 200), [
    { kind: "connections.close", server: "i-1" },
  ]);
});

test("entry: a peer's state without a registry position does not replace a server's known process", (t) => {
  const { entry, step } = createSteppedEntry();
  const stateTold = (
    servers: [id: string, incarnation: number][],
  ): UntimedEvent => {
    const read = configurationRead(1);
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
  step(0, stateTold([["i-1", 200]]));
  // The store stays unreachable, so state from peers is still applied.
  step(60_000, { kind: "timer" });
  step(60_010, stateTold([["i-1", 100], ["i-2", 300]]));
  const processes = entry.clusterState.fleet.all().map((each) =>
    `${each.id} ${each.entry.incarnation}`
  );
  t.deepEqual(processes, ["i-1 200", "i-2 300"]);
});

/**
 * Guards against a VM that still sends requests to a server half a minute after
 * the server has ended. After a suspension the VM receives both the term
 * holder's registry update, which removes the server, and the whole state of a
 * VM that has not received the update yet. If that state adds the server again,
 * no later update removes it, because updates contain changes only.
 */
for (const isFirst of [true, false]) {
  const order = isFirst ? "before" : "after";
  test(`entry: a removed server stays removed if another VM's outdated state arrives ${order} the update`, (t) => {
    const { entry, step } = createSteppedEntry();
    const servers = [backendServer("i-1", { incarnation: 5, address: "h:1" })];
    const configuration = configurationRead(1);
    if (configuration.kind !== "configuration.read") return t.fail();
    const senderState = { term: 0, version: 0, configuration: 1 };
    const stateTold: UntimedEvent = {
      kind: "peer.received",
      address: "vm-2",
      message: {
        ...senderState,
        kind: "state.told",
        state: { ...configuration, servers, assignments: [], holder: null },
      },
    };
    const serversTold = (since: number, removed: string[]): UntimedEvent => ({
      kind: "peer.received",
      address: "vm-3",
      message: {
        ...senderState,
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
    const sent = [stateTold, serversTold(5, ["i-1"])];
    for (const each of isFirst ? sent : sent.reverse()) step(60_010, each);
    step(60_500, serversTold(6, []));
    step(63_000, stateTold);
    step(63_500, serversTold(6, []));
    step(66_000, { kind: "timer" });
    t.deepEqual(entry.clusterState.fleet.all().map(({ id }) => id), []);
  });
}

test("entry: the registry is read only if the term holder sends no update", (t) => {
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
  const registryUpdate = (
    knownAt: number,
    removed: string[],
  ): UntimedEvent => ({
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
  // Removals are applied only some time after the store was first reached.
  for (const now of [1_000, 2_000, 3_000]) {
    step(now, { kind: "store.answered", sentAt: now - 5 });
    step(now, { kind: "servers.read", read, sentAt: now - 5 });
  }
  const effects = step(4_000, registryUpdate(3_900, ["i-1"]));
  t.true(kinds(effects).includes("connections.close"));
  t.is(fetches(step(5_000, { kind: "timer" })), 0);
  t.is(fetches(step(5_100, { kind: "timer" })), 1);
});

test("entry: requests are refused late in a shutdown and accepted before", (t) => {
  const { step } = createSteppedEntry();
  step(0, configurationRead(1));
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

test("entry: a shutdown ends earlier by the recent lateness of steps, at most half a second", (t) => {
  for (
    const [lateness, stoppedAt] of [[0, 6_750], [80, 6_670], [3_000, 6_250]]
  ) {
    const { entry, step } = createSteppedEntry();
    step(0, configurationRead(1));
    const dueAt = entry.nextAt(0);
    step(dueAt + lateness, { kind: "timer" });
    const startedAt = dueAt + lateness;
    const until = (at: number) => at - 1_000 + startedAt;
    step(startedAt, { kind: "shutdown", lateness: 0 });
    step(until(4_600), { kind: "timer" });
    const before = kinds(step(until(stoppedAt - 1), { kind: "timer" }));
    t.false(before.includes("process.stop"));
    const at = kinds(step(until(stoppedAt), { kind: "timer" }));
    t.true(at.includes("process.stop"), `lateness ${lateness}`);
  }
});

test("entry: the stop is due at its time, even if the last step was just before it", (t) => {
  const { entry, step } = createSteppedEntry();
  step(0, configurationRead(1));
  step(1_000, { kind: "shutdown", lateness: 0 });
  step(6_749.9, { kind: "timer" });
  t.is(entry.nextAt(6_750.1), 6_750);
  t.true(kinds(step(6_750.2, { kind: "timer" })).includes("process.stop"));
});

// Guards against an election that a small VM joins when it resumes, before it
// reads the messages of the fitter VMs that arrived meanwhile.
test("entry: a small VM that has stalled does not become a candidate", (t) => {
  const { entry, step } = createSteppedEntry({ fitness: 0.5 });
  const holder = { term: 1, vm: "vm-2", address: "holder", fitness: 5 };
  const stallFrom = 1_000;
  const joinedGroups = (effects: EntryEffect[]) =>
    effects.flatMap((each) => each.kind === "group.join" ? [each.group] : []);
  step(0, configurationRead(1));
  step(1, { kind: "holder.read" });
  step(2, { kind: "holder.announced", holder });
  step(stallFrom, { kind: "group.failed" });
  entry.nextAt(stallFrom);
  const resumed = step(stallFrom + 5_000, { kind: "timer" });
  t.true(kinds(resumed).includes("note"));
  t.deepEqual(joinedGroups(resumed), ["observers"]);
});
