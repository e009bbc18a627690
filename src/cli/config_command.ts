/**
 * `plumloft config`: checks, shows, compares and publishes what operators
 * declare.
 *
 * @module
 */
import { stringify } from "yaml";
import type { Argv } from "yargs";
import { PlatformStore } from "../../platform/index.ts";
import type { Configuration } from "../core/catalog/index.ts";
import { siteConfiguration } from "../core/declaration/index.ts";
import type { ControlStore } from "../runtime/control_store.ts";
import { InvalidInput, readDeclaration } from "../settings/index.ts";
import { EXIT } from "./exit_code.ts";

interface StoreOptions {
  store: string;
}

interface SiteOptions extends StoreOptions {
  folder: string;
  site: string;
}

/** Adds the commands to `yargs`. */
export function addConfigCommand(yargs: Argv): Argv {
  return yargs.command(
    "config",
    "check, compare, publish and show configurations",
    (argv) =>
      argv
        .command(
          "check <folder>",
          "check a base file and its overlays",
          (each) => withFolder(each),
          ({ folder }) => check(folder),
        )
        .command(
          "diff <folder>",
          "show how a folder differs from what is in force",
          (each) => withStore(withSite(withFolder(each))),
          (options) => diff(options),
        )
        .command(
          "publish <folder>",
          "publish the configuration of a site",
          (each) => withStore(withSite(withFolder(each))),
          (options) => publish(options),
        )
        .command(
          "show",
          "show what is in force",
          (each) => withStore(each),
          (options) => show(options),
        )
        .demandCommand(1, "name one of: check, diff, publish, show")
        .strict(),
  );
}

function withFolder<T>(yargs: Argv<T>) {
  return yargs.positional("folder", {
    type: "string",
    demandOption: true,
    describe: "folder with base.yaml and sites/*.yaml",
  });
}

function withSite<T>(yargs: Argv<T>) {
  return yargs.option("site", {
    type: "string",
    demandOption: true,
    describe: "site whose overlay is laid over the base file",
  });
}

function withStore<T>(yargs: Argv<T>) {
  return yargs.option("store", {
    type: "string",
    demandOption: true,
    describe: "address of the platform's store",
  });
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function check(folder: string): void {
  const { base, overlays } = readDeclaration(folder);
  print(
    `${folder}: ${Object.keys(base.services).length} services, ${
      Object.keys(base.routes).length
    } routes, ${overlays.length} sites`,
  );
}

async function show({ store: address }: StoreOptions): Promise<void> {
  await withControlStore(address, async (store) => {
    const { configuration } = await store.readConfiguration();
    print(
      configuration === null ? "nothing is in force" : asYaml(configuration),
    );
  });
}

async function diff({ folder, site, store }: SiteOptions): Promise<void> {
  await withControlStore(store, async (control) => {
    const { configuration } = await control.readConfiguration();
    const version = configuration?.version ?? 0;
    const next = siteConfiguration(readDeclaration(folder), site, version);
    const lines = differences(
      configuration === null ? "" : asYaml(configuration),
      asYaml(next),
    );
    print(lines.length === 0 ? "no difference" : lines.join("\n"));
  });
}

async function publish({ folder, site, store }: SiteOptions): Promise<void> {
  const declaration = readDeclaration(folder);
  const sites = declaration.overlays.map((each) => each.site);
  if (!sites.includes(site)) {
    throw InvalidInput.create([{
      file: folder,
      line: 0,
      path: "site",
      message: `expected one of ${sites.join(", ")}, found '${site}'`,
    }]);
  }
  await withControlStore(store, async (control) => {
    const { configuration, end } = await control.readConfiguration();
    const version = (configuration?.version ?? 0) + 1;
    const next = siteConfiguration(declaration, site, version);
    try {
      await control.publish(next, end);
    } catch (error) {
      if (!control.isConflict(error)) throw error;
      print(`refused: ${(error as Error).message}`);
      process.exitCode = EXIT.failed;
      return;
    }
    print(`published version ${version}`);
  });
}

/** Lets `act` use the store at an address, and closes it. */
export async function withControlStore(
  address: string,
  act: (store: ControlStore) => Promise<void>,
): Promise<void> {
  const store = PlatformStore.create(address, "operator", "operator");
  try {
    await act(store);
  } finally {
    store.close();
  }
}

function asYaml(configuration: Configuration): string {
  return stringify(configuration);
}

/** Lines that only one of two texts has, with `-` or `+` before them. */
function differences(before: string, after: string): string[] {
  const old = before.split("\n");
  const next = after.split("\n");
  return [
    ...old.filter((line) => !next.includes(line)).map((line) => `- ${line}`),
    ...next.filter((line) => !old.includes(line)).map((line) => `+ ${line}`),
  ];
}
