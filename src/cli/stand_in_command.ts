/**
 * `plumloft stand-in`: small stand-ins of the platform and of backend servers.
 *
 * @module
 */
import type { Argv } from "yargs";
import type { z } from "zod";
import { readYamlFile } from "../settings/index.ts";
import {
  BackendService,
  backendServiceSchema,
  LogService,
  logServiceSchema,
  VmListService,
  vmListServiceSchema,
} from "../stand_ins/index.ts";

/** What a stand-in is to this command. */
interface StandIn {
  readonly address: string;
  close(): void;
}

/** Adds the commands to `yargs`. */
export function addStandInCommand(yargs: Argv): Argv {
  return yargs.command(
    "stand-in",
    "run a stand-in of the platform or of a backend server",
    (argv) => {
      addOne(argv, "log", logServiceSchema, LogService.start);
      addOne(argv, "vms", vmListServiceSchema, VmListService.start);
      addOne(argv, "backend", backendServiceSchema, BackendService.start);
      return argv.demandCommand(1, "name one of: log, vms, backend").strict();
    },
  );
}

function addOne<T>(
  yargs: Argv,
  name: string,
  schema: z.ZodType<T>,
  start: (settings: T) => Promise<StandIn>,
): void {
  yargs.command(
    name,
    `stand-in: ${name}`,
    (argv) =>
      argv.option("settings", {
        type: "string",
        demandOption: true,
        describe: "settings, in YAML",
      }),
    async ({ settings }) => {
      const standIn = await start(readYamlFile(settings, schema).value);
      process.stdout.write(`${name} listens at ${standIn.address}\n`);
      await new Promise<void>((resolve) => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
      });
      standIn.close();
    },
  );
}
