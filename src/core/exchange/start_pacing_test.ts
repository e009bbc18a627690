/**
 * Guards the way of a pace from the reports of all VMs to the choice of servers,
 * and what VMs do without a term holder that knows it.
 */
import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { ClusterState } from "../cluster_state.ts";
import type { EntryEffect } from "../entry_effect.ts";
import { NO_FEATURES } from "../features.ts";
import { StartPacing } from "./start_pacing.ts";

/** Creates the pacing of a holder of term 1 with four servers. */
function createHolder(pacesStarts = true) {
  const effects: EntryEffect[] = [];
  const features = { ...NO_FEATURES, pacesStarts };
  const clusterState = ClusterState.create(
    (...some) => effects.push(...some),
    () => {},
    undefined,
    features,
  );
  const { fleet } = clusterState;
  const list = (id: string, now: number, incarnation = 1) =>
    clusterState.applyServerChanges(
      fleet.apply([backendServer(id, { incarnation })], [], now),
      now,
    );
  for (let i = 0; i < 4; i++) list(`i-${i}`, -10_000);
  const pacing = StartPacing.create(clusterState);
  pacing.advance(1, 0);
  const reasons = () =>
    effects.splice(0).flatMap((each) =>
      each.kind === "note" && each.decision === "server.paced"
        ? [each.detail.reason]
        : []
    );
  return { clusterState, fleet, list, pacing, reasons };
}

test("start pacing: a restarted server has a pace that rises with usual responses of any VMs", (t) => {
  const { list, pacing, reasons, fleet } = createHolder();
  t.deepEqual(pacing.states, []);
  list("i-1", 1_000, 2);
  pacing.advance(1, 1_000);
  t.deepEqual(pacing.states, [{ server: "i-1", pace: 0.25 }]);
  for (let now = 1_200; now <= 1_600; now += 200) {
    pacing.observe([{ server: "i-1", mean: 100, count: 3 }], now);
    pacing.advance(1, now);
  }
  t.deepEqual(pacing.states, []);
  t.is(fleet.get("i-1")!.pace.at(1_600), 1);
  t.deepEqual(reasons(), ["usual", "usual"]);
});

test("start pacing: failures of one server, reported by several VMs, slow it", (t) => {
  const { pacing, fleet } = createHolder();
  for (const now of [100, 200, 300]) {
    const failed = { server: "i-2", mean: 0, count: 0, failures: 1 };
    pacing.observe([failed], now);
  }
  pacing.advance(1, 400);
  t.deepEqual(pacing.states, [{ server: "i-2", pace: 0.25 }]);
  t.is(fleet.get("i-2")!.pace.at(400), 0.25);
});

test("start pacing: a server is paced again when it becomes cold or its backoff ends", (t) => {
  const { pacing, fleet } = createHolder();
  fleet.get("i-0")!.mayHaveRestarted(500);
  const { statements } = fleet.get("i-3")!;
  const statement = { load: null, isLeaving: false, ignored: [] };
  statements.apply({ ...statement, backoff: 400 }, 100, 500);
  pacing.advance(1, 600);
  t.deepEqual(pacing.states.map(({ server }) => server), ["i-0"]);
  pacing.advance(1, 1_000);
  t.true(pacing.states.some(({ server }) => server === "i-3"));
});

test("start pacing: a new holder continues with the paces that it knows", (t) => {
  const { pacing, fleet } = createHolder();
  fleet.applyPaces([{ server: "i-1", pace: 0.5 }], 100);
  pacing.advance(2, 200);
  t.deepEqual(pacing.states, [{ server: "i-1", pace: 0.5 }]);
});

test("start pacing: a follower uses a new server slowly until the holder names it or has listed it", (t) => {
  const { fleet, list } = createHolder();
  list("i-9", 1_000);
  const { pace } = fleet.get("i-9")!;
  t.is(pace.at(1_000), 0.25);
  fleet.applyPaces([], 1_500);
  t.is(pace.at(1_500), 0.25);
  fleet.applyPaces([{ server: "i-9", pace: 0.5 }], 1_900);
  t.is(pace.at(1_900), 0.5);
  fleet.applyPaces([], 2_400);
  t.is(pace.at(2_400), 1);
});

test("start pacing: without answers, or with a holder of an older version, a new server is used fully after some seconds", (t) => {
  const { fleet, list } = createHolder();
  list("i-9", 1_000);
  t.is(fleet.get("i-9")!.pace.at(5_500), 1);
});

test("start pacing: without the feature, no server has a pace", (t) => {
  const { fleet, list, pacing } = createHolder(false);
  list("i-9", 1_000);
  pacing.advance(1, 1_000);
  t.is(fleet.get("i-9")!.pace.at(1_000), 1);
  t.deepEqual(pacing.states, []);
});
