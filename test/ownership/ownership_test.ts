import test from "ava";
import fc from "fast-check";
import { rivalries, worlds } from "./schedule.ts";
import { World, type WorldOptions } from "./world.ts";

const SEED = 7;

/** Worlds of `arbitrary`, of which the first with a violation is returned. */
function findViolation(
  arbitrary: fc.Arbitrary<WorldOptions>,
  runs: number,
  weakness: Partial<WorldOptions>,
): string | null {
  for (const options of fc.sample(arbitrary, { numRuns: runs, seed: SEED })) {
    const { violations } = World.play({ ...options, ...weakness });
    if (violations.length > 0) return violations[0];
  }
  return null;
}

test("a key has at most one server, whatever fails", (t) => {
  fc.assert(
    fc.property(worlds, (options) => {
      const { violations } = World.play(options);
      if (violations.length > 0) throw new Error(violations[0]);
    }),
    { numRuns: 150, seed: SEED },
  );
  t.pass();
});

test("without faults every key is held once the servers are known", (t) => {
  const report = World.play({
    vms: 3,
    servers: 4,
    faults: [],
    duration: 20_000,
    seed: 1,
  });
  t.deepEqual(report.violations, []);
  t.true(report.held > 0.85, `${report.held}`);
});

test("a successor that does not wait for older grants is found out", (t) => {
  const weakness = { otherTiming: { longHold: 1 } };
  t.not(findViolation(rivalries, 60, weakness), null);
});

test("a holder that looks at no authority is found out", (t) => {
  const weakness = { firstTiming: { authority: 60_000 } };
  t.not(findViolation(rivalries, 60, weakness), null);
});

test("a record that is not kept is found out", (t) => {
  t.not(findViolation(worlds, 150, { isForgetful: true }), null);
});
