/**
 * A VM whose machine is suspended for seconds, as its host does it. Nothing runs
 * meanwhile, and the steady clock, by which terms, holds, ages and deadlines were
 * reckoned, does not count that time: on waking such a VM takes all that it believed
 * for as young as before. A term holder goes on giving out keys of a term that has
 * passed to another VM, and a request is passed on with more time than its caller has.
 */
import test from "ava";
import fc from "fast-check";
import { suspensions } from "./schedule.ts";
import { type Fault, World } from "./world.ts";

const SEED = 7;
const RUNS = 150;

test("suspension: a key has at most one server", (t) => {
  const broken = fc.sample(suspensions, { numRuns: RUNS, seed: SEED })
    .flatMap((options) => World.play(options).violations.slice(0, 1));
  t.deepEqual(broken, [], `${broken.length} of ${RUNS} schedules`);
});

/** A holder that wakes long after its term has passed to another VM. */
const HOLDER_SLEEPS: Fault[] = [0, 1, 2].map((target) => ({
  kind: "vm.suspend",
  at: 8_000 + 5_000 * target,
  duration: 4_000,
  target,
}));

test("suspension: a holder that wakes has no authority", (t) => {
  for (let seed = 1; seed <= 20; seed++) {
    const report = World.play({
      vms: 3,
      servers: 4,
      faults: HOLDER_SLEEPS,
      duration: 26_000,
      seed,
    });
    t.deepEqual(report.violations, [], `seed ${seed}`);
    t.is(report.staleOrders, 0, `seed ${seed}`);
  }
});

test("suspension: a request is not passed on with more time than is left", (t) => {
  const report = World.play({
    vms: 3,
    servers: 2,
    faults: [0, 1, 2].map((target) => ({
      kind: "vm.suspend",
      at: 10_000 + 3_000 * target,
      duration: 2_000,
      target,
    })),
    duration: 30_000,
    seed: 1,
    load: {
      isKeyed: false,
      from: 8_000,
      until: 25_000,
      rate: 60,
      work: 300,
      speeds: [1],
      slots: 3,
      queue: 6,
      target: 4_000,
      timeout: 6_000,
      keyOf: (draw) => Math.floor(draw() * 65_536),
    },
  });
  const { longestOverrun } = report.load!;
  t.true(longestOverrun <= 500, `${longestOverrun} ms beyond its deadline`);
});
