import test from "ava";
import { backendServer } from "../../test/support/backend_server.ts";
import { emptyConfiguration } from "../../test/support/empty_configuration.ts";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { PeerMessage } from "./peers/index.ts";

const HOLDER = "holder:1";

/** Returns the log lines among `effects`, each with some of its fields. */
function lines(effects: EntryEffect[], ...fields: string[]): string[] {
  return effects.flatMap((effect) => {
    if (effect.kind !== "note") return [];
    const values = fields.map((field) => String(effect.detail[field]));
    return [[effect.decision, ...values].join(" ")];
  });
}

/** A VM that has read configuration 3 and one server in era 4 of the store. */
function createVm() {
  const { entry, step } = createSteppedEntry();
  step(0, { kind: "store.era", era: 4 });
  step(0, { kind: "store.answered", sentAt: 0 });
  step(1, { kind: "configuration.read", configuration: emptyConfiguration(3) });
  step(1, { kind: "holder.read" });
  step(1, {
    kind: "servers.read",
    sentAt: 0,
    read: {
      entries: [backendServer("i-1", { address: "h:1" })],
      removed: [],
      unreadable: [],
      isWhole: true,
      position: 50,
    },
  });
  /** Receives a message of the term holder. */
  const receive = (now: number, message: Partial<PeerMessage>) =>
    step(now, {
      kind: "peer.received",
      address: HOLDER,
      message: {
        kind: "holder.alive",
        term: 1,
        version: 0,
        configuration: 3,
        vms: 2,
        fittest: 1,
        registry: null,
        ...message,
      } as PeerMessage,
    });
  return { entry, step, receive };
}

test("restored store, VM: the first era that it learns of changes nothing", (t) => {
  const { step } = createSteppedEntry();
  const effects = step(0, { kind: "store.era", era: 9 });
  t.deepEqual(lines(effects, "era", "former").slice(0, 1), [
    "store.era_changed 9 null",
  ]);
});

test("restored store, VM: a newer era makes the registry and the feeds start anew", (t) => {
  const { entry, step } = createVm();
  t.is(entry.clusterState.registry.position, 50);
  const effects = step(100, { kind: "store.era", era: 5 });
  t.true(
    lines(effects, "era", "former", "source").includes(
      "store.era_changed 5 4 store",
    ),
  );
  const fetch = effects.find(({ kind }) => kind === "servers.fetch");
  t.like(fetch, { from: null });
  t.is(entry.clusterState.catalog.version, 3);
  t.is(entry.clusterState.fleet.size, 1);
});

test("restored store, VM: a running server that the copy lacks gets time to register", (t) => {
  const { entry, step } = createVm();
  step(100, { kind: "store.era", era: 5 });
  const read = {
    entries: [],
    removed: [],
    unreadable: [],
    isWhole: true,
    position: 40,
  };
  step(110, { kind: "servers.read", sentAt: 105, read });
  step(2_000, { kind: "timer" });
  t.is(entry.clusterState.fleet.size, 1);
  step(2_200, { kind: "timer" });
  t.is(entry.clusterState.fleet.size, 0);
});

test("restored store, VM: it learns of a newer era from a peer", (t) => {
  const { entry, receive } = createVm();
  const effects = receive(100, { era: 5 });
  t.true(
    effects.some((each) => each.kind === "store.learn_era" && each.era === 5),
  );
  t.true(lines(effects, "source").includes("store.era_changed vm"));
  t.is(entry.clusterState.senderState().era, 5);
  t.is(entry.clusterState.registry.position, null);
});

test("restored store, VM: an era of a peer that is lower, repeated, missing or far above is ignored", (t) => {
  const { entry, receive } = createVm();
  const logged: string[] = [];
  for (const [i, era] of [3, 4, undefined, 4_000, 5_000, 6_000].entries()) {
    const effects = receive(100 + i, { era });
    t.false(effects.some(({ kind }) => kind === "store.learn_era"));
    logged.push(
      ...lines(effects, "reason", "value").filter((line) =>
        line.startsWith("store.era")
      ),
    );
  }
  t.deepEqual(logged, ["store.era_ignored jump 4000"]);
  t.is(entry.clusterState.era, 4);
});

test("restored store, VM: ignored eras are logged once a minute for each reason", (t) => {
  const { step } = createVm();
  const logged: string[] = [];
  for (let now = 0; now < 130_000; now += 100) {
    for (const [reason, value] of [["invalid", "x"], ["lower", "2"]]) {
      const event = { kind: "store.era_ignored", reason, value } as const;
      logged.push(
        ...lines(step(now, event), "reason").filter((line) =>
          line.startsWith("store.era_ignored")
        ),
      );
    }
  }
  t.is(logged.length, 6);
});

test("restored store, VM: registry updates of another era, or of an older version, are not applied", (t) => {
  const { entry, receive } = createVm();
  const registry = {
    since: 50,
    position: 60,
    entries: [backendServer("i-2", { address: "h:2" })],
    removed: ["i-1"],
    unreadable: [],
    knownAt: 90,
  };
  for (const era of [3, undefined]) {
    receive(100, { era, registry });
    receive(100, { kind: "servers.told", era, registry });
    t.is(entry.clusterState.registry.position, 50);
  }
  receive(110, { era: 4, registry });
  t.is(entry.clusterState.registry.position, 60);
});

test("restored store, VM: a configuration that the store lacks stays in force and is logged", (t) => {
  const { entry, step } = createVm();
  step(100, { kind: "store.era", era: 5 });
  const read = (now: number, version: number) =>
    lines(
      step(now, {
        kind: "configuration.read",
        configuration: emptyConfiguration(version),
      }),
      "version",
      "stored",
    ).filter((line) => line.startsWith("configuration."));
  t.deepEqual(read(110, 2), ["configuration.lost 3 2"]);
  t.deepEqual(read(120, 2), []);
  t.is(entry.clusterState.catalog.version, 3);
  t.true(entry.clusterState.isConfigurationLost);
  t.deepEqual(read(400, 3), ["configuration.regained 3 3"]);
  t.false(entry.clusterState.isConfigurationLost);
  const absent = step(500, { kind: "configuration.absent" });
  t.true(
    lines(absent, "stored").includes("configuration.lost null"),
  );
});

test("restored store, VM: a configuration that only another VM has is requested from it", (t) => {
  const { step, receive } = createVm();
  step(100, { kind: "store.era", era: 5 });
  receive(200, { era: 5, configuration: 8 });
  const wanted = (now: number) =>
    receive(now, { era: 5, configuration: 8 }).some((each) =>
      each.kind === "peer.send" && each.address === HOLDER &&
      each.message.kind === "state.wanted"
    );
  t.false(wanted(900));
  // The store has been read since, and lacks it.
  step(1_000, {
    kind: "configuration.read",
    configuration: emptyConfiguration(3),
  });
  t.true(wanted(1_400));
  t.false(wanted(3_300));
  const configuration = emptyConfiguration(8);
  const state = { configuration, servers: [], assignments: [], holder: null };
  const effects = receive(3_350, { kind: "state.told", era: 5, state });
  t.true(lines(effects, "version").includes("configuration.applied 8"));
});

test("restored store, VM: an evacuation that the store lacks stays in force", (t) => {
  const { entry, step } = createVm();
  const read = (position: number, evacuated: string[], isWhole = true) => ({
    kind: "evacuations.read" as const,
    read: { position, evacuated, restored: [], isWhole },
  });
  step(10, read(5, ["z"]));
  step(100, { kind: "store.era", era: 5 });
  step(110, read(4, []));
  t.deepEqual(entry.clusterState.fleet.evacuations.zones, ["z"]);
});
