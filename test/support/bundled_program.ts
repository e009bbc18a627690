/**
 * The program as tests run it: bundled once for each test process.
 *
 * @module
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundle } from "../../tools/bundle.ts";

let bundled: Promise<string> | null = null;

/** The file to run with Node. */
export function bundledProgram(): Promise<string> {
  bundled ??= makeBundle();
  return bundled;
}

async function makeBundle(): Promise<string> {
  const file = join(mkdtempSync(join(tmpdir(), "plumloft-")), "plumloft.cjs");
  await bundle(file);
  return file;
}
