/**
 * Bundles the program once per test process, either unchanged or with a
 * mutation that the checks must detect.
 *
 * @module
 */
import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Plugin } from "esbuild";
import { bundle } from "../../tools/bundle.ts";

/** A change of one line of the program that breaks a guarantee. */
interface Mutation {
  file: string;
  from: string;
  to: string;
}

/** Mutations of the program, by name. */
export const MUTATIONS = {
  /** Retries non-idempotent requests whose response was lost. */
  second_try: {
    file: "src/core/dispatch/outcome_review.ts",
    from: "return request.route.isIdempotent\n    ?",
    to: "return request.mayHaveRun\n    ?",
  },
  /**
   * Reassigns the keys of an unresponsive server before its lease has expired.
   */
  no_wait: {
    file: "src/core/keyspace/term_holder.ts",
    from: "if (now >= this.#orders.heldUntil(range)) {",
    to: "if (now >= 0) {",
  },
  /** Ignores what servers state with their responses to requests. */
  ignored_statements: {
    file: "src/core/dispatch/outcome_review.ts",
    from: "    this.#applyStatement(attempt, outcome, now);\n",
    to: "",
  },
} satisfies Record<string, Mutation>;

/** Name of one of {@linkcode MUTATIONS}. */
export type MutationName = keyof typeof MUTATIONS;

const bundles = new Map<MutationName | null, Promise<string>>();

/** Returns the path of the bundle to run with Node.js. */
export function bundledProgram(mutation: MutationName | null): Promise<string> {
  const cached = bundles.get(mutation);
  if (cached !== undefined) return cached;
  const created = createBundle(mutation);
  bundles.set(mutation, created);
  return created;
}

async function createBundle(mutation: MutationName | null): Promise<string> {
  const file = join(mkdtempSync(join(tmpdir(), "plumloft-")), "plumloft.cjs");
  await bundle(
    file,
    mutation === null ? [] : [mutationPlugin(MUTATIONS[mutation])],
  );
  return file;
}

function mutationPlugin({ file, from, to }: Mutation): Plugin {
  const text = readFileSync(file, "utf8");
  if (!text.includes(from)) throw new Error(`${file} has no line "${from}"`);
  const contents = text.replace(from, to);
  const name = file.split("/").at(-1)!.replace(".", "\\.");
  return {
    name: "mutation",
    setup: (build) =>
      build.onLoad(
        { filter: new RegExp(`/${name}$`) },
        () => ({ contents, loader: "ts" }),
      ),
  };
}
