/**
 * Builds the program as files in the folder given by the first argument: a
 * launcher, the bundle, and the V8 code cache of the bundle. Further arguments
 * are the Node.js flags that the program will run with, since V8 accepts a code
 * cache only with the flags under which it was created.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { join } from "node:path";
import { bundle, bundleLauncher } from "./bundle.ts";

async function buildFolder(folder: string, flags: string[]): Promise<void> {
  await bundle(join(folder, "program.cjs"));
  await bundleLauncher(join(folder, "plumloft.cjs"));
  const generateCodeCache = [
    "--import=tsx",
    "tools/generate_code_cache.ts",
    folder,
  ];
  execFileSync(process.execPath, [...flags, ...generateCodeCache], {
    stdio: "inherit",
  });
}

const [folder, ...flags] = process.argv.slice(2);
void buildFolder(folder, flags);
