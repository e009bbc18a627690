import test from "ava";
import fc from "fast-check";
import { restorationSchedules } from "./schedule.ts";
import {
  type Fault,
  Simulation,
  type SimulationOptions,
  type SimulationReport,
} from "./simulation.ts";

/** When the store becomes unavailable in most simulations, in milliseconds. */
const LOST_AT = 12_000;
/** Time after the return of the store within which keys are held again. */
const RECOVERY_TIME = 1_000;
/** Minimum share of the samples in which the sampled key is held. */
const MINIMUM_HELD_SHARE = 0.98;

/** A return of the store from a copy. */
function restored(fault: Partial<Fault> = {}): Fault {
  return {
    kind: "store.restored",
    at: LOST_AT,
    duration: 300,
    target: 0,
    age: 3_000,
    ...fault,
  };
}

/**
 * Servers that join shortly before the store is lost: the moves of keys to them
 * are lost, and the copy names other servers.
 */
const LOST_MOVES: Fault[] = [1_600, 1_100].map((before, target) => ({
  kind: "server.join",
  at: LOST_AT - before,
  duration: 0,
  target,
}));

function simulate(
  faults: readonly Fault[],
  overrides: Partial<SimulationOptions> = {},
): SimulationReport {
  return Simulation.runToEnd({
    vms: 4,
    servers: 4,
    faults: [...LOST_MOVES, ...faults],
    duration: LOST_AT + 14_000,
    seed: 1,
    ...overrides,
  });
}

/** Share of the samples in an interval in which the sampled key was held. */
function heldShare(
  { samples }: SimulationReport,
  from: number,
  until: number,
): number {
  const included = samples.filter(({ at }) => at >= from && at < until);
  return included.filter(({ isHeld }) => isHeld).length / included.length;
}

/** Number of keys that changed their server in an interval. */
function movedKeys(
  { handovers }: SimulationReport,
  from: number,
  until: number,
): number {
  return handovers.filter(({ at }) => at >= from && at < until)
    .reduce((sum, { keys }) => sum + keys, 0);
}

// Guards against keys that two servers hold, or that a server gets with a lower
// token than another had, after the store has forgotten which server has them.
test("restored store: no two servers hold a key in random schedules of faults", (t) => {
  fc.assert(
    fc.property(restorationSchedules, (options) => {
      const { violations } = Simulation.runToEnd(options);
      if (violations.length > 0) throw new Error(violations[0]);
    }),
    { numRuns: 300, seed: 14 },
  );
  t.pass();
});

// A store that returns from a copy without stating an era breaks its promise;
// this shows that the simulation detects what the era prevents.
test("restored store: VMs that do not learn of it are detected", (t) => {
  const isDetected = fc.sample(restorationSchedules, { numRuns: 20, seed: 14 })
    .some((options) =>
      Simulation.runToEnd({ ...options, isEraHidden: true }).violations.length >
        0
    );
  t.true(isDetected);
});

// VMs of older versions learn of no era. The others must neither be misled by
// them nor stop serving.
test("restored store: observers of an older version beside others", (t) => {
  const violations: string[] = [];
  const shares: number[] = [];
  for (const seed of [1, 2, 3]) {
    const report = simulate([restored({ duration: 1_500 })], {
      vms: 12,
      vmsWithoutEra: 4,
      seed,
      fitness: Array.from({ length: 12 }, (_, i) => i < 4 ? 1 : 5),
    });
    violations.push(...report.violations, ...report.regressions);
    shares.push(heldShare(report, LOST_AT, LOST_AT + 6_500));
  }
  t.deepEqual(violations.slice(0, 2), []);
  t.true(
    shares.every((share) => share >= MINIMUM_HELD_SHARE),
    shares.join(),
  );
});

// Guards against a term that is claimed twice: by a VM that has counted it from
// a term that the store has lost, and by its next process, which knows only the
// record.
test("restored store: a process without memory claims a term above the lost ones", (t) => {
  const { violations } = Simulation.runToEnd({
    vms: 1,
    servers: 2,
    faults: [
      restored({ at: 13_739, duration: 995, age: 2_356 }),
      restored({ at: 16_465, duration: 994, age: 5_998 }),
      restored({ at: 19_995, duration: 5_262, age: 5_659 }),
      { kind: "vm.kill", at: 22_377, duration: 4_263, target: 0 },
      { kind: "server.restart", at: 16_085, duration: 4_305, target: 0 },
    ],
    duration: 36_000,
    seed: 424_952_147,
  });
  t.deepEqual(violations, []);
});

for (const vms of [4, 11, 61, 195]) {
  const size = {
    vms,
    servers: vms < 60 ? 8 : 40,
    fitness: vms < 60 ? undefined : Array.from(
      { length: vms },
      (_, i) => i < 6 ? 5 : 1,
    ),
  };
  for (const duration of [100, 300, 1_500, 3_500]) {
    // Guards against keys without a server, and against moves of keys, although
    // the term holder that granted them still runs.
    test(`restored store: a quiet system of ${vms} VMs serves all keys without a move, away ${duration} ms`, (t) => {
      const report = simulate([restored({ duration })], size);
      t.deepEqual(report.violations, []);
      t.deepEqual(report.regressions, []);
      const back = LOST_AT + duration;
      const held = heldShare(report, LOST_AT, back + 5_000);
      t.true(held >= MINIMUM_HELD_SHARE, `${held}`);
      t.is(movedKeys(report, LOST_AT, back + RECOVERY_TIME), 0);
    });
  }
}

