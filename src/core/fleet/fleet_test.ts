import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import type { BackendServer } from "./backend_server.ts";
import { Fleet } from "./fleet.ts";

function entry(id: string, change: Partial<BackendServer> = {}): BackendServer {
  return backendServer(id, { service: "stock", ...change });
}

test("fleet: reports each change once", (t) => {
  const fleet = Fleet.create();
  const kinds = (changes: { kind: string; server: BackendServer }[]) =>
    changes.map(({ kind, server }) => `${server.id} ${kind}`);
  const draining = entry("a", { isDraining: true });
  t.snapshot({
    joined: kinds(fleet.apply([entry("a"), entry("b")], [], 0)),
    heartbeat: kinds(fleet.apply([entry("a")], [], 1)),
    draining: kinds(fleet.apply([draining], [], 2)),
    again: kinds(fleet.apply([draining], [], 3)),
    removed: kinds(fleet.apply([], ["a", "unknown"], 4)),
    missing: kinds(fleet.replace([entry("c")], 5)),
  });
});

test("fleet: reports a restarted server once", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a", { incarnation: 100 })], [], 0);
  const restarted = entry("a", { incarnation: 200 });
  t.deepEqual(fleet.apply([restarted], [], 1), [
    { kind: "restarted", server: restarted },
  ]);
  t.deepEqual(fleet.apply([restarted], [], 2), []);
});

/**
 * A fleet with a server that was slow, unresponsive, full, failing and
 * draining, and was then listed with another incarnation.
 */
function restartedFleet(): Fleet {
  const fleet = Fleet.create();
  fleet.apply([entry("a", { incarnation: 100 })], [], 0);
  const previous = fleet.get("a")!;
  for (let attempt = 1; attempt <= 6; attempt++) previous.started(attempt, 0);
  previous.answered(1, 800, { running: 3, waiting: 9, slots: 3 });
  previous.refused(2, 810, null);
  previous.failed(3, 820);
  previous.failed(4, 830);
  const leaving = entry("a", { incarnation: 100, isDraining: true });
  fleet.apply([leaving], [], 840);
  fleet.apply([entry("a", { incarnation: 200, warmUp: 900 })], [], 850);
  return fleet;
}

/** The state of the server of {@linkcode restartedFleet}. */
function serverState(fleet: Fleet) {
  const server = fleet.get("a")!;
  return {
    incarnation: server.entry.incarnation,
    warmUp: server.entry.warmUp,
    isDraining: server.entry.isDraining,
    drainingSince: server.drainingSince,
    inFlight: server.inFlight,
    load: server.load(860),
    isLoadKnown: server.isLoadKnown(860),
    latency: server.latency,
    cost: server.cost(860, 10),
    isPaused: server.isPaused(860),
    isSilent: server.isUnresponsive(5_000, 10),
    aliveAt: server.lastSeenAt,
    refusedAt: server.refusedAt,
    samples: fleet.takeSamples("stock", 860),
    listed: fleet.serversOf("stock").map(({ id }) => id),
  };
}

test("fleet: a restarted server keeps no observations of its previous incarnation", (t) => {
  t.snapshot(serverState(restartedFleet()));
});

test("fleet: ignores outcomes of attempts at the previous incarnation", (t) => {
  const fleet = restartedFleet();
  const before = serverState(fleet);
  const server = fleet.get("a")!;
  server.failed(5, 851);
  server.failed(6, 852);
  server.answered(1, 853, { running: 3, waiting: 9, slots: 3 });
  server.refused(2, 854, { running: 3, waiting: 9, slots: 3 });
  server.cancelled(3);
  t.deepEqual(serverState(fleet), before);
});

test("fleet: a restarted server counts as joined", (t) => {
  const fleet = restartedFleet();
  t.is(fleet.joinedAt("stock"), 850);
  fleet.apply([entry("a", { incarnation: 200 })], [], 900);
  t.is(fleet.joinedAt("stock"), 850);
});

test("fleet: a restarted server with another service leaves its previous service", (t) => {
  const fleet = restartedFleet();
  const moved = entry("a", { incarnation: 300, service: "orders" });
  fleet.apply([moved], [], 900);
  t.is(fleet.expire(2_400).length, 1);
  fleet.apply([moved], [], 2_410);
  t.deepEqual(fleet.serversOf("stock"), []);
  t.deepEqual(fleet.serversOf("orders").map(({ id }) => id), ["a"]);
});

