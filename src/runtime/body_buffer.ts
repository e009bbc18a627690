/**
 * Collects the body of a request or response that is being received. Small
 * chunks are copied into blocks: a buffer for each chunk of one byte would take
 * a hundred times its size.
 *
 * @module
 */

/** Size of the blocks in which a body is kept. */
const BLOCK_BYTES = 64 * 1_024;

/** See the module's comment. */
export class BodyBuffer {
  readonly #blocks: Buffer[] = [];
  /** Bytes used of the last block, which may have room for more. */
  #used = 0;

  private constructor() {}

  /** Creates an empty body. */
  static create(): BodyBuffer {
    return new BodyBuffer();
  }

  /** Appends a chunk. */
  add(chunk: Buffer): void {
    // Most bodies arrive in one chunk, which is then used as it is.
    if (this.#blocks.length === 0 || chunk.length >= BLOCK_BYTES / 2) {
      this.#closeLast();
      this.#blocks.push(chunk);
      this.#used = chunk.length;
      return;
    }
    let rest = chunk;
    while (rest.length > 0) {
      const last = this.#blocks.at(-1)!;
      const copied = rest.copy(last, this.#used);
      this.#used += copied;
      rest = rest.subarray(copied);
      if (rest.length === 0) return;
      this.#blocks.push(Buffer.allocUnsafeSlow(BLOCK_BYTES));
      this.#used = 0;
    }
  }

  /** Returns the whole body and empties this object. */
  take(): Buffer {
    this.#closeLast();
    const blocks = this.#blocks.splice(0);
    this.#used = 0;
    return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks);
  }

  /** Removes the unused rest of the last block. */
  #closeLast(): void {
    const last = this.#blocks.pop();
    if (last !== undefined) this.#blocks.push(last.subarray(0, this.#used));
  }
}
