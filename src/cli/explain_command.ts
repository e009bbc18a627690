/**
 * `plumloft explain`: reports from logs what happened to one request.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Argv } from "yargs";
import { type TraceLine, traceRequest } from "../logging/request_trace.ts";

/** File name that means standard input. */
const STANDARD_INPUT = "-";

interface ExplainOptions {
  request: string;
  files?: string[];
}

/** Registers the command with `yargs`. */
export function addExplainCommand(yargs: Argv): Argv {
  return yargs.command(
    "explain [files..]",
    "report what happened to a request, from log files or standard input",
    (argv) =>
      argv
        .option("request", {
          type: "string",
          demandOption: true,
          describe: "id of the request",
        })
        .positional("files", {
          type: "string",
          array: true,
          describe: "log files; standard input if - or none",
        }),
    (options) => explain(options),
  );
}

async function explain({ request, files }: ExplainOptions): Promise<void> {
  const lines: string[] = [];
  const names = files?.length ? files : [STANDARD_INPUT];
  for (const name of names) {
    const input = name === STANDARD_INPUT
      ? process.stdin
      : createReadStream(name);
    for await (const line of createInterface({ input })) {
      if (line.includes(request)) lines.push(line);
    }
  }
  const trace = traceRequest(request, lines);
  for (const line of trace.lines) process.stdout.write(`${formatLine(line)}\n`);
  process.stdout.write(`cause: ${trace.cause}\n`);
}

function formatLine({ time, vm, decision, detail }: TraceLine): string {
  const fields = Object.entries(detail)
    .map(([name, value]) => `${name}=${value}`).join(" ");
  return `${time} ${vm} ${decision} ${fields}`;
}
