/**
 * Signals come at any moment, also while a process starts. Without a listener the
 * system's default for them ends it at once, with the connections that it accepts
 * already: a change of the settings must not, and a stop is to go in order.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { parseAddress } from "../src/settings/index.ts";
import { loopbackAddress } from "./support/loopback_address.ts";

/** Longest time of a start, in milliseconds. */
const PATIENCE = 20_000;
/** Time in which a signal would have ended the process, in milliseconds. */
const PAUSE = 1_000;

/** Starts a process; resolves when its first caller's connection is accepted. */
async function startUntilAccepting(t: ExecutionContext) {
  const folder = mkdtempSync(join(tmpdir(), "plumloft-"));
  const file = join(folder, "settings.yaml");
  const listen = loopbackAddress();
  writeFileSync(
    file,
    [
      "vm: vm-1",
      "availabilityZone: a",
      `listen: ${listen}`,
      `readiness: ${loopbackAddress()}`,
      `peer: ${loopbackAddress()}`,
      `admin: ${loopbackAddress()}`,
      `store: { address: "${loopbackAddress()}" }`,
      "shutdownTimeoutSeconds: 1",
    ].join("\n"),
  );
  const command = ["--import=tsx", "src/main.ts", "serve", "--settings", file];
  const process_ = spawn(process.execPath, command, { stdio: "ignore" });
  t.teardown(() => process_.kill("SIGKILL"));
  const end = Date.now() + PATIENCE;
  while (!(await isAccepting(listen))) {
    if (Date.now() > end) throw new Error("it never listened");
  }
  return process_;
}

function isAccepting(address: string): Promise<boolean> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect(port, host);
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => setTimeout(() => resolve(false), 1));
  });
}

/** How a process ended, or null while it lives. */
function endOf({ exitCode, signalCode }: ChildProcess) {
  return exitCode ?? signalCode;
}

test.serial("signals: a change of the settings during the start does not end it", async (t) => {
  const started = await startUntilAccepting(t);
  started.kill("SIGHUP");
  await delay(PAUSE);
  t.is(endOf(started), null);
});

test.serial("signals: a stop during the start goes in order", async (t) => {
  const started = await startUntilAccepting(t);
  started.kill("SIGTERM");
  await delay(2 * PAUSE);
  t.is(endOf(started), 0);
});
