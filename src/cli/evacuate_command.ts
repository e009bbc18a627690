/**
 * `plumloft evacuate`: evacuates an availability zone, so that no VM sends
 * requests to its backend servers, or restores it.
 *
 * @module
 */
import type { Argv } from "yargs";
import { withControlStore } from "./config_command.ts";

interface EvacuateOptions {
  zone: string;
  store: string;
  undo: boolean;
}

/** Registers the command with `argv`. */
export function addEvacuateCommand(argv: Argv): Argv {
  return argv.command(
    "evacuate <zone>",
    "stop sending requests to the backend servers of an availability zone",
    (command) =>
      command
        .positional("zone", {
          type: "string",
          demandOption: true,
          describe: "availability zone, as in the servers' registry entries",
        })
        .option("store", {
          type: "string",
          demandOption: true,
          describe: "address of the store, such as 127.0.0.1:19001",
        })
        .option("undo", {
          type: "boolean",
          default: false,
          describe: "restore the availability zone",
        }),
    (options) => evacuate(options),
  );
}

async function evacuate({ zone, store, undo }: EvacuateOptions): Promise<void> {
  await withControlStore(store, (control) => control.evacuate(zone, !undo));
  const text = undo ? `restored: ${zone}` : `evacuated: ${zone}`;
  process.stdout.write(`${text}\n`);
}
