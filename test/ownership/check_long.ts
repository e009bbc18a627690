/**
 * Simulates many random schedules of faults: `--schedules N --seed S`. Prints
 * each schedule that violates exclusive ownership, and totals.
 *
 * @module
 */
import { parseArgs } from "node:util";
import fc from "fast-check";
import { mixedFaultSchedules } from "./schedule.ts";
import { Simulation } from "./simulation.ts";

const { values } = parseArgs({
  options: {
    schedules: { type: "string", default: "10000" },
    seed: { type: "string", default: "100" },
  },
});
const numRuns = Number(values.schedules);
const seed = Number(values.seed);
let broken = 0;
let grants = 0;
let moves = 0;
for (const options of fc.sample(mixedFaultSchedules, { numRuns, seed })) {
  const report = Simulation.runToEnd(options);
  grants += report.grants;
  moves += report.moves;
  if (report.violations.length === 0) continue;
  broken += 1;
  console.log(JSON.stringify({ options, violation: report.violations[0] }));
}
console.log(
  JSON.stringify({ schedules: numRuns, seed, broken, grants, moves }),
);
process.exitCode = broken === 0 ? 0 : 1;
