/**
 * `plumloft serve`: an entry process.
 *
 * @module
 */
import type { Argv } from "yargs";
import { EntryProcess } from "../adapters/index.ts";
import { readYamlFile, vmSettingsSchema } from "../settings/index.ts";

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
    async ({ settings }) => {
      const { value } = readYamlFile(settings, vmSettingsSchema);
      const entry = await EntryProcess.start(value, process.stdout);
      process.once("SIGTERM", () => entry.shutdown());
      process.once("SIGINT", () => entry.shutdown());
      await entry.stopped;
    },
  );
}
