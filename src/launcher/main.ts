/**
 * Entry point of the program if it is installed as a folder of files: runs the
 * bundle in the same folder. The single executable `dist/plumloft` does not use
 * it.
 *
 * @module
 */
import { CompiledProgram } from "./compiled_program.ts";

const program = CompiledProgram.load(__dirname);
if (program.isCodeCacheRejected) {
  const line = {
    level: "warn",
    message: "code.refused",
    cause:
      "the code cache was made by another Node.js version or with other flags; startup takes longer",
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
program.run();
