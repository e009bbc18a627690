/**
 * `plumloft history`: checks recorded histories.
 *
 * @module
 */
import type { Argv } from "yargs";
import { checkHistory, longestGap, readHistory } from "../load/index.ts";
import { EXIT } from "./exit_code.ts";

/** Breaches of one kind that are printed. */
const SHOWN = 5;

/** Adds the command to `yargs`. */
export function addHistoryCommand(yargs: Argv): Argv {
  return yargs.command(
    "check-history <file>",
    "check a recorded history for breaches of what must hold",
    (argv) =>
      argv.positional("file", {
        type: "string",
        demandOption: true,
        describe: "JSON lines of calls and runs",
      }),
    ({ file }) => check(file),
  );
}

function check(file: string): void {
  const history = readHistory(file);
  const { calls, runs } = history;
  process.stdout.write(`${calls.length} calls, ${runs.length} runs\n`);
  for (const { name, breaches } of checkHistory(history)) {
    process.stdout.write(`${name}: ${breaches.length} breaches\n`);
    for (const breach of breaches.slice(0, SHOWN)) {
      process.stdout.write(`  ${breach}\n`);
    }
    if (breaches.length > 0) process.exitCode = EXIT.failed;
  }
  const { key, gap } = longestGap(history);
  process.stdout.write(`longest gap: ${gap} ms (${key})\n`);
}
