/**
 * `plumloft demo`: the whole path in one process on embedded stand-ins.
 *
 * @module
 */
import { request } from "undici";
import type { Argv } from "yargs";
import { Demo } from "./demo.ts";
import { EXIT } from "./exit_code.ts";

/** Adds the command to `yargs`. */
export function addDemoCommand(yargs: Argv): Argv {
  return yargs.command(
    "demo",
    "run the whole path in one process",
    (argv) =>
      argv.option("check", {
        type: "boolean",
        default: false,
        describe: "send the requests, check the answers and end",
      }),
    ({ check }) => check ? runCheck() : runDemo(),
  );
}

async function runDemo(): Promise<void> {
  const demo = await Demo.start();
  const [entry] = demo.entries;
  process.stdout.write([
    "plumloft demo: 3 entry VMs, 5 backend servers, log and VM list in one process",
    ...await sendBoth(demo),
    "",
    "send more with:",
    `  curl -i -X PUT -H 'x-stock-key: hide-7' -d '12 sheets' http://${entry}/apothiki/stock`,
    `  curl -i -H 'x-stock-key: hide-7' http://${entry}/apothiki/stock`,
    `  curl -i http://${entry}/archeio/catalogue`,
    `  npm run --silent plumloft -- status --vm ${demo.admins[0]}`,
    "Ctrl-C ends it.",
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
    const lines = await sendBoth(demo);
    process.stdout.write(`demo check passed: ${lines.join("; ")}\n`);
  } catch (error) {
    process.stdout.write(`demo check failed: ${(error as Error).message}\n`);
    process.exitCode = EXIT.failed;
  } finally {
    await demo.stop();
  }
}

/** Sends a keyed and an un-keyed request and checks the answers. */
async function sendBoth(demo: Demo): Promise<string[]> {
  const stored = "12 sheets";
  const headers = { "x-stock-key": "hide-7" };
  const stock = "/apothiki/stock";
  const put = { method: "PUT" as const, headers, body: stored };
  await expectAnswer(demo.entries[0], stock, put, stored);
  const keyed = await expectAnswer(
    demo.entries[1],
    stock,
    { method: "GET", headers },
    stored,
  );
  const unkeyed = await expectAnswer(
    demo.entries[2],
    "/archeio/catalogue",
    { method: "POST", body: "list" },
    "list",
  );
  return [
    `keyed request served by ${keyed}`,
    `un-keyed request served by ${unkeyed}`,
  ];
}

async function expectAnswer(
  entry: string,
  path: string,
  options: NonNullable<Parameters<typeof request>[1]>,
  expected: string,
): Promise<string> {
  const answer = await request(`http://${entry}${path}`, options);
  const text = await answer.body.text();
  if (answer.statusCode === 200 && text === expected) {
    return String(answer.headers["x-server"]);
  }
  throw new Error(
    `${path} at ${entry}: expected 200 '${expected}', found ${answer.statusCode} '${text}'`,
  );
}
