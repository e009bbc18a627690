import test from "ava";
import {
  createCutPlan,
  createExtendedPlan,
  createPlan,
  createRestorePlan,
  createStatementPlan,
} from "./soak_plan.ts";
import { SoakRun } from "./soak_run.ts";

/** Duration of the load, in milliseconds; shorter than in the soak itself. */
const LOAD_DURATION = 6_000;

test("soak: a plan depends only on its seed", (t) => {
  t.deepEqual(createPlan(5, LOAD_DURATION), createPlan(5, LOAD_DURATION));
  t.notDeepEqual(createPlan(5, LOAD_DURATION), createPlan(6, LOAD_DURATION));
  t.true(createPlan(8, 15_000).isPlannedOnly);
});

for (const seed of [4, 7]) {
  test.serial(`soak: seed ${seed} breaks no guarantee`, async (t) => {
    const report = await SoakRun.execute(createPlan(seed, LOAD_DURATION));
    t.deepEqual(report.breaches, []);
    t.true(report.served > report.calls / 3, JSON.stringify(report));
  });
}

test("soak: an extended plan adds faults to the plan of its seed", (t) => {
  const { faults } = createPlan(5, LOAD_DURATION);
  const extended = createExtendedPlan(5, LOAD_DURATION);
  t.deepEqual(extended, createExtendedPlan(5, LOAD_DURATION));
  t.deepEqual(extended.faults.slice(0, faults.length), faults);
  t.true(extended.faults.length > faults.length);
});

test.serial("soak: extended seed 11 breaks no guarantee", async (t) => {
  const report = await SoakRun.execute(createExtendedPlan(11, LOAD_DURATION));
  t.deepEqual(report.breaches, []);
  t.true(report.served > report.calls / 3, JSON.stringify(report));
});

// Guards against guarantees that are broken while entries send through others.
test.serial("soak: cut seed 9 breaks no guarantee", async (t) => {
  const plan = createCutPlan(9, LOAD_DURATION);
  const kinds = plan.faults.map(({ kind }) => kind);
  t.true(kinds.some((each) => each.startsWith("cut.")));
  const report = await SoakRun.execute(plan);
  t.deepEqual(report.breaches, []);
  t.true(report.served > report.calls / 3, JSON.stringify(report));
});

test.serial("soak: statement seed 16 breaks no guarantee", async (t) => {
  const plan = createStatementPlan(16, LOAD_DURATION);
  const kinds = plan.faults.map(({ kind }) => kind);
  t.true(kinds.includes("server.leave") && kinds.includes("server.backoff"));
  const report = await SoakRun.execute(plan);
  t.deepEqual(report.breaches, []);
  t.true(report.served > report.calls / 3, JSON.stringify(report));
});

// Guards against guarantees that are broken after the store has lost records.
test.serial("soak: restore seed 5 breaks no guarantee", async (t) => {
  const plan = createRestorePlan(5, LOAD_DURATION);
  const kinds = plan.faults.map(({ kind }) => kind);
  t.true(kinds.includes("store.restored"));
  const report = await SoakRun.execute(plan);
  t.deepEqual(report.breaches, []);
  t.true(report.served > report.calls / 3, JSON.stringify(report));
});
