/**
 * Runs the benchmarks that the options select, or all of them without an
 * option:
 *
 * - `--control`: processor time and memory of idle entry processes
 * - `--slopes`: growth of the core's costs with the size of the deployment
 * - `--overhead`: throughput, latency and processor time of an entry process
 * - `--quarantine`: time and traffic until all VMs quarantine a request
 *
 * @module
 */
import { parseArgs } from "node:util";
import { measureIdleCost } from "./idle_cost.ts";
import { measureOverhead } from "./overhead.ts";
import { measureQuarantine } from "./quarantine.ts";
import { measureScaling } from "./scaling.ts";

const { values } = parseArgs({
  options: {
    control: { type: "boolean" },
    slopes: { type: "boolean" },
    overhead: { type: "boolean" },
    quarantine: { type: "boolean" },
  },
});
const runsAll = Object.keys(values).length === 0;
if (runsAll || values.slopes) measureScaling();
if (runsAll || values.quarantine) measureQuarantine();
if (runsAll || values.control) await measureIdleCost();
if (runsAll || values.overhead) await measureOverhead();
