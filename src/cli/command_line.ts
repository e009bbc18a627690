/**
 * The command line of the one binary. What only operators need is loaded when
 * it is asked for, since every entry process pays for what is loaded.
 *
 * @module
 */
import yargs, { type Argv } from "yargs";
import { errorText } from "../errors/index.ts";
import { InvalidInput } from "../settings/invalid_input.ts";
import { VERSION } from "../version.ts";
import { EXIT } from "./exit_code.ts";

/** Adds one command to the parser. */
type Adder = (argv: Argv) => Argv;

/** Loads a command by its first word. */
const COMMANDS: Record<string, () => Promise<Adder>> = {
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
  try {
    await addCommands(parser, args[0]);
    await parser.parseAsync([...args]);
  } catch (error) {
    process.stderr.write(`plumloft: ${errorText(error)}\n`);
    process.exitCode = isInvalid(error) ? EXIT.invalid : EXIT.failed;
  }
}

/** Adds the named command, or all of them for help and for faulty names. */
async function addCommands(parser: Argv, name: string): Promise<void> {
  const named = COMMANDS[name];
  const loaders = named === undefined ? Object.values(COMMANDS) : [named];
  for (const load of loaders) (await load())(parser);
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
