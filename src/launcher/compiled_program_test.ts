import { existsSync, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { CompiledProgram } from "./compiled_program.ts";

/** Name of the global variable that the program sets. */
const GLOBAL = "compiledProgramTest";

/** Creates a folder with a program that records the folder it ran in. */
function createFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "plumloft-launcher-"));
  const source =
    `globalThis.${GLOBAL}=[__dirname,typeof require("node:fs").statSync];`;
  writeFileSync(join(folder, "program.cjs"), source);
  return folder;
}

const readResult = () => (globalThis as Record<string, unknown>)[GLOBAL];

test.serial("launcher: runs the program, and uses the written code cache the next time", (t) => {
  const folder = createFolder();
  const first = CompiledProgram.load(folder);
  first.run();
  t.deepEqual(readResult(), [folder, "function"]);
  first.writeCodeCache();
  t.true(existsSync(join(folder, "program.code")));
  const second = CompiledProgram.load(folder);
  t.false(second.isCodeCacheRejected);
  second.run();
  t.deepEqual(readResult(), [folder, "function"]);
});

test.serial("launcher: runs the program if V8 rejects the code cache", (t) => {
  const folder = createFolder();
  writeFileSync(join(folder, "program.code"), Buffer.alloc(200));
  const program = CompiledProgram.load(folder);
  t.true(program.isCodeCacheRejected);
  program.run();
  t.deepEqual(readResult(), [folder, "function"]);
});
