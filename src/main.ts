/**
 * Entry point of the binary.
 *
 * @module
 */
import { runCommandLine } from "./cli/index.ts";

/**
 * Number of arguments before the command: the paths of Node.js and the script.
 */
const LEADING_ARGUMENTS = 2;

void runCommandLine(process.argv.slice(LEADING_ARGUMENTS)).then(() => {
  // Idle keep-alive connections of libraries would keep the process running.
  process.exit();
});
