/**
 * When each peer was last heard.
 *
 * @module
 */

/** Times are monotonic milliseconds. */
export class Liveness {
  readonly #heard = new Map<string, number>();

  private constructor() {}

  /** Knows of nobody yet. */
  static create(): Liveness {
    return new Liveness();
  }

  /** Notes that `vm`, in its run `incarnation`, was heard. */
  hear(vm: string, incarnation: number, now: number): void {
    this.#heard.set(`${vm}#${incarnation}`, now);
  }

  /** When that run of `vm` was last heard; long ago if never. */
  lastHeard(vm: string, incarnation: number): number {
    return this.#heard.get(`${vm}#${incarnation}`) ?? -Infinity;
  }

  /** Forgets the runs that were not heard since `before`. */
  prune(before: number): void {
    for (const [key, at] of this.#heard) {
      if (at < before) this.#heard.delete(key);
    }
  }
}
