/**
 * Runs the tests, then prints the title of each that failed, and how many passed
 * and failed. Failures that are listed in KNOWN-RED.txt don't fail the run.
 *
 * @module
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";

/**
 * File that lists known failures, one on each line: `title | cause | issue`.
 */
const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";

/** Matches a result line of the Test Anything Protocol. */
const TAP_RESULT = /^(not )?ok \d+ - (.*)$/;

function readKnownFailures(): string[] {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  return readFileSync(KNOWN_FAILURES_FILE, "utf8").split("\n")
    .map((line) => line.split("|")[0].trim())
    .filter((title) => title !== "");
}

async function runTests(args: readonly string[]): Promise<void> {
  const ava = spawn("node_modules/.bin/ava", ["--tap", ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  const knownFailures = readKnownFailures();
  let passed = 0;
  const failed: string[] = [];
  const exited = new Promise<number | null>((resolve) =>
    ava.once("close", resolve)
  );
  for await (const line of createInterface({ input: ava.stdout })) {
    process.stdout.write(`${line}\n`);
    const result = TAP_RESULT.exec(line);
    if (result === null) continue;
    if (result[1] === undefined) passed += 1;
    else failed.push(result[2]);
  }
  const code = await exited;
  const unexpected = failed.filter((title) =>
    !knownFailures.some((knownTitle) => title.includes(knownTitle))
  );
  for (const title of failed) {
    const label = unexpected.includes(title) ? "failed" : "known to fail";
    process.stdout.write(`${label}: ${title}\n`);
  }
  process.stdout.write(`${passed} passed, ${failed.length} failed\n`);
  const hasCrashed = code !== 0 && failed.length === 0;
  process.exitCode = unexpected.length > 0 || hasCrashed || passed === 0
    ? 1
    : 0;
}

void runTests(process.argv.slice(2));
