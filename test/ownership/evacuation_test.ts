/**
 * An availability zone whose servers operators want to get nothing, while callers go
 * on. Most VMs leave the store's news to the term holder and learn of it by its
 * answers; a quarter of all keys have to find another server, under load.
 */
import test from "ava";
import type { LoadOptions } from "./request_load.ts";
import { type Fault, type SimulationReport, World } from "./world.ts";

/** Time that operators grant until nothing more is sent there, in milliseconds. */
const GRANTED = 5_000;
/** Within this time all VMs know of a request, while the store answers. */
const KNOWN_WITHIN = 1_000;
/** Share of the callers that are served while the keys move and later. */
const SERVED_SHARE = 0.97;
const FROM = 12_000;
const LASTS = 10_000;
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

function play(
  vms: number,
  isKeyed: boolean,
  seed: number,
  faults: Fault[] = [],
): SimulationReport {
  return World.play({
    vms,
    servers: 24,
    zones: 4,
    seedVms: 3,
    duration: UNTIL + 5_000,
    seed,
    fitness: Array.from({ length: vms }, (_, i) => i < 4 ? 5 : 1),
    load: { ...LOAD, isKeyed },
    faults: [
      { kind: "zone.evacuated", at: FROM, duration: LASTS, target: 1 },
      ...faults,
    ],
  });
}

function servedShare({ load }: SimulationReport): number {
  const ends = load!.results.filter(({ startedAt }) => startedAt >= FROM);
  const served = ends.filter(({ name }) =>
    name === "inTime" || name === "late"
  );
  return served.length / ends.length;
}

for (const vms of [8, 61]) {
  for (const isKeyed of [true, false]) {
    const kind = isKeyed ? "keyed" : "without keys";
    test(`an evacuated zone: ${vms} VMs, ${kind}: nothing goes there, and callers are served`, (t) => {
      for (const seed of [1, 2, 3]) {
        const report = play(vms, isKeyed, seed);
        t.deepEqual(report.violations, []);
        const late = report.evacuatedZoneSends.filter((age) => age > GRANTED);
        t.is(late.length, 0, `seed ${seed}`);
        t.true(
          report.evacuationLag <= KNOWN_WITHIN,
          `seed ${seed}: known after ${report.evacuationLag} ms`,
        );
        const served = servedShare(report);
        t.true(served >= SERVED_SHARE, `seed ${seed}: ${served} served`);
      }
    });
  }
}

const TROUBLES: [string, Fault[]][] = [
  [
    "the term holder is killed just then",
    [0, 1, 2, 3].map((target) => ({
      kind: "vm.kill",
      at: FROM + 50 + 400 * target,
      duration: 400,
      target,
    })),
  ],
  [
    "VMs start again meanwhile",
    [2, 5, 6, 7].map((target) => ({
      kind: "vm.kill",
      at: FROM + 2_000 + 500 * target,
      duration: 400,
      target,
    })),
  ],
  ["two zones at once", [
    { kind: "zone.evacuated", at: FROM + 300, duration: 6_000, target: 2 },
  ]],
  [
    "servers of the other zones are lost",
    [0, 2, 3].map((target) => ({
      kind: "server.lost",
      at: FROM + 1_000,
      duration: 0,
      target,
    })),
  ],
];

for (const [name, faults] of TROUBLES) {
  test(`an evacuated zone: ${name}`, (t) => {
    for (const seed of [1, 2, 3]) {
      for (const isKeyed of [true, false]) {
        const report = play(8, isKeyed, seed, faults);
        t.deepEqual(report.violations, []);
        const late = report.evacuatedZoneSends.filter((age) => age > GRANTED);
        t.is(late.length, 0, `seed ${seed}, ${isKeyed}`);
      }
    }
  });
}
