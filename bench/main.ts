/**
 * Benchmarks: `--control`, `--slopes`, `--overhead`, `--quarantine`; all without an option.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { measureControl } from "./control.ts";
import { measureOverhead } from "./overhead.ts";
import { measureQuarantine } from "./quarantine.ts";
import { measureSlopes } from "./slopes.ts";

const { values } = parseArgs({
  options: {
    control: { type: "boolean" },
    slopes: { type: "boolean" },
    overhead: { type: "boolean" },
    quarantine: { type: "boolean" },
  },
});
const isAll = Object.keys(values).length === 0;
if (isAll || values.slopes) measureSlopes();
if (isAll || values.quarantine) measureQuarantine();
if (isAll || values.control) await measureControl();
if (isAll || values.overhead) await measureOverhead();
