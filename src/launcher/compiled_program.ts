/**
 * Loads the bundled program with the V8 code cache that was written at build
 * time.
 *
 * Without the cache, compiling the bundle takes a third of the processor time
 * of a start, and a VM whose process was killed accepts no callers until it has
 * started again. V8 rejects a code cache that was made by another version of
 * Node.js or with other flags; the program is then compiled as usual.
 *
 * @module
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";

/**
 * File name of the bundle in the launcher's folder. The bundle is pure ASCII.
 */
const PROGRAM_FILE = "program.cjs";
/** File name of the V8 code cache of the bundle, in the same folder. */
const CODE_CACHE_FILE = "program.code";

/** The function in which Node.js wraps a CommonJS module. */
type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  file: string,
  folder: string,
) => void;

/**
 * See the module's comment.
 *
 * ```ts
 * CompiledProgram.load("target").run();
 * ```
 */
export class CompiledProgram {
  readonly #script: Script;

  private constructor(
    private readonly file: string,
    codeCache: Buffer | undefined,
  ) {
    const source = readFileSync(file, "latin1");
    this.#script = new Script(
      `(function(exports,require,module,__filename,__dirname){${source}\n})`,
      { filename: file, cachedData: codeCache },
    );
  }

  /** Loads the program in `folder`, with its code cache if there is one. */
  static load(folder: string): CompiledProgram {
    const cacheFile = join(folder, CODE_CACHE_FILE);
    return new CompiledProgram(
      join(folder, PROGRAM_FILE),
      existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
    );
  }

  /** Whether there was a code cache that V8 rejected. */
  get isCodeCacheRejected(): boolean {
    return this.#script.cachedDataRejected === true;
  }

  /** Runs the program as the main module of this process. */
  run(): void {
    const main = this.#script.runInThisContext() as ModuleFunction;
    const module = { exports: {} };
    const folder = dirname(this.file);
    main(module.exports, createRequire(this.file), module, this.file, folder);
  }

  /** Writes the code cache of all functions that have run so far. */
  writeCodeCache(): void {
    const cacheFile = join(dirname(this.file), CODE_CACHE_FILE);
    writeFileSync(cacheFile, this.#script.createCachedData());
  }
}
