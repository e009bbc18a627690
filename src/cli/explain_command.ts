/**
 * `plumloft explain`: what happened to one request, from logs.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Argv } from "yargs";
import { findStory, type StoryLine } from "../logging/story.ts";

/** Stands for standard input among files. */
const STANDARD_INPUT = "-";

interface ExplainOptions {
  request: string;
  files?: string[];
}

/** Adds the command to `yargs`. */
export function addExplainCommand(yargs: Argv): Argv {
  return yargs.command(
    "explain [files..]",
    "tell what happened to a request, from log files or standard input",
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
          describe: "log files; - or none for standard input",
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
  const story = findStory(request, lines);
  for (const line of story.lines) process.stdout.write(`${format(line)}\n`);
  process.stdout.write(`cause: ${story.cause}\n`);
}

function format({ time, vm, decision, detail }: StoryLine): string {
  const fields = Object.entries(detail)
    .map(([name, value]) => `${name}=${value}`).join(" ");
  return `${time} ${vm} ${decision} ${fields}`;
}
