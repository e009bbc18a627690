/**
 * The program as tests run it: bundled once for each test process, as it is or
 * with a weakness that the checks have to find.
 *
 * @module
 */
import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Plugin } from "esbuild";
import { bundle } from "../../tools/bundle.ts";

/** A change of one line of the program that breaks a promise. */
interface Weakening {
  file: string;
  sound: string;
  weak: string;
}

/** Weak copies of the program. */
export const WEAKNESSES = {
  /** Non-idempotent work whose answer is lost is sent again. */
  second_try: {
    file: "src/core/dispatch/outcome_review.ts",
    sound: "return request.route.isIdempotent\n    ?",
    weak: "return request.mayHaveRun\n    ?",
  },
  /** Keys of a server that does not answer are given away at once. */
  no_wait: {
    file: "src/core/keyspace/term_holder.ts",
    sound: "if (now >= this.#orders.heldUntil(range)) {",
    weak: "if (now >= 0) {",
  },
} satisfies Record<string, Weakening>;

/** See {@linkcode WEAKNESSES}. */
export type Weakness = keyof typeof WEAKNESSES;

const bundles = new Map<Weakness | null, Promise<string>>();

/** The file to run with Node. */
export function bundledProgram(weakness: Weakness | null): Promise<string> {
  const known = bundles.get(weakness);
  if (known !== undefined) return known;
  const made = makeBundle(weakness);
  bundles.set(weakness, made);
  return made;
}

async function makeBundle(weakness: Weakness | null): Promise<string> {
  const file = join(mkdtempSync(join(tmpdir(), "plumloft-")), "plumloft.cjs");
  await bundle(file, weakness === null ? [] : [weaken(WEAKNESSES[weakness])]);
  return file;
}

function weaken({ file, sound, weak }: Weakening): Plugin {
  const text = readFileSync(file, "utf8");
  if (!text.includes(sound)) throw new Error(`${file} has no line "${sound}"`);
  const contents = text.replace(sound, weak);
  const name = file.split("/").at(-1)!.replace(".", "\\.");
  return {
    name: "weaken",
    setup: (build) =>
      build.onLoad(
        { filter: new RegExp(`/${name}$`) },
        () => ({ contents, loader: "ts" }),
      ),
  };
}
