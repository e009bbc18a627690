/**
 * A sequence of configurations on 50 VMs, most of which receive store updates
 * from the term holder, with overlapping faults: a holder that is cut off,
 * killed, frozen or shut down, and a store that is down or loses answers
 * without an error. A VM that has had no fault for 3 s must have each version
 * within 2 s.
 */
import test from "ava";
import { createUniformGenerator } from "../../src/core/random.ts";
import {
  type Fault,
  Simulation,
  type SimulationOptions,
} from "./simulation.ts";

const VMS = 50;
/** Number of VMs whose fitness permits them to hold the term. */
const FIT_VMS = 5;
const DURATION = 40_000;
/**
 * Maximum time for which a VM without a fault may lack a version, in
 * milliseconds.
 */
const MAXIMUM_LAG = 2_000;
const KINDS: Fault["kind"][] = [
  "vm.cut_from_store",
  "vm.cut_from_peers",
  "vm.kill",
  "vm.freeze",
  "vm.shutdown",
  "store.down",
  "store.loses_answers",
  "store.rebalance",
];

/** Draws overlapping faults, most of them at VMs that may hold the term. */
function drawFaults(seed: number): Fault[] {
  const draw = createUniformGenerator(seed);
  const faults: Fault[] = [];
  for (let at = 4_000; at < DURATION; at += 500 + 2_500 * draw()) {
    const kind = KINDS[Math.floor(draw() * KINDS.length)];
    const isFitVm = draw() < 0.7;
    const target = Math.floor(draw() * (isFitVm ? FIT_VMS : VMS));
    faults.push({ kind, at, duration: 500 + 4_000 * draw(), target });
  }
  return faults;
}

function simulate(options: Partial<SimulationOptions>) {
  return Simulation.runToEnd({
    vms: VMS,
    servers: 20,
    faults: [],
    duration: DURATION,
    seed: 1,
    fitness: Array.from({ length: VMS }, (_, i) => i < FIT_VMS ? 5 : 1),
    configurationInterval: 250,
    ...options,
  });
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`configurations every 250 ms during faults, seed ${seed}`, (t) => {
    const report = simulate({ faults: drawFaults(seed), seed });
    t.deepEqual(report.violations, []);
    const lag = report.configurationLag;
    t.true(lag <= MAXIMUM_LAG, `missing for ${lag} ms`);
  });
}

/** Draws faults of a larger deployment, among them lost long polls. */
function drawLargeFaults(draw: () => number): Fault[] {
  const outage = { at: 8_000, duration: 13_200 * draw(), target: 0 };
  const faults: Fault[] = [{ kind: "store.down", ...outage }];
  const kinds: Fault["kind"][] = [...KINDS, "vm.loses_polls"];
  for (let at = 4_000; at < 30_000; at += 500 + 2_500 * draw()) {
    const kind = kinds[Math.floor(draw() * kinds.length)];
    const duration = 500 + 4_000 * draw();
    const target = Math.floor(draw() * (draw() < 0.7 ? 8 : 74));
    faults.push({ kind, at, duration, target });
  }
  return faults;
}

// Guards against VMs whose wait for a newer configuration begins anew with each
// message that names an older one.
for (const seed of [16, 20, 70, 127]) {
  test(`74 VMs have each configuration in time although long polls are lost, seed ${seed}`, (t) => {
    const draw = createUniformGenerator(seed);
    const faults = drawLargeFaults(draw);
    const { violations, configurationLag } = simulate({
      vms: 74,
      servers: 40,
      faults,
      duration: 34_000,
      seed,
      seedVms: 3,
      fitness: Array.from({ length: 74 }, (_, i) => i < 8 ? 5 : 1),
      configurationInterval: 1_100 + 1_000 * draw(),
      messageTime: draw() < 0.5 ? 0 : 0.8,
    });
    t.deepEqual(violations, []);
    t.true(configurationLag <= MAXIMUM_LAG, `${configurationLag} ms`);
  });
}

test("a holder that hides how long the store has not answered is detected", (t) => {
  const faults: Fault[] = [0, 1, 2, 3, 4].map((target) => ({
    kind: "vm.cut_from_store",
    at: 6_000 + 6_000 * target,
    duration: 5_000,
    target,
  }));
  const known = simulate({ faults });
  t.true(known.configurationLag <= MAXIMUM_LAG, `${known.configurationLag} ms`);
  const hidden = simulate({ faults, isStoreSilenceHidden: true });
  t.true(
    hidden.configurationLag > MAXIMUM_LAG,
    `${hidden.configurationLag} ms`,
  );
});

// Guards against a holder that keeps an old configuration because its followers,
// which receive the configuration from the holder, name the old version between
// the messages that name the newer one.
test("a VM whose long poll is lost has the configuration in time, whoever names older versions", (t) => {
  for (const target of [0, 1, 2, 3, 4, 30]) {
    const faults: Fault[] = [
      { kind: "vm.loses_polls", at: 6_000, duration: 500, target },
    ];
    const { configurationLag } = simulate({
      faults,
      configurationInterval: 6_200,
      duration: 12_000,
    });
    t.true(configurationLag <= MAXIMUM_LAG, `${target}: ${configurationLag}`);
  }
});

test("without faults most VMs do not read the configuration from the store", (t) => {
  const { storeCalls, configurationLag } = simulate({
    configurationInterval: 5_000,
  });
  const versions = DURATION / 5_000;
  const reads = storeCalls.get("configuration") ?? 0;
  // The VMs that may hold the term read it, and the others until the first
  // holder is elected.
  t.true(reads <= 1.5 * FIT_VMS * versions, `${reads} reads`);
  t.true(configurationLag <= 800, `${configurationLag} ms`);
});
