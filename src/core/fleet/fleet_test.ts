import test from "ava";
import type { BackendServer } from "./backend_server.ts";
import { Fleet } from "./fleet.ts";

function entry(id: string, change: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    incarnation: 0,
    service: "stock",
    address: `${id}:1`,
    availabilityZone: "a",
    slots: 3,
    isDraining: false,
    warmUp: 0,
    ...change,
  };
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