const SITUATIONS: Record<string, Fault[]> = {
  "while servers are replaced": [0, 1, 2].map((target) => ({
    kind: "server.drain",
    at: LOST_AT - 400 + 200 * target,
    duration: 0,
    target,
  })),
  "in a change of term": [
    { kind: "store.rebalance", at: LOST_AT - 700, duration: 1, target: 0 },
    { kind: "store.rebalance", at: LOST_AT - 300, duration: 1, target: 0 },
    { kind: "store.rebalance", at: LOST_AT - 40, duration: 1, target: 0 },
  ],
  "as all VMs start": [0, 1, 2, 3].map((target) => ({
    kind: "vm.kill",
    at: LOST_AT - 100,
    duration: 600,
    target,
  })),
  "with VMs that shut down": [0, 1, 2].map((target) => ({
    kind: "vm.shutdown",
    at: LOST_AT - 300 + 250 * target,
    duration: 1,
    target,
  })),
  "twice in a lease": [restored({ at: LOST_AT + 700 })],
  "three times in a lease": [
    restored({ at: LOST_AT + 600, age: 1_500 }),
    restored({ at: LOST_AT + 1_200, age: 5_000 }),
  ],
  "with late grants": [
    { kind: "orders.late", at: LOST_AT - 2_500, duration: 3_500, target: 0 },
  ],
  "with lost orders": [
    { kind: "orders.lost", at: LOST_AT - 2_500, duration: 3_500, target: 0 },
  ],
  "with VMs cut off from the store": [0, 1].map((target) => ({
    kind: "vm.cut_from_store",
    at: LOST_AT - 1_500,
    duration: 5_000,
    target,
  })),
  "with VMs cut off from their peers": [0, 1, 2].map((target) => ({
    kind: "vm.cut_from_peers",
    at: LOST_AT - 1_500,
    duration: 6_000,
    target,
  })),
  "with suspended VMs": [0, 1, 2].map((target) => ({
    kind: "vm.suspend",
    at: LOST_AT - 500 + 400 * target,
    duration: 2_500,
    target,
  })),
  "with frozen VMs": [0, 1, 2, 3].map((target) => ({
    kind: "vm.freeze",
    at: LOST_AT + 100 + 50 * target,
    duration: 1_000,
    target,
  })),
  "after a VM was killed": [0, 1, 2, 3].map((target) => ({
    kind: "vm.kill",
    at: LOST_AT - 2_500 + 700 * target,
    duration: 4_000,
    target,
  })),
};

for (const [situation, faults] of Object.entries(SITUATIONS)) {
  // Guards against keys that two servers hold after the store has lost records
  // while something else happens.
  test(`restored store: no two servers hold a key ${situation}`, (t) => {
    const violations: string[] = [];
    for (const duration of [100, 1_500, 4_000]) {
      for (const seed of [1, 2, 3, 4]) {
        const all = [...faults, restored({ duration })];
        const overrides = { seed, otherTiming: {} };
        violations.push(...simulate(all, overrides).violations);
      }
    }
    t.deepEqual(violations.slice(0, 2), []);
  });
}

// Guards against a configuration that goes back, an evacuation that ends and a
// running server that is removed when the store has lost their records.
test("restored store: configurations, evacuations and servers are kept", (t) => {
  const regressions: string[] = [];
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const report = simulate(
      [
        {
          kind: "zone.evacuated",
          at: LOST_AT - 1_200,
          duration: 9_000,
          target: 1,
        },
        restored({ duration: 100 * seed ** 2 }),
        { kind: "vm.kill", at: LOST_AT - 800, duration: 1_000, target: 3 },
      ],
      {
        seed,
        vms: 12,
        zones: 3,
        servers: 6,
        configurationInterval: 700,
        seedVms: 3,
        fitness: Array.from({ length: 12 }, (_, i) => i < 3 ? 4 : 1),
      },
    );
    regressions.push(...report.regressions, ...report.violations);
  }
  t.deepEqual(regressions.slice(0, 4), []);
});

// Guards against VMs whose lists of servers differ for good: one that had left
// out an entry of the copy did not send its removal to others.
test("restored store: all VMs list the servers that run", (t) => {
  const faults: string[] = [];
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const report = simulate([
      { kind: "server.crash", at: LOST_AT - 2_900, duration: 0, target: 0 },
      { kind: "server.crash", at: LOST_AT - 1_000, duration: 0, target: 1 },
      {
        kind: "server.replaced",
        at: LOST_AT - 4_000,
        duration: 100,
        target: 2,
      },
      restored({ duration: 100 * seed, age: 700 * seed }),
      restored({ at: LOST_AT + 150 * seed, duration: 200, age: 2_000 }),
    ], { seed, vms: 8, servers: 6, fitness: [4, 4, 4, 1, 1, 1, 1, 1] });
    faults.push(...report.listingFaults);
  }
  t.deepEqual(faults.slice(0, 4), []);
});

// Guards against a burst of reads with which the VMs would exceed what the
// store allows them.
test("restored store: 195 VMs read all anew within the store's limits", (t) => {
  const readsPerSecond = 2_000;
  const report = simulate([restored()], {
    vms: 195,
    servers: 40,
    fitness: Array.from({ length: 195 }, (_, i) => i < 6 ? 5 : 1),
  });
  let most = 0;
  for (let from = LOST_AT; from < LOST_AT + 6_000; from += 100) {
    const reads = report.readTimes.filter((at) =>
      at >= from && at < from + 1_000
    );
    most = Math.max(most, reads.length);
  }
  t.true(most <= readsPerSecond, `${most} reads in a second`);
});
