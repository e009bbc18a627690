/**
 * Starts and stops an entry process on free loopback ports, then writes the V8
 * code cache of all functions that ran. The cache is stored in the folder of
 * the bundle, which the argument names.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { stringify } from "yaml";
import { CompiledProgram } from "../src/launcher/compiled_program.ts";

/**
 * Time for the process to start, in milliseconds. Functions that have not run
 * by then are not in the cache and are compiled on first use.
 */
const START_DURATION = 500;
const ANY_PORT = "127.0.0.1:0";
/** Nothing listens at this address, so the process can't connect to a store. */
const UNUSED_ADDRESS = "127.0.0.1:1";

const SETTINGS = {
  vm: "warm-up",
  availabilityZone: "none",
  listen: ANY_PORT,
  readiness: ANY_PORT,
  peer: ANY_PORT,
  admin: ANY_PORT,
  store: { address: UNUSED_ADDRESS, partitions: 1 },
  shutdownTimeoutSeconds: 1,
  logging: { level: "error" },
};

function generateCodeCache(folder: string): void {
  const scratch = mkdtempSync(join(tmpdir(), "plumloft-code-"));
  const settings = join(scratch, "settings.yaml");
  writeFileSync(settings, stringify(SETTINGS));
  const program = CompiledProgram.load(folder);
  process.argv.splice(2, Infinity, "serve", "--settings", settings);
  process.once("exit", () => {
    program.writeCodeCache();
    rmSync(scratch, { recursive: true });
  });
  setTimeout(() => process.kill(process.pid, "SIGTERM"), START_DURATION);
  program.run();
}

generateCodeCache(resolve(process.argv[2]));
