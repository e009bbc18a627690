/**
 * A VM whose machine is suspended for seconds, as its host does it. Nothing runs
 * meanwhile, and the steady clock, by which terms, holds, ages and deadlines were
 * reckoned, does not count that time: on waking such a VM takes all that it believed
 * for as young as before. A term holder goes on giving out keys of a term that has
 * passed to another VM, and a request is passed on with more time than its caller has.
 */
import test from "ava";
import fc from "fast-check";
import { clockStepSchedules, suspensionSchedules } from "./schedule.ts";
import { type Fault, type SimulationOptions, World } from "./world.ts";

const SEED = 7;
const RUNS = 150;

test("suspension: a key has at most one server", (t) => {
  const broken = fc.sample(suspensionSchedules, { numRuns: RUNS, seed: SEED })
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

test("suspension: one that may be a clock that is set gives no key to two servers", (t) => {
  const broken = fc.sample(clockStepSchedules, { numRuns: RUNS, seed: SEED })
    .flatMap((options) => {
      const world = { ...options, isUptimeForeign: true };
      return World.play(world).violations.slice(0, 1);
    });
  t.deepEqual(broken, []);
});

/** The holder's time of day is set ahead by a second while it waits for the hold of a
 * server that it cannot reach to run out. */
function playStepInWait(weakness: Partial<SimulationOptions>): string[] {
  const faults: Fault[] = [
    { kind: "server.cut", at: 8_000, duration: 20_000, target: 0 },
    { kind: "server.secluded", at: 10_400, duration: 12_000, target: 0 },
    { kind: "vm.clock_step", at: 11_000, duration: 1_000, target: 1 },
  ];
  return Array.from({ length: 20 }, (_, i) => 1 + i).flatMap((seed) => {
    const { violations } = World.play({
      vms: 2,
      fitness: [1, 5],
      servers: 3,
      faults,
      duration: 24_000,
      seed,
      isUptimeForeign: true,
      ...weakness,
    });
    return violations.slice(0, 1);
  });
}

test("suspension: a holder that takes a clock that is set for time that has gone is found out", (t) => {
  t.deepEqual(playStepInWait({}), []);
  t.true(playStepInWait({ isClockJumpCertain: true }).length > 0);
});
