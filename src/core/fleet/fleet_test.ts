import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import type { BackendServer } from "./backend_server.ts";
import { Fleet } from "./fleet.ts";

function entry(id: string, change: Partial<BackendServer> = {}): BackendServer {
  return backendServer(id, { service: "stock", ...change });
}

test("fleet: changes are told once", (t) => {
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

test("fleet: a run that takes the id of another is told once", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a", { incarnation: 100 })], [], 0);
  const restarted = entry("a", { incarnation: 200 });
  t.deepEqual(fleet.apply([restarted], [], 1), [
    { kind: "restarted", server: restarted },
  ]);
  t.deepEqual(fleet.apply([restarted], [], 2), []);
});

/** A server whose older run was seen to be slow, silent, full, failing and
 * draining, and that was then listed with another incarnation. */
function restartedFleet(): Fleet {
  const fleet = Fleet.create();
  fleet.apply([entry("a", { incarnation: 100 })], [], 0);
  const older = fleet.get("a")!;
  for (let attempt = 1; attempt <= 6; attempt++) older.started(attempt, 0);
  older.answered(1, 800, { running: 3, waiting: 9, slots: 3 });
  older.refused(2, 810, null);
  older.failed(3, 820);
  older.failed(4, 830);
  const leaving = entry("a", { incarnation: 100, isDraining: true });
  fleet.apply([leaving], [], 840);
  fleet.apply([entry("a", { incarnation: 200, warmUp: 900 })], [], 850);
  return fleet;
}

/** What is known of the server of {@linkcode restartedFleet}. */
function describe(fleet: Fleet) {
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
    isSilent: server.isSilent(5_000, 10),
    aliveAt: server.aliveAt,
    refusedAt: server.refusedAt,
    samples: fleet.takeSamples("stock", 860),
    listed: fleet.of("stock").map(({ id }) => id),
  };
}

test("fleet: a new run starts with nothing that was seen of the older run", (t) => {
  t.snapshot(describe(restartedFleet()));
});

test("fleet: attempts at the older run say nothing of the new one", (t) => {
  const fleet = restartedFleet();
  const before = describe(fleet);
  const server = fleet.get("a")!;
  server.failed(5, 851);
  server.failed(6, 852);
  server.answered(1, 853, { running: 3, waiting: 9, slots: 3 });
  server.refused(2, 854, { running: 3, waiting: 9, slots: 3 });
  server.cancelled(3);
  t.deepEqual(describe(fleet), before);
});

test("fleet: what takes the place of the older run counts as a server that joined", (t) => {
  const fleet = restartedFleet();
  t.is(fleet.joinedAt("stock"), 850);
  fleet.apply([entry("a", { incarnation: 200 })], [], 900);
  t.is(fleet.joinedAt("stock"), 850);
});

test("fleet: the service of the older run is left by a new one that names another", (t) => {
  const fleet = restartedFleet();
  const moved = entry("a", { incarnation: 300, service: "orders" });
  fleet.apply([moved], [], 900);
  t.is(fleet.expire(2_400).length, 1);
  fleet.apply([moved], [], 2_410);
  t.deepEqual(fleet.of("stock"), []);
  t.deepEqual(fleet.of("orders").map(({ id }) => id), ["a"]);
});

test("fleet: a run that was seen draining does not take work again", (t) => {
  // A heartbeat of before that reaches the registry late lists it as ready.
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

test("fleet: an entry that cannot be read costs no server that writes it anew", (t) => {
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

test("fleet: in a whole list too an entry that cannot be read is no removal", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a"), entry("b")], [], 0);
  t.deepEqual(fleet.replace([entry("a")], 1_000, ["b"]), []);
  t.is(fleet.expire(2_500).length, 1);
});

test("fleet: an entry that cannot be of the server that is listed is not taken", (t) => {
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

test("fleet: what lapsed in an outage may come back for two seconds", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a"), entry("b")], [], 0);
  fleet.regained(10_000);
  t.deepEqual(fleet.apply([], ["a", "b"], 10_050), []);
  fleet.apply([entry("a")], [], 11_000);
  t.deepEqual(fleet.expire(11_900), []);
  t.deepEqual(fleet.expire(12_000).map((each) => each.server.id), ["b"]);
  t.deepEqual(fleet.all().map((each) => each.id), ["a"]);
  t.is(fleet.apply([], ["a"], 12_500).length, 1);
});

test("fleet: a server that stays silent is told from one that is slow", (t) => {
  const fleet = Fleet.create();
  fleet.apply([entry("a")], [], 0);
  const server = fleet.get("a")!;
  server.started(1, 0);
  server.started(2, 100);
  t.false(server.isSilent(240, 50));
  t.true(server.isSilent(300, 50));
  server.answered(2, 310, null);
  t.false(server.isSilent(320, 50));
});

test("fleet: failures in a row pause a server for longer and longer", (t) => {
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
