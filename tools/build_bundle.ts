/**
 * Builds the program as files in the folder that the argument names: a launcher,
 * the bundle, and the code that V8 makes of it. Further arguments are the flags
 * of Node under which the program will run, since code holds for those only.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { join } from "node:path";
import { bundle, bundleLauncher } from "./bundle.ts";

async function buildFolder(folder: string, flags: string[]): Promise<void> {
  await bundle(join(folder, "program.cjs"));
  await bundleLauncher(join(folder, "plumloft.cjs"));
  const warmUp = ["--import=tsx", "tools/make_code.ts", folder];
  execFileSync(process.execPath, [...flags, ...warmUp], { stdio: "inherit" });
}

const [folder, ...flags] = process.argv.slice(2);
void buildFolder(folder, flags);
