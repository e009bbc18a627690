/**
 * Entry point of the binary.
 *
 * @module
 */
import { runCommandLine } from "./cli/index.ts";

void runCommandLine(process.argv.slice(2));
