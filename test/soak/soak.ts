/**
 * Runs the soak test, a load with injected faults:
 * `npm run soak -- --seed N --seeds COUNT --minutes M`. Runs one seed after the
 * other until COUNT seeds have run or M minutes have passed. Prints one line
 * per seed, with the broken guarantees and the folder of the logs.
 * `--weaken` with `second_try`, `no_wait` or `ignored_statements` runs a
 * mutation of the program, which the checks must detect. `--extended` adds
 * requests that crash their servers, and suspensions of VMs; `--statements` adds
 * servers that state that they are leaving, or refuse requests with
 * `Retry-After`; `--cuts` adds entries that are cut from all servers, and
 * `--restores` a store that returns from older copies.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { type MutationName, MUTATIONS } from "../support/bundled_program.ts";
import {
  createCutPlan,
  createExtendedPlan,
  createPlan,
  createRestorePlan,
  createStatementPlan,
} from "./soak_plan.ts";
import { SoakRun } from "./soak_run.ts";

/** Duration of the load of one seed, in milliseconds. */
const LOAD_DURATION = 15_000;
const MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1000" },
    minutes: { type: "string", default: "5" },
    weaken: { type: "string" },
    extended: { type: "boolean", default: false },
    statements: { type: "boolean", default: false },
    cuts: { type: "boolean", default: false },
    restores: { type: "boolean", default: false },
  },
});

function parseMutation(name: string | undefined): MutationName | null {
  if (name === undefined) return null;
  if (name in MUTATIONS) return name as MutationName;
  const names = Object.keys(MUTATIONS).join(", ");
  throw new RangeError(`--weaken: expected one of ${names}, found: ${name}`);
}

function selectPlan(): typeof createPlan {
  if (values.restores) return createRestorePlan;
  if (values.cuts) return createCutPlan;
  if (values.statements) return createStatementPlan;
  return values.extended ? createExtendedPlan : createPlan;
}

async function soak(): Promise<void> {
  const mutation = parseMutation(values.weaken);
  const createSeedPlan = selectPlan();
  const first = Number(values.seed);
  const end = Date.now() + Number(values.minutes) * MINUTE;
  let broken = 0;
  let seed = first;
  while (seed < first + Number(values.seeds) && Date.now() < end) {
    const report = await SoakRun.execute(
      createSeedPlan(seed, LOAD_DURATION),
      mutation,
    );
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
