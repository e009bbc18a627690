/**
 * The command line of the one binary.
 *
 * @module
 */
import yargs from "yargs";
import { errorText } from "../adapters/index.ts";
import { InvalidInput } from "../settings/index.ts";
import { VERSION } from "../version.ts";
import { addConfigCommand } from "./config_command.ts";
import { addEntryCommand } from "./entry_command.ts";
import { addDemoCommand } from "./demo_command.ts";
import { EXIT } from "./exit_code.ts";
import { addHistoryCommand } from "./history_command.ts";
import { addLoadCommand } from "./load_command.ts";
import { addServeCommand } from "./serve_command.ts";
import { addStandInCommand } from "./stand_in_command.ts";
import { addStatusCommand } from "./status_command.ts";

/** Runs the command that `args` name; sets the exit code of the process. */
export async function runCommandLine(args: readonly string[]): Promise<void> {
  const parser = yargs()
    .scriptName("plumloft")
    .usage("$0 <command>")
    .version(VERSION)
    .help()
    .demandCommand(1, "name a command; see --help")
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? usageError(message);
    });
  addServeCommand(parser);
  addEntryCommand(parser);
  addConfigCommand(parser);
  addStatusCommand(parser);
  addStandInCommand(parser);
  addLoadCommand(parser);
  addHistoryCommand(parser);
  addDemoCommand(parser);
  try {
    await parser.parseAsync([...args]);
  } catch (error) {
    process.stderr.write(`plumloft: ${errorText(error)}\n`);
    process.exitCode = isInvalid(error) ? EXIT.invalid : EXIT.failed;
  }
}

function usageError(message: string): InvalidInput {
  return InvalidInput.create([{
    file: "command line",
    line: 0,
    path: "",
    message,
  }]);
}

/** Whether it is the operator's input that has to be mended. */
function isInvalid(error: unknown): boolean {
  if (error instanceof InvalidInput) return true;
  return (error as NodeJS.ErrnoException).code === "EADDRINUSE";
}
