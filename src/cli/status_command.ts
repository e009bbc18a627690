/**
 * `plumloft status`: prints the state of one VM's entry process.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Argv } from "yargs";
import type { EntryStatus } from "../core/entry_status.ts";
import { errorText, StepError } from "../errors/index.ts";

/** Interval between two reads with `--watch`, in milliseconds. */
const WATCH_INTERVAL = 1_000;

interface StatusOptions {
  vm: string;
  json: boolean;
  watch: boolean;
}

/** Registers the command with `yargs`. */
export function addStatusCommand(yargs: Argv): Argv {
  return yargs.command(
    "status",
    "show the state of one VM",
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
          describe: "print the complete status as JSON",
        })
        .option("watch", {
          type: "boolean",
          default: false,
          describe: "print the status every second",
        }),
    (options) => printStatus(options),
  );
}

async function printStatus({ vm, json, watch }: StatusOptions): Promise<void> {
  do {
    const status = await readStatus(vm);
    const text = json ? JSON.stringify(status) : formatStatus(status);
    process.stdout.write(`${text}\n`);
    if (watch) await delay(WATCH_INTERVAL);
  } while (watch);
}

/** Reads the status of the VM whose admin address is `vm`. */
export async function readStatus(vm: string): Promise<EntryStatus> {
  try {
    const { body } = await request(`http://${vm}/status`);
    return await body.json() as EntryStatus;
  } catch (error) {
    throw StepError.create("read status", vm, errorText(error), error as Error);
  }
}

/** Formats the status as human-readable lines. */
export function formatStatus(status: EntryStatus): string {
  const { configuration, term } = status;
  const lines = [
    `configuration  version ${configuration.version}, ${configuration.routes} routes`,
    `readiness      ${status.isReady ? "ready" : "not ready"}`,
    `store          last answer ${status.storeSilence} ms ago`,
    `term           ${term.phase}, holder ${
      term.holder ?? "unknown"
    }, last message ${term.holderSilence} ms ago`,
    `VMs            ${status.vms ?? "unknown"}`,
    `pending        ${status.pending} requests`,
  ];
  if (configuration.isLost) {
    lines.push(
      `lost           the store lacks version ${configuration.version}, which stays in force; publish it again`,
    );
  }
  for (const zone of status.evacuatedZones) {
    lines.push(`evacuated      ${zone}`);
  }
  for (const assignment of status.assignments) {
    const { unconfirmed } = assignment;
    const waiting = unconfirmed === 0
      ? ""
      : `, ${unconfirmed} wait until the leases of earlier terms have ended`;
    lines.push(
      `keys of ${assignment.service}: ${assignment.ranges} ranges, ${assignment.open} open, position ${assignment.term}.${assignment.version}${waiting}`,
    );
  }
  for (const { fingerprint, target, ends, left } of status.quarantine) {
    const seconds = Math.ceil(left / 1_000);
    lines.push(
      `held back: ${target} (${fingerprint}), ${ends} servers crashed while they processed it, ${seconds} s left`,
    );
  }
  for (const server of status.servers) {
    const state = server.isDraining
      ? "draining"
      : server.isLeaving
      ? "leaving"
      : server.isEvacuated
      ? "evacuated"
      : server.isWarming
      ? "cold"
      : server.isPaused
      ? "paused"
      : server.backoff > 0
      ? "backoff"
      : "up";
    const latency = server.latency === null
      ? "no response yet"
      : `${server.latency.toFixed(1)} ms`;
    const limit = server.rateLimit === null
      ? ""
      : `, limit ${server.rateLimit} requests/s`;
    lines.push(
      `  ${server.id.padEnd(20)} ${server.service.padEnd(16)} ${
        state.padEnd(9)
      } ${server.inFlight} in flight, ${latency}${limit}`,
    );
  }
  return lines.join("\n");
}
