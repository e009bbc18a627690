/**
 * `plumloft config`: checks, compares, publishes and shows configurations.
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
import { readStatus } from "./status_command.ts";
import { EXIT_CODE } from "./exit_code.ts";

interface StoreOptions {
  store: string;
}

interface SiteOptions extends StoreOptions {
  folder: string;
  site: string;
}

interface PublishOptions extends SiteOptions {
  vm: string | undefined;
}

/** Registers the command and its subcommands with `yargs`. */
export function addConfigCommand(yargs: Argv): Argv {
  return yargs.command(
    "config",
    "check, compare, publish and show configurations",
    (argv) =>
      argv
        .command(
          "check <folder>",
          "validate a base file and its overlays",
          (command) => addFolderArgument(command),
          ({ folder }) => check(folder),
        )
        .command(
          "diff <folder>",
          "compare a folder with the active configuration",
          (command) =>
            addStoreOption(addSiteOption(addFolderArgument(command))),
          (options) => diff(options),
        )
        .command(
          "publish <folder>",
          "publish the configuration of a site",
          (command) =>
            addVmOption(
              addStoreOption(addSiteOption(addFolderArgument(command))),
            ),
          (options) => publish(options),
        )
        .command(
          "show",
          "show the active configuration",
          (command) => addStoreOption(command),
          (options) => show(options),
        )
        .demandCommand(1, "missing subcommand: check, diff, publish or show")
        .strict(),
  );
}

function addFolderArgument<T>(yargs: Argv<T>) {
  return yargs.positional("folder", {
    type: "string",
    demandOption: true,
    describe: "folder with base.yaml and sites/*.yaml",
  });
}

function addSiteOption<T>(yargs: Argv<T>) {
  return yargs.option("site", {
    type: "string",
    demandOption: true,
    describe: "site whose overlay is applied to the base file",
  });
}

function addStoreOption<T>(yargs: Argv<T>) {
  return yargs.option("store", {
    type: "string",
    demandOption: true,
    describe: "address of the platform's store",
  });
}

function addVmOption<T>(yargs: Argv<T>) {
  return yargs.option("vm", {
    type: "string",
    describe: "admin address of a VM whose version the new one must exceed, " +
      "in case the store has lost versions",
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
      configuration === null
        ? "no configuration is published"
        : toYaml(configuration),
    );
  });
}

async function diff({ folder, site, store }: SiteOptions): Promise<void> {
  await withControlStore(store, async (controlStore) => {
    const { configuration } = await controlStore.readConfiguration();
    const version = configuration?.version ?? 0;
    const next = siteConfiguration(readDeclaration(folder), site, version);
    const lines = diffLines(
      configuration === null ? "" : toYaml(configuration),
      toYaml(next),
    );
    print(lines.length === 0 ? "no differences" : lines.join("\n"));
  });
}

async function publish(
  { folder, site, store, vm }: PublishOptions,
): Promise<void> {
  const declaration = readDeclaration(folder);
  const sites = declaration.overlays.map((overlay) => overlay.site);
  if (!sites.includes(site)) {
    throw InvalidInput.create([{
      file: folder,
      line: 0,
      path: "site",
      message: `expected one of ${sites.join(", ")}, found '${site}'`,
    }]);
  }
  await withControlStore(store, async (controlStore) => {
    const { configuration, end } = await controlStore.readConfiguration();
    const stored = configuration?.version ?? 0;
    const active = vm === undefined
      ? 0
      : (await readStatus(vm)).configuration.version;
    if (active > stored) {
      print(`the store lacks version ${active}, which is in force at ${vm}`);
    }
    const version = Math.max(stored, active) + 1;
    const next = siteConfiguration(declaration, site, version);
    try {
      await controlStore.publish(next, end);
    } catch (error) {
      if (controlStore.isRestored(error)) {
        print(
          `version ${version} may be lost, check it with \`config show\`: ` +
            (error as Error).message,
        );
        process.exitCode = EXIT_CODE.failed;
        return;
      }
      if (!controlStore.isConflict(error)) throw error;
      print(`publication rejected: ${(error as Error).message}`);
      process.exitCode = EXIT_CODE.failed;
      return;
    }
    print(`published version ${version}`);
  });
}

/**
 * Runs `action` with a client of the store at `address`, then closes the
 * client.
 */
export async function withControlStore(
  address: string,
  action: (store: ControlStore) => Promise<void>,
): Promise<void> {
  const store = PlatformStore.create(address, "operator", "operator");
  try {
    await action(store);
  } finally {
    store.close();
  }
}

function toYaml(configuration: Configuration): string {
  return stringify(configuration);
}

/**
 * Returns the lines that only one of the texts contains, prefixed with `-` if
 * it is `before` and with `+` if it is `after`.
 */
function diffLines(before: string, after: string): string[] {
  const oldLines = before.split("\n");
  const newLines = after.split("\n");
  return [
    ...oldLines.filter((line) => !newLines.includes(line)).map((line) =>
      `- ${line}`
    ),
    ...newLines.filter((line) => !oldLines.includes(line)).map((line) =>
      `+ ${line}`
    ),
  ];
}
