/**
 * Bundles the program into the file that the argument names.
 *
 * @module
 */
import { bundle } from "./bundle.ts";

void bundle(process.argv[2]);