test("fleet: an incarnation that was draining stays draining", (t) => {
  // A delayed heartbeat from before the drain lists the server as not draining.
  const fleet = Fleet.create();
  const leaving = entry("a", { incarnation: 100, isDraining: true });
  fleet.apply([leaving], [], 0);
  fleet.apply([entry("a", { incarnation: 100 })], [], 10);
  t.true(fleet.get("a")!.entry.isDraining);
  t.is(fleet.get("a")!.drainingSince, 0);
  fleet.apply([entry("a", { incarnation: 200 })], [], 20);
  t.false(fleet.get("a")!.entry.isDraining);
  t.is(fleet.get("a")!.drainingSince, null);
});

test("fleet: keeps a server that rewrites its unreadable entry in time", (t) => {
  const fleet = Fleet.create();
  const both = [entry("a", { incarnation: 5 }), entry("b", { incarnation: 6 })];
  fleet.apply(both, [], 0);
  t.deepEqual(fleet.apply([], [], 1_000, ["a", "b", "unknown"]), []);
  t.deepEqual(fleet.apply([], [], 1_400, ["b"]), []);
  fleet.apply([both[0]], [], 2_000);
  t.deepEqual(fleet.expire(2_499), []);
  t.deepEqual(fleet.expire(2_500), [{ kind: "removed", server: both[1] }]);
  t.deepEqual(fleet.all().map(({ id }) => id), ["a"]);
  t.deepEqual(fleet.expire(60_000), []);
});

test("fleet: an unreadable entry in a complete list is not an immediate removal", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a"), entry("b")], [], 0);
  t.deepEqual(fleet.replace([entry("a")], 1_000, ["b"]), []);
  t.is(fleet.expire(2_500).length, 1);
});

test("fleet: rejects an entry that the listed server cannot have written", (t) => {
  const fleet = Fleet.create();
  const own = entry("a", { incarnation: 5 });
  fleet.apply([own], [], 0);
  t.deepEqual(fleet.apply([entry("a")], [], 1_000), []);
  const other = entry("a", { incarnation: 5, service: "orders" });
  t.deepEqual(fleet.apply([other], [], 1_010), []);
  t.deepEqual(fleet.get("a")?.entry, own);
  fleet.apply([own], [], 1_900);
  t.deepEqual(fleet.expire(60_000), []);
  fleet.apply([other], [], 70_000);
  t.is(fleet.expire(71_500).length, 1);
});

test("fleet: keeps expired entries for two seconds after an outage of the registry", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a"), entry("b")], [], 0);
  fleet.recovered(10_000);
  t.deepEqual(fleet.apply([], ["a", "b"], 10_050), []);
  fleet.apply([entry("a")], [], 11_000);
  t.deepEqual(fleet.expire(11_900), []);
  t.deepEqual(fleet.expire(12_000).map((each) => each.server.id), ["b"]);
  t.deepEqual(fleet.all().map((each) => each.id), ["a"]);
  t.is(fleet.apply([], ["a"], 12_500).length, 1);
});

test("fleet: distinguishes an unresponsive server from a slow one", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a")], [], 0);
  const server = fleet.get("a")!;
  server.started(1, 0);
  server.started(2, 100);
  t.false(server.isUnresponsive(240, 50));
  t.true(server.isUnresponsive(300, 50));
  server.answered(2, 310, null);
  t.false(server.isUnresponsive(320, 50));
});

// Guards against a server that counts as slow or unresponsive because this
// process did not run. A response of 5 ms that was read after a stall of 2 s
// raised the latency to half a second, and the term holder limited the server's
// keys.
test("fleet: the time for which this process stalled does not count against a server", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a")], [], 0);
  const server = fleet.get("a")!;
  server.started(1, 0);
  server.answered(1, 5, null);
  server.started(2, 100);
  fleet.processStalled(2_000);
  t.false(server.isUnresponsive(2_110, 5));
  server.answered(2, 2_110, null);
  t.is(server.latency, 5);
  t.deepEqual(server.takeSamples(2_110), { mean: 5, count: 1 });
  server.started(3, 2_120);
  t.true(server.isUnresponsive(2_380, 5));
  server.started(4, 2_400);
  server.answered(4, 2_410, null);
  t.is(server.latency, 6);
});

