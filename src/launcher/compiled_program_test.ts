import { existsSync, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { CompiledProgram } from "./compiled_program.ts";

const KEY = "compiledProgramTest";

/** A folder with a program that notes where it ran. */
function createFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "plumloft-launcher-"));
  const source =
    `globalThis.${KEY}=[__dirname,typeof require("node:fs").statSync];`;
  writeFileSync(join(folder, "program.cjs"), source);
  return folder;
}

const ran = () => (globalThis as Record<string, unknown>)[KEY];

test.serial("launcher: runs the program, with its code from then on", (t) => {
  const folder = createFolder();
  const first = CompiledProgram.load(folder);
  first.run();
  t.deepEqual(ran(), [folder, "function"]);
  first.writeCode();
  t.true(existsSync(join(folder, "program.code")));
  const second = CompiledProgram.load(folder);
  t.false(second.isCodeRefused);
  second.run();
  t.deepEqual(ran(), [folder, "function"]);
});

test.serial("launcher: code that V8 refuses does not stop the program", (t) => {
  const folder = createFolder();
  writeFileSync(join(folder, "program.code"), Buffer.alloc(200));
  const program = CompiledProgram.load(folder);
  t.true(program.isCodeRefused);
  program.run();
  t.deepEqual(ran(), [folder, "function"]);
});
