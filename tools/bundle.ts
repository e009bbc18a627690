/**
 * Bundles the program into one CommonJS file.
 *
 * @module
 */
import { build } from "esbuild";

/** Inside the executable, Node's own `require` warns of what libraries look up. */
const BANNER = `
require = require("node:module").createRequire(__filename);
const bundleUrl = require("node:url").pathToFileURL(__filename).href;
`;

/** Writes the bundle of `src/main.ts` to `file`. */
export async function bundle(file: string): Promise<void> {
  await build({
    entryPoints: ["src/main.ts"],
    outfile: file,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // The text of the program stays in memory, in two bytes for each character
    // if one of them needs it; comments of libraries are most of those.
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    logLevel: "error",
    // CommonJS has no import.meta; yargs asks for its URL.
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: BANNER },
  });
}
