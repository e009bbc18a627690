/**
 * Bundles the program into CommonJS files.
 *
 * @module
 */
import { build, type BuildOptions, type Plugin } from "esbuild";

/** Inside the executable, Node's own `require` warns of what libraries look up. */
const BANNER = `
require = require("node:module").createRequire(__filename);
const bundleUrl = require("node:url").pathToFileURL(__filename).href;
`;

const OPTIONS: BuildOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // The text of the program stays in memory, in two bytes for each character
  // if one of them needs it; comments of libraries are most of those.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
  charset: "ascii",
  logLevel: "error",
};

/** Writes the bundle of `src/main.ts` to `file`; `plugins` may change sources. */
export async function bundle(
  file: string,
  plugins: Plugin[] = [],
): Promise<void> {
  await build({
    ...OPTIONS,
    plugins,
    entryPoints: ["src/main.ts"],
    outfile: file,
    // CommonJS has no import.meta; yargs asks for its URL.
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: BANNER },
  });
}

/** Writes the bundle of the launcher to `file`. */
export async function bundleLauncher(file: string): Promise<void> {
  await build({
    ...OPTIONS,
    entryPoints: ["src/launcher/main.ts"],
    outfile: file,
  });
}
