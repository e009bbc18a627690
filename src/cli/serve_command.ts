/**
 * `plumloft serve`: an entry process.
 *
 * @module
 */
import type { Argv } from "yargs";
import { EntryProcess } from "../adapters/index.ts";
import {
  InvalidInput,
  readYamlFile,
  type VmSettings,
  vmSettingsSchema,
  type YamlFile,
} from "../settings/index.ts";

/** Settings that name an address to listen at. */
const LISTENERS = ["listen", "admin", "peer"] as const;

/** Adds the command to `yargs`. */
export function addServeCommand(yargs: Argv): Argv {
  return yargs.command(
    "serve",
    "run an entry process",
    (argv) =>
      argv.option("settings", {
        type: "string",
        demandOption: true,
        describe: "settings of the VM, in YAML",
      }),
    ({ settings }) => serve(settings),
  );
}

async function serve(settings: string): Promise<void> {
  const file = readYamlFile(settings, vmSettingsSchema);
  const entry = await start(file);
  process.once("SIGTERM", () => entry.shutdown());
  process.once("SIGINT", () => entry.shutdown());
  await entry.stopped;
  if (entry.failure === null) return;
  throw InvalidInput.create([{
    file: settings,
    line: file.lineOf(["vm"]),
    path: "vm",
    message: entry.failure,
  }]);
}

async function start(file: YamlFile<VmSettings>): Promise<EntryProcess> {
  try {
    return await EntryProcess.start(file.value, process.stdout);
  } catch (error) {
    throw addressError(file, error as NodeJS.ErrnoException) ?? error;
  }
}

/** What to mend when an address cannot be listened at. */
function addressError(
  { file, value, lineOf }: YamlFile<VmSettings>,
  error: NodeJS.ErrnoException & { address?: string; port?: number },
): InvalidInput | null {
  const isKnown = error.code === "EADDRINUSE" || error.code === "EADDRNOTAVAIL";
  if (!isKnown) return null;
  const address = `${error.address}:${error.port}`;
  const path = LISTENERS.find((name) => value[name] === address) ?? "listen";
  return InvalidInput.create([{
    file,
    line: lineOf([path]),
    path,
    message:
      `expected an address of this VM that is free, found ${address} (${error.code})`,
  }]);
}
