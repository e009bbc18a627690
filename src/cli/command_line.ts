/**
 * The command line of the plumloft binary. Each command's module is imported
 * only when the command is run, so that an entry process doesn't spend start-up
 * time and memory on operator commands.
 *
 * @module
 */
import yargs, { type Argv } from "yargs";
import { errorText } from "../errors/index.ts";
import { InvalidInput } from "../settings/invalid_input.ts";
import { VERSION } from "../version.ts";
import { EXIT_CODE } from "./exit_code.ts";

/** Registers one command with the parser. */
type CommandRegistrar = (argv: Argv) => Argv;

/** Imports the module of each command, by the command's name. */
const COMMAND_LOADERS: Record<string, () => Promise<CommandRegistrar>> = {
  serve: async () => (await import("./serve_command.ts")).addServeCommand,
  config: async () => (await import("./config_command.ts")).addConfigCommand,
  evacuate: async () =>
    (await import("./evacuate_command.ts")).addEvacuateCommand,
  status: async () => (await import("./status_command.ts")).addStatusCommand,
  "stand-in": async () =>
    (await import("./stand_in_command.ts")).addStandInCommand,
  load: async () => (await import("./load_command.ts")).addLoadCommand,
  "check-history": async () =>
    (await import("./history_command.ts")).addHistoryCommand,
  explain: async () => (await import("./explain_command.ts")).addExplainCommand,
  demo: async () => (await import("./demo_command.ts")).addDemoCommand,
};

/** Runs the command in `args` and sets the exit code of the process. */
export async function runCommandLine(args: readonly string[]): Promise<void> {
  const parser = yargs()
    .scriptName("plumloft")
    .usage("$0 <command>")
    .version(VERSION)
    .help()
    .demandCommand(1, "missing command; see --help")
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? usageError(message);
    });
  try {
    await registerCommands(parser, args[0]);
    await parser.parseAsync([...args]);
  } catch (error) {
    process.stderr.write(`plumloft: ${errorText(error)}\n`);
    process.exitCode = isInvalid(error) ? EXIT_CODE.invalid : EXIT_CODE.failed;
  }
}

/** Registers the command `name`, or all commands for help and unknown names. */
async function registerCommands(parser: Argv, name: string): Promise<void> {
  const named = COMMAND_LOADERS[name];
  const selected = named === undefined
    ? Object.values(COMMAND_LOADERS)
    : [named];
  for (const load of selected) (await load())(parser);
}

function usageError(message: string): InvalidInput {
  return InvalidInput.create([{
    file: "command line",
    line: 0,
    path: "",
    message,
  }]);
}

/**
 * Whether an error is caused by the operator's input, including an address in
 * use.
 */
function isInvalid(error: unknown): boolean {
  if (error instanceof InvalidInput) return true;
  return (error as NodeJS.ErrnoException).code === "EADDRINUSE";
}
