/**
 * `plumloft status`: what one VM sees.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Argv } from "yargs";
import { errorText, StepError } from "../adapters/index.ts";
import type { RouterStatus } from "../core/index.ts";

/** Time between two looks, in milliseconds. */
const WATCH_INTERVAL = 1_000;

interface StatusOptions {
  vm: string;
  json: boolean;
  watch: boolean;
}

/** Adds the command to `yargs`. */
export function addStatusCommand(yargs: Argv): Argv {
  return yargs.command(
    "status",
    "show what one VM sees",
    (argv) =>
      argv
        .option("vm", {
          type: "string",
          demandOption: true,
          describe: "admin address of the VM, such as 127.0.0.1:8081",
        })
        .option("json", {
          type: "boolean",
          default: false,
          describe: "print the whole status as JSON",
        })
        .option("watch", {
          type: "boolean",
          default: false,
          describe: "print it again every second",
        }),
    (options) => show(options),
  );
}

async function show({ vm, json, watch }: StatusOptions): Promise<void> {
  do {
    const status = await readStatus(vm);
    const text = json ? JSON.stringify(status) : formatStatus(status);
    process.stdout.write(`${text}\n`);
    if (watch) await delay(WATCH_INTERVAL);
  } while (watch);
}

async function readStatus(vm: string): Promise<RouterStatus> {
  try {
    const { body } = await request(`http://${vm}/status`);
    return await body.json() as RouterStatus;
  } catch (error) {
    throw StepError.create("read status", vm, errorText(error), error as Error);
  }
}

/** The status as lines for people. */
export function formatStatus(status: RouterStatus): string {
  const { view, term } = status;
  const lines = [
    `VM ${status.vm} (incarnation ${status.incarnation})`,
    `  configuration  revision ${status.revision}`,
    `  log            ${
      status.logReachable ? "reachable" : "out"
    }, read up to ${status.ledgerNext - 1}`,
    `  term           ${term.offset}, held by ${
      status.holds ? "this VM" : term.vm || "nobody"
    }`,
    `  view           ${view.position.term}.${view.position.version}, ${view.membership.members.length} members, ${view.membership.witnesses.length} witnesses`,
    `  view lease     ${
      status.member
        ? `${Math.round(status.leaseRemaining)} ms left`
        : "not a member"
    }`,
    `  in flight      ${status.inFlight}`,
  ];
  for (const [service, slots] of Object.entries(view.services)) {
    const vacant = slots.filter((slot) => slot.server === null).length;
    lines.push(`  ${service}: ${slots.length} slots, ${vacant} vacant`);
  }
  for (const server of status.servers) {
    const state = server.lost
      ? "lost"
      : server.down
      ? "down"
      : server.leaving
      ? "leaving"
      : "up";
    const owned = (view.services[server.service] ?? [])
      .filter((slot) => slot.server === server.id).length;
    lines.push(
      `    ${server.id.padEnd(20)} ${
        state.padEnd(8)
      } ${server.inFlight} in flight, ${owned} slots`,
    );
  }
  return lines.join("\n");
}
