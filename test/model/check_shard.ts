/**
 * One part of a long check; prints its tallies as JSON.
 *
 * Arguments: number of schedules, seed.
 *
 * @module
 */
import { checkSchedules } from "./tally.ts";

const [runs, seed] = process.argv.slice(2).map(Number);
process.stdout.write(JSON.stringify(checkSchedules(runs, seed)));
