/**
 * Collects the body of a request or response that is being received. Small
 * chunks are copied into blocks: a buffer for each chunk of one byte would take
 * a hundred times its size.
 *
 * @module
 */

/**
 * Size of the first block. Each further one has twice the size of the one before
 * it, up to the maximum: blocks of 64 KB from the start would let a body of two
 * small chunks take 64 KB.
 */
const FIRST_BLOCK_BYTES = 1_024;
/** Maximum size of a block. */
const BLOCK_BYTES = 64 * 1_024;

/** See the module's comment. */
export class BodyBuffer {
  readonly #blocks: Buffer[] = [];
  /** Bytes used of the last block, which may have room for more. */
  #used = 0;
  /** Size of the next block. */
  #nextSize = FIRST_BLOCK_BYTES;

  private constructor() {}

  /** Creates an empty body. */
  static create(): BodyBuffer {
    return new BodyBuffer();
  }

  /**
   * Appends a chunk. Returns by how many bytes the allocated memory has changed;
   * negative if more was freed of the last block than the chunk takes.
   */
  add(chunk: Buffer): number {
    // Most bodies arrive in one chunk, which is then used as it is.
    if (this.#blocks.length === 0 || chunk.length >= BLOCK_BYTES / 2) {
      const freed = this.#shrinkLast();
      this.#blocks.push(chunk);
      this.#used = chunk.length;
      return chunk.length - freed;
    }
    let rest = chunk;
    let allocated = 0;
    while (rest.length > 0) {
      const last = this.#blocks.at(-1)!;
      const copied = rest.copy(last, this.#used);
      this.#used += copied;
      rest = rest.subarray(copied);
      if (rest.length === 0) break;
      this.#blocks.push(Buffer.allocUnsafeSlow(this.#nextSize));
      this.#used = 0;
      allocated += this.#nextSize;
      this.#nextSize = Math.min(this.#nextSize * 2, BLOCK_BYTES);
    }
    return allocated;
  }

  /** Returns the whole body and empties this object. */
  take(): Buffer {
    const blocks = this.#blocks.splice(0);
    const last = blocks.pop();
    if (last !== undefined) blocks.push(last.subarray(0, this.#used));
    this.#used = 0;
    this.#nextSize = FIRST_BLOCK_BYTES;
    return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks);
  }

  /** Frees the unused rest of the last block; returns its size in bytes. */
  #shrinkLast(): number {
    const last = this.#blocks.at(-1);
    if (last === undefined || last.length === this.#used) return 0;
    const copy = Buffer.allocUnsafeSlow(this.#used);
    last.copy(copy, 0, 0, this.#used);
    this.#blocks[this.#blocks.length - 1] = copy;
    return last.length - this.#used;
  }
}
