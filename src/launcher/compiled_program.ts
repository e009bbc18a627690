/**
 * The bundled program with the code that V8 made of it at build time.
 *
 * Compiling the bundle is a third of the processor time of a start, and a VM
 * that was killed takes no callers until its process has started again. Code
 * made by another version of Node or under other flags is refused by V8, and
 * the program is then compiled as usual.
 *
 * @module
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";

/** The bundle, ASCII only, beside the launcher. */
const PROGRAM = "program.cjs";
/** The code that was made of it. */
const CODE = "program.code";

/** What a CommonJS module is called with. */
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
    code: Buffer | undefined,
  ) {
    const source = readFileSync(file, "latin1");
    this.#script = new Script(
      `(function(exports,require,module,__filename,__dirname){${source}\n})`,
      { filename: file, cachedData: code },
    );
  }

  /** The program in `folder`, with its code where that was made. */
  static load(folder: string): CompiledProgram {
    const code = join(folder, CODE);
    return new CompiledProgram(
      join(folder, PROGRAM),
      existsSync(code) ? readFileSync(code) : undefined,
    );
  }

  /** Whether there was code that this Node does not take. */
  get isCodeRefused(): boolean {
    return this.#script.cachedDataRejected === true;
  }

  /** Runs the program as the process's own. */
  run(): void {
    const main = this.#script.runInThisContext() as ModuleFunction;
    const module = { exports: {} };
    const folder = dirname(this.file);
    main(module.exports, createRequire(this.file), module, this.file, folder);
  }

  /** Writes the code of all functions that have run so far. */
  writeCode(): void {
    const code = join(dirname(this.file), CODE);
    writeFileSync(code, this.#script.createCachedData());
  }
}
