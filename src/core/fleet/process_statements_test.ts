import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { serverStatement } from "../../../test/support/server_statement.ts";
import { createSteppedEntry } from "../../../test/support/stepped_entry.ts";
import type { LogLine } from "../dispatch/index.ts";
import type { EntryEffect } from "../entry_effect.ts";
import { Fleet } from "./fleet.ts";

/** Creates a fleet with the server `a`, which states that it is leaving. */
function createLeavingFleet(incarnation: number): Fleet {
  const fleet = Fleet.create();
  fleet.apply([backendServer("a", { incarnation })], [], 0);
  fleet.stated.recordLeaving(fleet.get("a")!, 100);
  return fleet;
}

// Guards against requests to a leaving server whose entry expires and is written
// again, as during an outage of the store.
test("fleet: a statement that a server is leaving belongs to its process, not to its entry", (t) => {
  for (const incarnation of [0, 5]) {
    const fleet = createLeavingFleet(incarnation);
    const entry = backendServer("a", { incarnation });
    fleet.apply([entry], [], 200);
    t.true(fleet.get("a")!.isLeaving, "an entry that does not show it");
    fleet.apply([], ["a"], 300);
    fleet.apply([entry], [], 20_000);
    t.true(fleet.get("a")!.isLeaving, "the same process is listed again");
    fleet.apply([{ ...entry, incarnation: 9 }], [], 20_100);
    t.false(fleet.get("a")!.isLeaving, "the next process");
    fleet.apply([], ["a"], 20_200);
    fleet.apply([{ ...entry, incarnation: 9 }], [], 60_000);
    t.false(fleet.get("a")!.isLeaving);
  }
  const fleet = createLeavingFleet(0);
  fleet.apply([], ["a"], 300);
  fleet.apply([backendServer("a")], [], 31_000);
  t.false(fleet.get("a")!.isLeaving, "a later process without incarnation");
  t.deepEqual(fleet.stated.leaving(), []);
});

test("fleet: statements of other VMs apply to the same incarnation only", (t) => {
  const fleet = Fleet.create();
  fleet.apply([backendServer("a", { incarnation: 5 })], [], 0);
  const apply = (server: string, incarnation: number) =>
    fleet.applyPeerLeaving([{ server, incarnation }], 100).length;
  t.is(apply("a", 4), 0);
  t.is(apply("b", 5), 0);
  t.is(apply("a", 5), 1);
  t.is(apply("a", 5), 0);
  t.true(fleet.get("a")!.isLeaving);
  const listed = [{ server: "a", incarnation: 5 }];
  t.deepEqual(fleet.stated.unsharedLeaving(), listed);
  fleet.stated.confirmLeaving(listed);
  t.deepEqual(fleet.stated.unsharedLeaving(), []);
  // A new holder may not know it.
  fleet.stated.confirmLeaving([]);
  t.deepEqual(fleet.stated.unsharedLeaving(), listed);
  fleet.apply(
    [backendServer("a", { incarnation: 5, isDraining: true })],
    [],
    200,
  );
  t.deepEqual(fleet.stated.leaving(), [], "the registry reports it");
});

function lines(effects: readonly EntryEffect[], decision: string): LogLine[] {
  return effects.filter((each): each is LogLine =>
    each.kind === "note" && each.decision === decision
  );
}

test("log: a leaving server is logged once, ignored headers once a minute", (t) => {
  const { entry, step } = createSteppedEntry();
  step(0, {
    kind: "servers.read",
    sentAt: 0,
    read: {
      entries: [backendServer("a")],
      removed: [],
      unreadable: [],
      isWhole: true,
      position: 1,
    },
  });
  const { clusterState } = entry;
  const server = clusterState.fleet.get("a")!;
  const ignored = [{ name: "retry-after", value: "-3" }];
  const statement = serverStatement({ isLeaving: true, ignored });
  const applied = [10, 20, 30_000, 60_010].flatMap((now) => {
    clusterState.applyStatement(server, statement, now, now);
    clusterState.ignoreStatement(server, statement, "misdirected", now);
    return step(now, { kind: "timer" });
  });
  t.deepEqual(lines(applied, "server.leaving").map(({ detail }) => detail), [{
    server: "a",
    service: "s",
    address: "a:1",
    incarnation: 0,
    source: "server",
  }]);
  const details = lines(applied, "server.header_ignored").map(({ detail }) =>
    `${detail.header} ${detail.reason}`
  );
  t.deepEqual(details, [
    "retry-after invalid",
    "statement misdirected",
    "retry-after invalid",
    "statement misdirected",
  ]);
});
