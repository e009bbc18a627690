/**
 * The fault soak: `npm run soak -- --seed N --seeds COUNT --minutes M`. Plays
 * seeds one after the other until either is used up; prints one line for each,
 * with what it broke and where its logs are. `--weaken second_try` or `no_wait`
 * plays a weak copy of the program, which must be found out. `--extended` adds
 * requests that end their servers, and machines that are suspended.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { type Weakness, WEAKNESSES } from "../support/bundled_program.ts";
import { extendedPlanOf, planOf } from "./soak_plan.ts";
import { SoakRun } from "./soak_run.ts";

/** Time under load of one seed, in milliseconds. */
const LENGTH = 15_000;
const MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1000" },
    minutes: { type: "string", default: "5" },
    weaken: { type: "string" },
    extended: { type: "boolean", default: false },
  },
});

function weaknessNamed(name: string | undefined): Weakness | null {
  if (name === undefined) return null;
  if (name in WEAKNESSES) return name as Weakness;
  const names = Object.keys(WEAKNESSES).join(", ");
  throw new RangeError(`--weaken: expected one of ${names}, found: ${name}`);
}

async function soak(): Promise<void> {
  const weakness = weaknessNamed(values.weaken);
  const plan = values.extended ? extendedPlanOf : planOf;
  const first = Number(values.seed);
  const end = Date.now() + Number(values.minutes) * MINUTE;
  let broken = 0;
  let seed = first;
  while (seed < first + Number(values.seeds) && Date.now() < end) {
    const report = await SoakRun.play(plan(seed, LENGTH), weakness);
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
