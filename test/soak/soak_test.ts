import test from "ava";
import { extendedPlanOf, planOf } from "./soak_plan.ts";
import { SoakRun } from "./soak_run.ts";

/** Time under load, in milliseconds: a short run of the whole thing. */
const LENGTH = 6_000;

test("soak: the plan of a seed is always the same", (t) => {
  t.deepEqual(planOf(5, LENGTH), planOf(5, LENGTH));
  t.notDeepEqual(planOf(5, LENGTH), planOf(6, LENGTH));
  t.true(planOf(8, 15_000).isPlannedOnly);
});

for (const seed of [4, 7]) {
  test.serial(`soak: seed ${seed} breaks no promise`, async (t) => {
    const report = await SoakRun.play(planOf(seed, LENGTH));
    t.deepEqual(report.breaches, []);
    t.true(report.served > report.calls / 3, JSON.stringify(report));
  });
}

test("soak: an extended plan is the seed's with more", (t) => {
  const { faults } = planOf(5, LENGTH);
  const extended = extendedPlanOf(5, LENGTH);
  t.deepEqual(extended, extendedPlanOf(5, LENGTH));
  t.deepEqual(extended.faults.slice(0, faults.length), faults);
  t.true(extended.faults.length > faults.length);
});

test.serial("soak: extended seed 11 breaks no promise", async (t) => {
  const report = await SoakRun.play(extendedPlanOf(11, LENGTH));
  t.deepEqual(report.breaches, []);
  t.true(report.served > report.calls / 3, JSON.stringify(report));
});
