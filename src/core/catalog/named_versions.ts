/**
 * Versions of the configuration that messages of other VMs have named and that
 * this VM does not have yet.
 *
 * @module
 */

/**
 * Maximum number of versions that are kept. Beyond it, the newest one takes the
 * place of the second newest.
 */
const MAXIMUM_VERSIONS = 64;

interface NamedVersion {
  version: number;
  /** When it, or a newer one, was first named. */
  since: number;
}

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class NamedVersions {
  /** In ascending order of version and time. */
  #versions: NamedVersion[] = [];

  private constructor() {}

  /** Starts without versions. */
  static create(): NamedVersions {
    return new NamedVersions();
  }

  /** The newest version that was named and is missing; -1 if there is none. */
  get newest(): number {
    return this.#versions.at(-1)?.version ?? -1;
  }

  /**
   * Time since which this VM is known to lack some version; Infinity if it is
   * not.
   */
  get missingSince(): number {
    return this.#versions[0]?.since ?? Infinity;
  }

  /** Records that another VM has named `version`; `own` is this VM's. */
  name(version: number, own: number, now: number): void {
    if (version <= own || version <= this.newest) return;
    if (this.#versions.length >= MAXIMUM_VERSIONS) this.#versions.pop();
    this.#versions.push({ version, since: now });
  }

  /** Records that this VM has `version`, and therefore lacks no older one. */
  applied(version: number): void {
    this.#versions = this.#versions.filter((each) => each.version > version);
  }
}
