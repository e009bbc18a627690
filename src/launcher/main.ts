/**
 * Entry point of the program where it runs from a folder of files: runs the
 * bundle beside it. The executable `dist/plumloft` does without.
 *
 * @module
 */
import { CompiledProgram } from "./compiled_program.ts";

const program = CompiledProgram.load(__dirname);
if (program.isCodeRefused) {
  const line = {
    level: "warn",
    message: "code.refused",
    cause: "made by another Node or under other flags; starts take longer",
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
program.run();
