/**
 * `plumloft check-history`: checks that a recorded history of requests breaches
 * no invariant of the system.
 *
 * @module
 */
import type { Argv } from "yargs";
import { checkHistory, longestGap, readHistory } from "../load/index.ts";
import { EXIT_CODE } from "./exit_code.ts";

/** Maximum number of breaches that are printed for each invariant. */
const MAXIMUM_PRINTED_BREACHES = 5;

/** Registers the command with `yargs`. */
export function addHistoryCommand(yargs: Argv): Argv {
  return yargs.command(
    "check-history <file>",
    "check a recorded history for breaches of the system's invariants",
    (argv) =>
      argv.positional("file", {
        type: "string",
        demandOption: true,
        describe:
          "JSON lines of calls (requests of callers) and runs (executions at servers)",
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
    for (const breach of breaches.slice(0, MAXIMUM_PRINTED_BREACHES)) {
      process.stdout.write(`  ${breach}\n`);
    }
    if (breaches.length > 0) process.exitCode = EXIT_CODE.failed;
  }
  const { key, gap } = longestGap(history);
  process.stdout.write(`longest gap: ${gap} ms (${key})\n`);
}
