/**
 * The fault soak: `npm run soak -- --seed N --seeds COUNT --minutes M`. Plays
 * seeds one after the other until either is used up; prints one line for each,
 * with what it broke, and keeps the logs of those.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { planOf } from "./soak_plan.ts";
import { SoakRun } from "./soak_run.ts";

/** Time under load of one seed, in milliseconds. */
const LENGTH = 15_000;
const MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1000" },
    minutes: { type: "string", default: "5" },
  },
});

async function soak(): Promise<void> {
  const first = Number(values.seed);
  const end = Date.now() + Number(values.minutes) * MINUTE;
  let broken = 0;
  let seed = first;
  while (seed < first + Number(values.seeds) && Date.now() < end) {
    const report = await SoakRun.play(planOf(seed, LENGTH));
    if (report.breaches.length > 0) broken += 1;
    console.log(JSON.stringify(report));
    seed += 1;
  }
  console.log(JSON.stringify({ first, played: seed - first, broken }));
  process.exit(broken === 0 ? 0 : 1);
}

for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(1));
}
void soak();
