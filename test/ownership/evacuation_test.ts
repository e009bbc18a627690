/**
 * Operators evacuate an availability zone under load: its servers must receive
 * no more requests. Most VMs learn of the evacuation from the term holder's
 * answers, and a quarter of all keys have to move to other servers.
 */
import test from "ava";
import type { LoadOptions } from "./request_load.ts";
import { type Fault, Simulation, type SimulationReport } from "./simulation.ts";

/**
 * Time after the operators' request from which no request may be sent to the
 * zone, in milliseconds.
 */
const EVACUATION_TIME = 5_000;
/**
 * Maximum time until all VMs know of an evacuation while the store is
 * available, in milliseconds.
 */
const PROPAGATION_TIME = 1_000;
/**
 * Minimum share of the requests that are served while the keys move and later.
 */
const SERVED_SHARE = 0.97;
const EVACUATED_AT = 12_000;
const EVACUATION_DURATION = 10_000;
const UNTIL = 28_000;
const LOAD: LoadOptions = {
  from: 8_000,
  until: UNTIL,
  rate: 120,
  work: 200,
  speeds: [0.7, 1, 1.3],
  slots: 3,
  queue: 12,
  target: 1_200,
  timeout: 3_000,
  keyOf: (draw) => Math.floor(draw() ** 1.5 * 65_536),
};

function simulate(
  vms: number,
  isKeyed: boolean,
  seed: number,
  faults: Fault[] = [],
): SimulationReport {
  return Simulation.runToEnd({
    vms,
    servers: 24,
    zones: 4,
    seedVms: 3,
    duration: UNTIL + 5_000,
    seed,
    fitness: Array.from({ length: vms }, (_, i) => i < 4 ? 5 : 1),
    load: { ...LOAD, isKeyed },
    faults: [
      {
        kind: "zone.evacuated",
        at: EVACUATED_AT,
        duration: EVACUATION_DURATION,
        target: 1,
      },
      ...faults,
    ],
  });
}

/**
 * Returns the share of the requests sent during the evacuation and later that
 * were served.
 */
function servedShare({ load }: SimulationReport): number {
  const results = load!.results.filter(({ startedAt }) =>
    startedAt >= EVACUATED_AT
  );
  const served = results.filter(({ name }) =>
    name === "inTime" || name === "late"
  );
  return served.length / results.length;
}

for (const vms of [8, 61]) {
  for (const isKeyed of [true, false]) {
    const kind = isKeyed ? "keyed" : "without keys";
    test(`an evacuated zone: ${vms} VMs, ${kind}: it receives no requests, and callers are served`, (t) => {
      for (const seed of [1, 2, 3]) {
        const report = simulate(vms, isKeyed, seed);
        t.deepEqual(report.violations, []);
        const late = report.evacuatedZoneSends.filter((age) =>
          age > EVACUATION_TIME
        );
        t.is(late.length, 0, `seed ${seed}`);
        t.true(
          report.evacuationLag <= PROPAGATION_TIME,
          `seed ${seed}: all VMs know after ${report.evacuationLag} ms`,
        );
        const served = servedShare(report);
        t.true(served >= SERVED_SHARE, `seed ${seed}: ${served} served`);
      }
    });
  }
}

const FAULT_CASES: [string, Fault[]][] = [
  [
    "the term holder is killed at the same time",
    [0, 1, 2, 3].map((target) => ({
      kind: "vm.kill",
      at: EVACUATED_AT + 50 + 400 * target,
      duration: 400,
      target,
    })),
  ],
  [
    "VMs restart during the evacuation",
    [2, 5, 6, 7].map((target) => ({
      kind: "vm.kill",
      at: EVACUATED_AT + 2_000 + 500 * target,
      duration: 400,
      target,
    })),
  ],
  ["two zones at once", [
    {
      kind: "zone.evacuated",
      at: EVACUATED_AT + 300,
      duration: 6_000,
      target: 2,
    },
  ]],
  [
    "servers of the other zones crash",
    [0, 2, 3].map((target) => ({
      kind: "server.lost",
      at: EVACUATED_AT + 1_000,
      duration: 0,
      target,
    })),
  ],
];

for (const [name, faults] of FAULT_CASES) {
  test(`an evacuated zone: ${name}`, (t) => {
    for (const seed of [1, 2, 3]) {
      for (const isKeyed of [true, false]) {
        const report = simulate(8, isKeyed, seed, faults);
        t.deepEqual(report.violations, []);
        const late = report.evacuatedZoneSends.filter((age) =>
          age > EVACUATION_TIME
        );
        t.is(late.length, 0, `seed ${seed}, ${isKeyed}`);
      }
    }
  });
}
