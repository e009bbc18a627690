/**
 * Builds `dist/plumloft`, a self-contained executable: the bundle injected into
 * a copy of the Node.js binary (a single executable application, SEA).
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { inject } from "postject";
import { bundle } from "./bundle.ts";

const FOLDER = "dist";
const BUNDLE = `${FOLDER}/plumloft.cjs`;
const BLOB = `${FOLDER}/plumloft.blob`;
const SEA_CONFIGURATION = `${FOLDER}/sea.json`;
const EXECUTABLE = `${FOLDER}/plumloft`;
/**
 * Sentinel that marks the injection point in the Node.js binary, as given in
 * the Node.js documentation of single executable applications.
 */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

async function buildExecutable(): Promise<void> {
  mkdirSync(FOLDER, { recursive: true });
  await bundle(BUNDLE);
  writeFileSync(
    SEA_CONFIGURATION,
    JSON.stringify({
      main: BUNDLE,
      output: BLOB,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, [
    "--experimental-sea-config",
    SEA_CONFIGURATION,
  ]);
  rmSync(EXECUTABLE, { force: true });
  copyFileSync(process.execPath, EXECUTABLE);
  chmodSync(EXECUTABLE, 0o755);
  await inject(EXECUTABLE, "NODE_SEA_BLOB", readFileSync(BLOB), {
    sentinelFuse: FUSE,
  });
}

void buildExecutable();
