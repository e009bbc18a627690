/**
 * Checks the properties on many schedules and prints a line for each.
 *
 * Environment: `PLUMLOFT_SCHEDULES` and `PLUMLOFT_SEED`.
 *
 * @module
 */
import fc from "fast-check";
import { PROPERTIES } from "./properties.ts";
import { type Schedule, schedules } from "./schedule.ts";
import { World } from "./world.ts";

const RUNS = Number(process.env.PLUMLOFT_SCHEDULES ?? 10_000);
const SEED = Number(process.env.PLUMLOFT_SEED ?? 1);
/** Breaches of one property that are printed. */
const SHOWN = 5;

/** Breaches of one property over all schedules. */
interface Tally {
  breaches: number;
  shown: { schedule: Schedule; breach: string }[];
}

function main(): void {
  const tallies = PROPERTIES.map((): Tally => ({ breaches: 0, shown: [] }));
  for (const schedule of fc.sample(schedules, { numRuns: RUNS, seed: SEED })) {
    const { evidence } = World.run(schedule);
    for (const [index, property] of PROPERTIES.entries()) {
      const [breach] = property.findBreaches(evidence);
      if (breach === undefined) continue;
      tallies[index].breaches += 1;
      if (tallies[index].shown.length >= SHOWN) continue;
      tallies[index].shown.push({ schedule, breach });
    }
  }
  for (const [index, { name }] of PROPERTIES.entries()) {
    const { breaches, shown } = tallies[index];
    process.stdout.write(
      `${name}: ${RUNS} schedules (seed ${SEED}), ${breaches} violations\n`,
    );
    for (const { schedule, breach } of shown) {
      process.stdout.write(`  ${breach}\n    ${JSON.stringify(schedule)}\n`);
    }
  }
  const isSound = tallies.every(({ breaches }) => breaches === 0);
  process.exitCode = isSound ? 0 : 1;
}

main();
