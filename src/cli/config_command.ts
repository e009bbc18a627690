/**
 * `plumloft config`: the only way in which operators drive the system.
 *
 * @module
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { userInfo } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { stringify } from "yaml";
import type { Argv } from "yargs";
import { HttpLog } from "../adapters/index.ts";
import { checkSuccession, type Configuration } from "../core/index.ts";
import {
  findDifferences,
  formatDifference,
  Publisher,
} from "../operators/index.ts";
import { InvalidInput, readConfiguration } from "../settings/index.ts";
import { EXIT } from "./exit_code.ts";

/** File in which a folder keeps the revision that it was edited from. */
const REVISION_FILE = ".revision";
/** Time between two looks at the VMs, in milliseconds. */
const WAIT_INTERVAL = 100;

interface LogOptions {
  log: string;
  stream: string;
}

interface PublishOptions extends LogOptions {
  folder: string;
  basedOn?: number;
  operator: string;
  timeout: number;
  wait?: string[];
}

/** Adds the commands to `yargs`. */
export function addConfigCommand(yargs: Argv): Argv {
  return yargs.command(
    "config",
    "check, publish and show the configuration",
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
          (each) => withLog(withFolder(each)),
          (options) => diff(options),
        )
        .command(
          "publish <folder>",
          "publish a folder",
          (each) =>
            withLog(withFolder(each))
              .option("based-on", {
                type: "number",
                describe: "revision that the folder was edited from",
              })
              .option("operator", {
                type: "string",
                default: userInfo().username,
                describe: "name that the history shows",
              })
              .option("timeout", {
                type: "number",
                default: 10_000,
                describe: "milliseconds to wait for the log",
              })
              .option("wait", {
                type: "string",
                array: true,
                describe: "admin addresses of VMs that must have it in force",
              }),
          (options) => publish(options),
        )
        .command(
          "show",
          "show what is in force",
          (each) => withLog(each),
          (options) => show(options),
        )
        .command(
          "history",
          "show what was published",
          (each) => withLog(each),
          (options) => history(options),
        )
        .demandCommand(1, "name one of: check, diff, publish, show, history")
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

function withLog<T>(yargs: Argv<T>) {
  return yargs
    .option("log", {
      type: "string",
      demandOption: true,
      describe: "URL of the platform's log",
    })
    .option("stream", {
      type: "string",
      default: "plumloft",
      describe: "stream of the log",
    });
}

function publisher({ log, stream }: LogOptions): Publisher {
  return Publisher.create(HttpLog.create(log, stream));
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function check(folder: string): void {
  const { base, overlays } = readConfiguration(folder);
  const services = Object.keys(base.services).length;
  print(`${folder}: ${services} services, ${overlays.length} sites, no faults`);
}

async function diff(options: LogOptions & { folder: string }): Promise<void> {
  const wanted = readConfiguration(options.folder);
  const { accepted } = await publisher(options).read();
  for (const each of findDifferences(accepted.configuration, wanted)) {
    print(formatDifference(each));
  }
  print(`# against revision ${accepted.revision}`);
}

async function publish(options: PublishOptions): Promise<void> {
  const configuration = readConfiguration(options.folder);
  const to = publisher(options);
  const { accepted } = await to.read();
  checkSuccessor(options.folder, accepted.configuration, configuration);
  const basedOn = options.basedOn ?? readRevision(options.folder);
  const result = await to.publish(
    configuration,
    options.operator,
    basedOn,
    options.timeout,
  );
  if (!result.accepted) {
    const { inForce } = result;
    print(`refused: ${result.why}`);
    print(
      `revision ${inForce.revision} by ${inForce.operator} is in force; your folder differs from it in:`,
    );
    for (const each of findDifferences(inForce.configuration, configuration)) {
      print(formatDifference(each));
    }
    print(
      `edit again from there, then publish with --based-on ${inForce.revision}`,
    );
    process.exitCode = EXIT.refused;
    return;
  }
  writeFileSync(join(options.folder, REVISION_FILE), `${result.revision}\n`);
  print(`accepted: revision ${result.revision}`);
  await waitInForce(options.wait ?? [], result.revision, options.timeout);
}

function checkSuccessor(
  folder: string,
  current: Configuration | null,
  next: Configuration,
): void {
  const faults = checkSuccession(current, next);
  if (faults.length === 0) return;
  throw InvalidInput.create(faults.map(({ path, message }) => ({
    file: join(folder, "base.yaml"),
    line: 0,
    path: path.join("."),
    message,
  })));
}

function readRevision(folder: string): number {
  const file = join(folder, REVISION_FILE);
  return existsSync(file) ? Number(readFileSync(file, "utf8")) : 0;
}

/** Waits until each VM says that it runs at least `revision`. */
async function waitInForce(
  vms: readonly string[],
  revision: number,
  timeout: number,
): Promise<void> {
  const start = Date.now();
  const missing = new Set(vms);
  while (missing.size > 0 && Date.now() < start + timeout) {
    for (const vm of missing) {
      if (await runningRevision(vm) < revision) continue;
      missing.delete(vm);
      print(`in force at ${vm} after ${Date.now() - start} ms`);
    }
    if (missing.size > 0) await delay(WAIT_INTERVAL);
  }
  if (missing.size === 0) return;
  print(`not yet in force at ${[...missing].join(", ")}: see their status`);
  process.exitCode = EXIT.failed;
}

async function runningRevision(vm: string): Promise<number> {
  try {
    const { body } = await request(`http://${vm}/status`);
    const status = await body.json() as { revision: number };
    return status.revision;
  } catch {
    return -1;
  }
}

async function show(options: LogOptions): Promise<void> {
  const { accepted } = await publisher(options).read();
  print(`# revision ${accepted.revision} by ${accepted.operator || "nobody"}`);
  if (accepted.configuration === null) return;
  print(stringify(accepted.configuration).trimEnd());
}

async function history(options: LogOptions): Promise<void> {
  const from = publisher(options);
  await from.read();
  for (const each of from.history) {
    const time = new Date(each.publishedAt).toISOString();
    const verdict = each.accepted ? "accepted" : `refused: ${each.why}`;
    print(`${each.revision}  ${time}  ${each.operator}  ${verdict}`);
  }
}
