/**
 * `plumloft evacuate`: asks all VMs to send nothing more to the backend servers of an
 * availability zone, or takes that back.
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

/** Adds the command to the parser. */
export function addEvacuateCommand(argv: Argv): Argv {
  return argv.command(
    "evacuate <zone>",
    "send nothing more to the backend servers of an availability zone",
    (command) =>
      command
        .positional("zone", {
          type: "string",
          demandOption: true,
          describe: "availability zone as the servers' entries name it",
        })
        .option("store", {
          type: "string",
          demandOption: true,
          describe: "address of the store, such as 127.0.0.1:19001",
        })
        .option("undo", {
          type: "boolean",
          default: false,
          describe: "take the request back",
        }),
    (options) => evacuate(options),
  );
}

async function evacuate({ zone, store, undo }: EvacuateOptions): Promise<void> {
  await withControlStore(store, (control) => control.evacuate(zone, !undo));
  const text = undo ? `taken back: ${zone}` : `evacuated: ${zone}`;
  process.stdout.write(`${text}\n`);
}
