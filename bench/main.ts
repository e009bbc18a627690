/**
 * The benchmark's command line; prints one JSON line for each figure.
 *
 * @module
 */
import yargs from "yargs";
import { measureIdleControl } from "./control.ts";
import { measureOverhead } from "./overhead.ts";
import { measureSlopes } from "./slopes.ts";

/** Rounds and seconds of the quick run. */
const QUICK = { rounds: 3, seconds: 3 };
/** Rounds and seconds of the whole run. */
const WHOLE = { rounds: 5, seconds: 5 };

async function main(args: readonly string[]): Promise<void> {
  const options = await yargs([...args])
    .option("quick", {
      type: "boolean",
      default: false,
      describe: "a short run of the overhead beside a bare proxy",
    })
    .option("slopes", {
      type: "boolean",
      default: false,
      describe: "what control costs as the system grows",
    })
    .option("control", {
      type: "boolean",
      default: false,
      describe: "what control costs running processes without callers",
    })
    .strict()
    .parseAsync();
  if (options.control) {
    await measureIdleControl();
    return;
  }
  if (options.slopes) {
    measureSlopes();
    return;
  }
  const { rounds, seconds } = options.quick ? QUICK : WHOLE;
  await measureOverhead(rounds, seconds);
}

void main(process.argv.slice(2));
