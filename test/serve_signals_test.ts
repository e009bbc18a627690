/**
 * Guards against signals that terminate a starting process. A signal without a
 * listener terminates the process at once and closes all connections that it
 * has accepted. SIGHUP must make the process read the settings again, and
 * SIGTERM must start a graceful shutdown.
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

/** Maximum time until a process accepts connections, in milliseconds. */
const START_TIMEOUT = 20_000;
/**
 * Time within which an unhandled signal would terminate the process, in
 * milliseconds.
 */
const SIGNAL_WAIT = 1_000;

/**
 * Starts a process; resolves as soon as it accepts the connection of a caller.
 */
async function startAcceptingProcess(t: ExecutionContext) {
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
  const child = spawn(process.execPath, command, { stdio: "ignore" });
  t.teardown(() => child.kill("SIGKILL"));
  const end = Date.now() + START_TIMEOUT;
  while (!(await isAccepting(listen))) {
    if (Date.now() > end) throw new Error("the process accepts no connection");
  }
  return child;
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

/** Returns the exit code or signal of a process, or null while it runs. */
function exitOf({ exitCode, signalCode }: ChildProcess) {
  return exitCode ?? signalCode;
}

test.serial("signals: SIGHUP during the start does not terminate the process", async (t) => {
  const child = await startAcceptingProcess(t);
  child.kill("SIGHUP");
  await delay(SIGNAL_WAIT);
  t.is(exitOf(child), null);
});

test.serial("signals: SIGTERM during the start shuts the process down gracefully", async (t) => {
  const child = await startAcceptingProcess(t);
  child.kill("SIGTERM");
  await delay(2 * SIGNAL_WAIT);
  t.is(exitOf(child), 0);
});
