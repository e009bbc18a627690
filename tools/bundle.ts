/**
 * Bundles the program into CommonJS files.
 *
 * @module
 */
import { build, type BuildOptions, type Plugin } from "esbuild";

/**
 * Inside the executable, the built-in `require` prints warnings for the modules
 * that libraries resolve, so the banner replaces it. `bundleUrl` replaces
 * `import.meta.url`.
 */
const BANNER = `
require = require("node:module").createRequire(__filename);
const bundleUrl = require("node:url").pathToFileURL(__filename).href;
`;

const OPTIONS: BuildOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  // V8 keeps the source in memory, with two bytes per character if it contains
  // any character beyond Latin-1. Most of those are in the comments of
  // libraries, which are removed; the others are escaped.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
  charset: "ascii",
  logLevel: "error",
};

/** Bundles `src/main.ts` into `file`; `plugins` may transform sources. */
export async function bundle(
  file: string,
  plugins: Plugin[] = [],
): Promise<void> {
  await build({
    ...OPTIONS,
    plugins,
    entryPoints: ["src/main.ts"],
    outfile: file,
    // CommonJS has no import.meta, but yargs reads its URL.
    define: { "import.meta.url": "bundleUrl" },
    banner: { js: BANNER },
  });
}

/** Bundles the launcher into `file`. */
export async function bundleLauncher(file: string): Promise<void> {
  await build({
    ...OPTIONS,
    entryPoints: ["src/launcher/main.ts"],
    outfile: file,
  });
}
