/**
 * A host can suspend a VM for seconds. The VM's monotonic clock does not count
 * that time, so a VM that relied on it for terms, leases, ages and deadlines
 * would regard its state as up to date when it resumes. A term holder would go
 * on granting keys although the term has passed to another VM, and requests
 * would be forwarded with more time than their callers have left.
 */
import test from "ava";
import fc from "fast-check";
import { clockStepSchedules, suspensionSchedules } from "./schedule.ts";
import {
  type Fault,
  Simulation,
  type SimulationOptions,
} from "./simulation.ts";

const SEED = 7;
const RUNS = 150;

test("suspension: a key has at most one server", (t) => {
  const violations = fc.sample(suspensionSchedules, {
    numRuns: RUNS,
    seed: SEED,
  })
    .flatMap((options) => Simulation.runToEnd(options).violations.slice(0, 1));
  t.deepEqual(violations, [], `${violations.length} of ${RUNS} schedules`);
});

/**
 * Each VM in turn is suspended for so long that another VM takes over the term.
 */
const HOLDER_SUSPENSIONS: Fault[] = [0, 1, 2].map((target) => ({
  kind: "vm.suspend",
  at: 8_000 + 5_000 * target,
  duration: 4_000,
  target,
}));

test("suspension: a holder that resumes has no authority", (t) => {
  for (let seed = 1; seed <= 20; seed++) {
    const report = Simulation.runToEnd({
      vms: 3,
      servers: 4,
      faults: HOLDER_SUSPENSIONS,
      duration: 26_000,
      seed,
    });
    t.deepEqual(report.violations, [], `seed ${seed}`);
    t.is(report.staleOrders, 0, `seed ${seed}`);
  }
});

test("suspension: a request is not forwarded with more time than its caller has left", (t) => {
  const report = Simulation.runToEnd({
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

test("suspension: a clock jump whose cause is uncertain gives no key to two servers", (t) => {
  const violations = fc.sample(clockStepSchedules, {
    numRuns: RUNS,
    seed: SEED,
  })
    .flatMap((options) => {
      const uncertain = { ...options, isUptimeForeign: true };
      return Simulation.runToEnd(uncertain).violations.slice(0, 1);
    });
  t.deepEqual(violations, []);
});

/**
 * Simulates a holder whose time of day is set forward by a second while it
 * waits for the lease of an unreachable server to expire. Returns the
 * violations.
 */
function simulateClockStep(mutation: Partial<SimulationOptions>): string[] {
  const faults: Fault[] = [
    { kind: "server.cut_from_store", at: 8_000, duration: 20_000, target: 0 },
    { kind: "server.cut_from_vms", at: 10_400, duration: 12_000, target: 0 },
    { kind: "vm.clock_step", at: 11_000, duration: 1_000, target: 1 },
  ];
  return Array.from({ length: 20 }, (_, i) => 1 + i).flatMap((seed) => {
    const { violations } = Simulation.runToEnd({
      vms: 2,
      fitness: [1, 5],
      servers: 3,
      faults,
      duration: 24_000,
      seed,
      isUptimeForeign: true,
      ...mutation,
    });
    return violations.slice(0, 1);
  });
}

test("suspension: a holder that treats a change of its time of day as elapsed time is detected", (t) => {
  t.deepEqual(simulateClockStep({}), []);
  t.true(simulateClockStep({ isClockJumpCertain: true }).length > 0);
});
