/**
 * Entry point of the binary.
 *
 * @module
 */
import { runCommandLine } from "./cli/index.ts";

/** Arguments before those of the command: the program and its script. */
const OWN_ARGUMENTS = 2;

void runCommandLine(process.argv.slice(OWN_ARGUMENTS)).then(() => {
  // Connections that libraries keep warm must not outlive the command.
  process.exit();
});
