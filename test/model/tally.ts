/**
 * Counts of breaches over many schedules.
 *
 * @module
 */
import fc from "fast-check";
import { PROPERTIES } from "./properties.ts";
import { type Schedule, schedules } from "./schedule.ts";
import { World } from "./world.ts";

/** Breaches that are kept of each property. */
const SHOWN = 3;

/** A schedule that breaks a property. */
export interface Counterexample {
  schedule: Schedule;
  breach: string;
}

/** What became of one property. */
export interface Tally {
  name: string;
  schedules: number;
  breaches: number;
  shown: Counterexample[];
}

/** Checks all properties on `runs` schedules drawn by `seed`. */
export function checkSchedules(runs: number, seed: number): Tally[] {
  const tallies = PROPERTIES.map(({ name }): Tally => ({
    name,
    schedules: runs,
    breaches: 0,
    shown: [],
  }));
  for (const schedule of fc.sample(schedules, { numRuns: runs, seed })) {
    const { evidence } = World.run(schedule);
    for (const [index, property] of PROPERTIES.entries()) {
      const [breach] = property.findBreaches(evidence);
      if (breach === undefined) continue;
      const tally = tallies[index];
      tally.breaches += 1;
      if (tally.shown.length < SHOWN) tally.shown.push({ schedule, breach });
    }
  }
  return tallies;
}

/** The sum of the tallies of several runs. */
export function addTallies(all: readonly Tally[][]): Tally[] {
  return PROPERTIES.map(({ name }, index) => {
    const own = all.map((tallies) => tallies[index]);
    return {
      name,
      schedules: own.reduce((sum, each) => sum + each.schedules, 0),
      breaches: own.reduce((sum, each) => sum + each.breaches, 0),
      shown: own.flatMap((each) => each.shown).slice(0, SHOWN),
    };
  });
}
