/**
 * `plumloft load`: sends a limited number of requests for a limited time.
 *
 * @module
 */
import { createWriteStream } from "node:fs";
import type { Argv } from "yargs";
import { PlatformHeaderCodec } from "../../platform/index.ts";
import { isServed, type LoadPlan, runLoad } from "../load/index.ts";

interface LoadOptions {
  target: string[];
  service: string;
  host: string;
  path: string;
  timeout: number;
  keys: number;
  method: string;
  "body-size": number;
  requests: number;
  seconds: number;
  callers: number;
  pause: number;
  history?: string;
}

/** Registers the command with `yargs`. */
export function addLoadCommand(yargs: Argv): Argv {
  return yargs.command(
    "load",
    "send a bounded load of requests and record the outcomes",
    (argv) =>
      argv
        .option("target", {
          type: "string",
          array: true,
          demandOption: true,
          describe: "addresses of entry processes, such as 127.0.0.1:8080",
        })
        .option("service", { type: "string", demandOption: true })
        .option("host", { type: "string", demandOption: true })
        .option("path", { type: "string", demandOption: true })
        .option("timeout", { type: "number", default: 2_000 })
        .option("keys", {
          type: "number",
          default: 0,
          describe: "number of distinct keys; 0 for requests without a key",
        })
        .option("method", {
          choices: ["GET", "POST", "PUT"],
          default: "POST",
        })
        .option("body-size", { type: "number", default: 32 })
        .option("requests", { type: "number", default: 1_000 })
        .option("seconds", { type: "number", default: 30 })
        .option("callers", { type: "number", default: 16 })
        .option("pause", {
          type: "number",
          default: 0,
          describe: "milliseconds between two requests of a caller",
        })
        .option("history", {
          type: "string",
          describe: "file to write the history to, as JSON lines",
        }),
    (options) => load(options),
  );
}

async function load(options: LoadOptions): Promise<void> {
  const plan: LoadPlan = {
    targets: options.target,
    service: options.service,
    codec: PlatformHeaderCodec.create(),
    host: options.host,
    path: options.path,
    timeout: options.timeout,
    keys: options.keys,
    method: options.method as LoadPlan["method"],
    bodySize: options["body-size"],
    requests: options.requests,
    seconds: options.seconds,
    callers: options.callers,
    pause: options.pause,
  };
  const historyFile = options.history === undefined
    ? null
    : createWriteStream(options.history);
  const result = await runLoad(plan, (call) => {
    historyFile?.write(`${JSON.stringify(call)}\n`);
  });
  historyFile?.end();
  const { calls, latencies, seconds } = result;
  process.stdout.write(`${
    JSON.stringify({
      requests: calls.length,
      served: calls.filter(isServed).length,
      notRun: calls.filter((call) => call.outcome === "not-run").length,
      unknown: calls.filter((call) => call.outcome === "unknown").length,
      mismatched: calls.filter((call) => call.matched === false).length,
      perSecond: calls.length / seconds,
      latency: latencies.summary(),
    })
  }\n`);
}
