/**
 * Builds `dist/plumloft`, one executable that needs nothing beside it: the
 * bundle inside a copy of Node (a single executable application).
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
const CONFIGURATION = `${FOLDER}/sea.json`;
const EXECUTABLE = `${FOLDER}/plumloft`;
/** Marks the place in Node's executable, as its manual gives it. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

async function buildExecutable(): Promise<void> {
  mkdirSync(FOLDER, { recursive: true });
  await bundle(BUNDLE);
  writeFileSync(
    CONFIGURATION,
    JSON.stringify({
      main: BUNDLE,
      output: BLOB,
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(process.execPath, ["--experimental-sea-config", CONFIGURATION]);
  rmSync(EXECUTABLE, { force: true });
  copyFileSync(process.execPath, EXECUTABLE);
  chmodSync(EXECUTABLE, 0o755);
  await inject(EXECUTABLE, "NODE_SEA_BLOB", readFileSync(BLOB), {
    sentinelFuse: FUSE,
  });
}

void buildExecutable();