test("fleet: recent load reports show whether a server has free slots", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a")], [], 0);
  const server = fleet.get("a")!;
  const { slots } = server.entry;
  t.false(server.hasFreeSlots(0));
  server.applyLoadReport({ requests: slots - 1, age: 0 }, 100);
  t.true(server.hasFreeSlots(400));
  t.false(server.hasFreeSlots(401));
  // A single report of a full server may be by chance.
  server.applyLoadReport({ requests: slots + 1, age: 0 }, 500);
  t.true(server.hasFreeSlots(500));
  server.applyLoadReport({ requests: slots + 1, age: 0 }, 510);
  t.false(server.hasFreeSlots(510));
});

test("fleet: consecutive failures pause a server with exponential backoff", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a")], [], 0);
  const server = fleet.get("a")!;
  const pauses: boolean[][] = [];
  for (let attempt = 1; attempt <= 4; attempt++) {
    server.started(attempt, 0);
    server.failed(attempt, 0);
    pauses.push([1, 299, 599, 1_199].map((now) => server.isPaused(now)));
  }
  t.snapshot(pauses);
  server.started(9, 5_000);
  server.answered(9, 5_010, null);
  server.started(10, 5_020);
  server.failed(10, 5_030);
  t.false(server.isPaused(5_031));
});

/** A fleet that knows a restarted, a running and a removed server. */
function fleetBeforeRestoration(): Fleet {
  const fleet = Fleet.create();
  const ids = ["restarted", "running", "gone"];
  fleet.apply(ids.map((id) => entry(id, { incarnation: 1 })), [], 0);
  fleet.apply([entry("restarted", { incarnation: 2 })], ["gone"], 10);
  return fleet;
}

const COPY = ["restarted", "gone", "new"].map((id) =>
  entry(id, { incarnation: 1 })
);

// Guards against servers that are gone being listed again, known ones being
// replaced by older entries, and running ones being removed, when the store
// returns from a copy.
test("fleet: entries of a copy change nothing that is known to be newer", (t) => {
  const fleet = fleetBeforeRestoration();
  fleet.recovered(100);
  const changes = fleet.replaceFromCopy(COPY, 100);
  t.deepEqual(changes.map(({ kind, server: { id } }) => [kind, id]), [
    ["joined", "new"],
  ]);
  t.is(fleet.get("restarted")!.entry.incarnation, 2);
  t.not(fleet.get("running"), undefined);
  t.deepEqual(
    fleet.expire(2_100).map(({ kind, server: { id } }) => [kind, id]),
    [["removed", "running"]],
  );
});

test("fleet: an entry of a copy that remains is believed after a while", (t) => {
  const fleet = fleetBeforeRestoration();
  fleet.replaceFromCopy(COPY, 100);
  t.deepEqual(fleet.expire(5_099), []);
  t.deepEqual(
    fleet.expire(5_100).map(({ kind, server: { id } }) => [kind, id]),
    [["restarted", "restarted"], ["joined", "gone"]],
  );
});

test("fleet: an entry of a copy that is removed or written again is not believed", (t) => {
  const fleet = fleetBeforeRestoration();
  fleet.replaceFromCopy(COPY, 100);
  fleet.apply([entry("restarted", { incarnation: 2 })], ["gone"], 200);
  t.deepEqual(fleet.expire(10_000), []);
  t.is(fleet.get("restarted")!.entry.incarnation, 2);
  t.is(fleet.get("gone"), undefined);
});

test("fleet: a removed server that writes its entry again is listed at once", (t) => {
  const fleet = fleetBeforeRestoration();
  fleet.replaceFromCopy(COPY, 100);
  t.deepEqual(fleet.apply([entry("gone")], [], 200).length, 1);
});

test("fleet: a server that drains in a copy is draining", (t) => {
  const fleet = fleetBeforeRestoration();
  const draining = entry("running", { incarnation: 1, isDraining: true });
  t.deepEqual(
    fleet.replaceFromCopy([draining], 100).map(({ kind }) => kind)
      .filter((kind) => kind === "draining"),
    ["draining"],
  );
});
