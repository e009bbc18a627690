/**
 * Benchmarks: `--control`, `--slopes`, `--overhead`; all without an option.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { measureControl } from "./control.ts";
import { measureOverhead } from "./overhead.ts";
import { measureSlopes } from "./slopes.ts";

const { values } = parseArgs({
  options: {
    control: { type: "boolean" },
    slopes: { type: "boolean" },
    overhead: { type: "boolean" },
  },
});
const isAll = Object.keys(values).length === 0;
if (isAll || values.slopes) measureSlopes();
if (isAll || values.control) await measureControl();
if (isAll || values.overhead) await measureOverhead();
