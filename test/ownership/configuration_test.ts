/**
 * Configurations that come one after another on 50 VMs, most of which leave the
 * store's news to the term holder, beside faults that overlap: a holder that is cut
 * off, killed, frozen or shut down, a store that is out or loses answers without a
 * sign. A VM that nothing has disturbed for three seconds must have each version
 * within 2 s.
 */
import test from "ava";
import { uniformFloat64 } from "../../src/core/random.ts";
import { type Fault, type SimulationOptions, World } from "./world.ts";

const VMS = 50;
/** VMs that may hold the term. */
const FIT = 5;
const DURATION = 40_000;
/** Longest time for which a VM in touch may lack a version, in milliseconds. */
const LONGEST_LAG = 2_000;
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

/** Faults that overlap, most of them at VMs that may hold the term. */
function faultsOf(seed: number): Fault[] {
  const draw = uniformFloat64(seed);
  const faults: Fault[] = [];
  for (let at = 4_000; at < DURATION; at += 500 + 2_500 * draw()) {
    const kind = KINDS[Math.floor(draw() * KINDS.length)];
    const isAtFit = draw() < 0.7;
    const target = Math.floor(draw() * (isAtFit ? FIT : VMS));
    faults.push({ kind, at, duration: 500 + 4_000 * draw(), target });
  }
  return faults;
}

function play(options: Partial<SimulationOptions>) {
  return World.play({
    vms: VMS,
    servers: 20,
    faults: [],
    duration: DURATION,
    seed: 1,
    fitness: Array.from({ length: VMS }, (_, i) => i < FIT ? 5 : 1),
    configurationInterval: 250,
    ...options,
  });
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`configurations each 250 ms beside faults, seed ${seed}`, (t) => {
    const report = play({ faults: faultsOf(seed), seed });
    t.deepEqual(report.violations, []);
    const lag = report.configurationLag;
    t.true(lag <= LONGEST_LAG, `lacked for ${lag} ms`);
  });
}

test("a holder that hides how long the store is silent is found out", (t) => {
  const faults: Fault[] = [0, 1, 2, 3, 4].map((target) => ({
    kind: "vm.cut_from_store",
    at: 6_000 + 6_000 * target,
    duration: 5_000,
    target,
  }));
  const told = play({ faults });
  t.true(told.configurationLag <= LONGEST_LAG, `${told.configurationLag} ms`);
  const hidden = play({ faults, isStoreSilenceHidden: true });
  t.true(
    hidden.configurationLag > LONGEST_LAG,
    `${hidden.configurationLag} ms`,
  );
});

test("calm: most VMs read no version themselves", (t) => {
  const { storeCalls, configurationLag } = play({
    configurationInterval: 5_000,
  });
  const versions = DURATION / 5_000;
  const reads = storeCalls.get("configuration") ?? 0;
  // Those of the VMs that may hold the term, and some while it is first decided.
  t.true(reads <= 1.5 * FIT * versions, `${reads} reads`);
  t.true(configurationLag <= 800, `${configurationLag} ms`);
});
