/**
 * `plumloft serve`: an entry process.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { Argv } from "yargs";
import {
  PlatformHeaders,
  PlatformOrders,
  PlatformStore,
} from "../../platform/index.ts";
import { errorText } from "../errors/index.ts";
import { EntryProcess } from "../runtime/entry_process.ts";
import {
  type EntrySettings,
  entrySettingsSchema,
  readYamlFile,
} from "../settings/index.ts";

/** Adds the command to `yargs`. */
export function addServeCommand(yargs: Argv): Argv {
  return yargs.command(
    "serve",
    "run an entry process",
    (argv) =>
      argv.option("settings", {
        type: "string",
        demandOption: true,
        describe: "settings of the process, in YAML",
      }),
    ({ settings }) => serve(settings),
  );
}

async function serve(file: string): Promise<void> {
  const settings = readYamlFile(file, entrySettingsSchema).value;
  const run = randomBytes(4);
  const { address } = settings.store;
  const platform = {
    // Whoever listens at the peer address is the only process there, so a new
    // run may go on as the member that its predecessor was: after a loss of all
    // VMs nobody waits until the store has forgotten the old members.
    store: PlatformStore.create(address, settings.vm, settings.peer),
    headers: PlatformHeaders.create(),
    orders: PlatformOrders.create(),
  };
  const entry = await EntryProcess.start(
    settings,
    platform,
    process.stdout,
    run.readUInt32BE(0),
  );
  // Each time: without a listener a second one would kill the process.
  process.on("SIGTERM", () => entry.shutdown());
  process.once("SIGINT", () => entry.shutdown());
  process.on("SIGHUP", () => reload(entry, file, settings));
  await entry.stopped;
}

/** Looks at the settings again; broken ones change nothing. */
function reload(
  entry: EntryProcess,
  file: string,
  settings: EntrySettings,
): void {
  try {
    const now = readYamlFile(file, entrySettingsSchema).value;
    entry.reloaded(JSON.stringify(now) !== JSON.stringify(settings));
  } catch (error) {
    entry.reloadFailed(errorText(error));
  }
}
