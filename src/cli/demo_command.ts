/**
 * `plumloft demo`: runs entry processes, with stand-ins of backend servers and
 * of the platform's store, in one process and sends requests through them.
 *
 * @module
 */
import { request } from "undici";
import type { Argv } from "yargs";
import { PlatformHeaderCodec } from "../../platform/index.ts";
import { Demo, DEMO_HOST } from "./demo.ts";
import { EXIT_CODE } from "./exit_code.ts";

const REQUEST_KEY = 4_711;
/** Timeout of the demo's requests, in milliseconds. */
const CALLER_TIMEOUT = 2_000;

/** Registers the command with `yargs`. */
export function addDemoCommand(yargs: Argv): Argv {
  return yargs.command(
    "demo",
    "run a complete small deployment in one process",
    (argv) =>
      argv.option("check", {
        type: "boolean",
        default: false,
        describe: "send the requests, check the responses and exit",
      }),
    ({ check }) => check ? runCheck() : runDemo(),
  );
}

async function runDemo(): Promise<void> {
  const demo = await Demo.start();
  const [entry] = demo.entryAddresses;
  const headers = Object.entries(callerHeaders("r-1", REQUEST_KEY))
    .map(([name, value]) => `-H '${name}: ${value}'`).join(" ");
  process.stdout.write([
    "plumloft demo: 3 entry VMs, 6 backend servers and a store in one process",
    ...await sendRequests(demo),
    "",
    "send more with:",
    `  curl -i -X PUT ${headers} -d '12 sheets' http://${entry}/stock/hide-7`,
    `  curl -i ${headers} http://${entry}/stock/hide-7`,
    `  npm run --silent plumloft -- status --vm ${demo.adminAddresses[0]}`,
    "Press Ctrl-C to stop.",
    "",
  ].join("\n"));
  await new Promise<void>((resolve) => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
  });
  await demo.stop();
}

async function runCheck(): Promise<void> {
  const demo = await Demo.start();
  try {
    const lines = await sendRequests(demo);
    process.stdout.write(`demo check passed: ${lines.join("; ")}\n`);
  } catch (error) {
    process.stdout.write(`demo check failed: ${(error as Error).message}\n`);
    process.exitCode = EXIT_CODE.failed;
  } finally {
    await demo.stop();
  }
}

/**
 * Sends requests to a keyed and to an unkeyed service, checks the responses,
 * and returns a line for each request with the server that ran it.
 */
async function sendRequests(demo: Demo): Promise<string[]> {
  const stored = "12 sheets";
  const put = { method: "PUT" as const, body: stored };
  await expectResponse(
    demo.entryAddresses[0],
    "/stock/hide-7",
    put,
    "d-1",
    stored,
  );
  const get = { method: "GET" as const };
  await expectResponse(
    demo.entryAddresses[1],
    "/stock/hide-7",
    get,
    "d-2",
    stored,
  );
  const post = { method: "POST" as const, body: "list" };
  await expectResponse(
    demo.entryAddresses[2],
    "/catalogue/all",
    post,
    "d-3",
    "list",
  );
  const runs = demo.servers.flatMap((server) => server.runs);
  return runs.map((run) => `${run.requestId} ran on ${run.server}`);
}

async function expectResponse(
  entry: string,
  path: string,
  options: NonNullable<Parameters<typeof request>[1]>,
  id: string,
  expected: string,
): Promise<void> {
  const headers = callerHeaders(id, REQUEST_KEY);
  const response = await request(`http://${entry}${path}`, {
    ...options,
    headers,
  });
  const text = await response.body.text();
  if (response.statusCode === 200 && text === expected) return;
  throw new Error(
    `${path} at ${entry}: expected 200 '${expected}', found ${response.statusCode} '${text}'`,
  );
}

function callerHeaders(id: string, key: number): Record<string, string> {
  const fields = { id, timeout: CALLER_TIMEOUT, key };
  return {
    host: DEMO_HOST,
    ...PlatformHeaderCodec.create().callerHeaders(fields),
  };
}
