/**
 * Starts and stops an entry process on free loopback ports, then writes the code
 * of all that ran, beside the bundle in the folder that the argument names.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { stringify } from "yaml";
import { CompiledProgram } from "../src/launcher/compiled_program.ts";

/** Time for the process to start, in milliseconds; what has not run by then is
 * compiled when it is needed, as without the code. */
const WARM_UP = 500;
const ANY_PORT = "127.0.0.1:0";
/** Nothing listens there, so the process finds no store. */
const NO_STORE = "127.0.0.1:1";

const SETTINGS = {
  vm: "warm-up",
  availabilityZone: "none",
  listen: ANY_PORT,
  readiness: ANY_PORT,
  peer: ANY_PORT,
  admin: ANY_PORT,
  store: { address: NO_STORE, partitions: 1 },
  shutdownTimeoutSeconds: 1,
  logging: { level: "error" },
};

function makeCode(folder: string): void {
  const scratch = mkdtempSync(join(tmpdir(), "plumloft-code-"));
  const settings = join(scratch, "settings.yaml");
  writeFileSync(settings, stringify(SETTINGS));
  const program = CompiledProgram.load(folder);
  process.argv.splice(2, Infinity, "serve", "--settings", settings);
  process.once("exit", () => {
    program.writeCode();
    rmSync(scratch, { recursive: true });
  });
  setTimeout(() => process.kill(process.pid, "SIGTERM"), WARM_UP);
  program.run();
}

makeCode(resolve(process.argv[2]));
