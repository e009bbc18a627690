/**
 * `plumloft stand-in`: runs a minimal implementation of the platform's store or
 * of a backend server, for tests and demos.
 *
 * @module
 */
import type { Argv } from "yargs";
import type { z } from "zod";
import { readYamlFile } from "../settings/index.ts";
import {
  BackendService,
  backendServiceSchema,
  type StandIn,
  StoreService,
  storeServiceSchema,
} from "../stand_ins/index.ts";

/** Registers the command and its subcommands with `yargs`. */
export function addStandInCommand(yargs: Argv): Argv {
  return yargs.command(
    "stand-in",
    "run a stand-in of the store or of a backend server",
    (argv) => {
      addStandIn(
        argv,
        "store",
        storeServiceSchema,
        (settings) => StoreService.start(settings),
      );
      addStandIn(
        argv,
        "backend",
        backendServiceSchema,
        (settings) => BackendService.start(settings),
      );
      return argv.demandCommand(1, "missing subcommand: store or backend")
        .strict();
    },
  );
}

function addStandIn<T>(
  yargs: Argv,
  name: string,
  schema: z.ZodType<T>,
  start: (settings: T) => Promise<StandIn>,
): void {
  yargs.command(
    name,
    `run a stand-in: ${name}`,
    (argv) =>
      argv.option("settings", {
        type: "string",
        demandOption: true,
        describe: "YAML file with the settings",
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
