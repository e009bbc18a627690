/**
 * `plumloft serve`: runs an entry process.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { Argv } from "yargs";
import {
  PlatformHeaderCodec,
  PlatformOrderSender,
  PlatformStore,
} from "../../platform/index.ts";
import { errorText } from "../errors/index.ts";
import { EntryProcess } from "../runtime/entry_process.ts";
import { RelayConnector } from "../runtime/relay_connector.ts";
import { responseLimitsOf } from "../runtime/response_limits.ts";
import {
  type EntrySettings,
  entrySettingsSchema,
  readYamlFile,
} from "../settings/index.ts";

/** Registers the command with `yargs`. */
export function addServeCommand(yargs: Argv): Argv {
  return yargs.command(
    "serve",
    "run an entry process",
    (argv) =>
      argv.option("settings", {
        type: "string",
        demandOption: true,
        describe: "YAML file with the settings of the process",
      }),
    ({ settings }) => serve(settings),
  );
}

async function serve(file: string): Promise<void> {
  const settings = readYamlFile(file, entrySettingsSchema).value;
  const seed = randomBytes(4);
  const { address } = settings.store;
  const platform = {
    // The peer address is the member name in the store's groups: only one
    // process can listen at it, and a restarted process reuses the name. With
    // new names, after all VMs have been lost, the new members would wait until
    // the store expires the old ones.
    store: PlatformStore.create(address, settings.vm, settings.peer),
    headers: PlatformHeaderCodec.create(),
    orders: PlatformOrderSender.create(
      RelayConnector.create({ vm: settings.vm, peerAddress: settings.peer }),
      responseLimitsOf(settings.responses),
    ),
  };
  const starting = EntryProcess.start(
    settings,
    platform,
    process.stdout,
    seed.readUInt32BE(0),
  );
  // The handlers are registered before the start completes: without a handler,
  // a signal would kill a process that already accepts connections. A failed
  // start is reported by the `await` below.
  const whenStarted = (action: (entry: EntryProcess) => void) => () =>
    void starting.then(action, () => {});
  // `on` rather than `once`: a second SIGTERM would kill the process.
  process.on("SIGTERM", whenStarted((entry) => entry.shutdown()));
  process.once("SIGINT", whenStarted((entry) => entry.shutdown()));
  process.on(
    "SIGHUP",
    whenStarted((entry) => rereadSettings(entry, file, settings)),
  );
  const entry = await starting;
  await entry.stopped;
}

/**
 * Reads the settings file again and logs whether the settings have changed or
 * are invalid. The process keeps the settings that it started with.
 */
function rereadSettings(
  entry: EntryProcess,
  file: string,
  settings: EntrySettings,
): void {
  try {
    const current = readYamlFile(file, entrySettingsSchema).value;
    entry.logSettingsRead(JSON.stringify(current) !== JSON.stringify(settings));
  } catch (error) {
    entry.logReloadFailure(errorText(error));
  }
}
