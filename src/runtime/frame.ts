/**
 * Frames between peers: four bytes of length, most significant first, then one
 * value in CBOR.
 *
 * @module
 */
import { Encoder } from "cbor-x";

/** Bytes of the length. */
const HEADER = 4;
/** Largest frame that is accepted, in bytes. */
export const MAXIMUM_FRAME = 16 * 1024 * 1024;

/** Number of the protocol between processes. */
export const PROTOCOL = 2;

const codec = new Encoder({ useRecords: false });

/** A value as one frame. */
export function encodeFrame(value: { kind: string }): Buffer {
  const body = codec.encode(value);
  const frame = Buffer.allocUnsafe(HEADER + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER);
  return frame;
}

/** Takes frames out of a stream of bytes. */
export class FrameDecoder {
  #pending: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** A decoder at the start of a stream. */
  static create(): FrameDecoder {
    return new FrameDecoder();
  }

  /** The values that are complete now. Throws on what is not a frame. */
  push(bytes: Buffer): unknown[] {
    this.#pending = this.#pending.length === 0
      ? bytes
      : Buffer.concat([this.#pending, bytes]);
    const values: unknown[] = [];
    while (this.#pending.length >= HEADER) {
      const length = this.#pending.readUInt32BE(0);
      if (length > MAXIMUM_FRAME) {
        throw new RangeError(
          `expected a frame of at most ${MAXIMUM_FRAME} bytes, found ${length}`,
        );
      }
      if (this.#pending.length < HEADER + length) break;
      const body = this.#pending.subarray(HEADER, HEADER + length);
      values.push(codec.decode(body));
      this.#pending = this.#pending.subarray(HEADER + length);
    }
    return values;
  }
}
