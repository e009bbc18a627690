/**
 * Frames between peers: four bytes of length, most significant first, then one
 * value in CBOR. The highest bit of the length says that the value is deflated.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Encoder } from "cbor-x";

/** Bytes of the length. */
const HEADER = 4;
/** Bit of the length that says that the value is deflated. */
const DEFLATED = 0x8000_0000;
/** Largest frame that is accepted, in bytes, also once it is inflated. */
export const MAXIMUM_FRAME = 16 * 1024 * 1024;
/** Smallest value that is deflated, in bytes: below it what is saved is less than a
 * packet. */
const DEFLATE_FROM = 4_096;
/** The fastest level: names that repeat make most of a large message, and all levels
 * find them. */
const DEFLATE_LEVEL = 1;

/** Number of the protocol between processes. */
export const PROTOCOL_VERSION = 2;

const codec = new Encoder({ useRecords: false });

/** A value as one frame, for peers that take deflated ones or for all. */
export function encodeFrame(
  value: { kind: string },
  mayDeflate = false,
): Buffer {
  const body = codec.encode(value);
  if (!mayDeflate || body.length < DEFLATE_FROM) return frame(body, 0);
  return frame(deflateRawSync(body, { level: DEFLATE_LEVEL }), DEFLATED);
}

function frame(body: Buffer, flag: number): Buffer {
  const header = Buffer.allocUnsafe(HEADER);
  header.writeUInt32BE(flag + body.length, 0);
  return Buffer.concat([header, body]);
}

/** Takes frames out of a stream of bytes. */
export class FrameDecoder {
  #chunks: Buffer[] = [];
  /** Bytes in the chunks. */
  #length = 0;
  /** Bytes that the frame at the front needs, as far as is known. */
  #needed = HEADER;

  private constructor() {}

  /** A decoder at the start of a stream. */
  static create(): FrameDecoder {
    return new FrameDecoder();
  }

  /** The values that are complete now. Throws on what is not a frame. */
  push(bytes: Buffer): unknown[] {
    this.#chunks.push(bytes);
    this.#length += bytes.length;
    const values: unknown[] = [];
    // Chunks are joined only once a frame is whole: a large one comes in hundreds.
    while (this.#length >= this.#needed) {
      const pending = this.#chunks.length === 1
        ? this.#chunks[0]
        : Buffer.concat(this.#chunks);
      this.#chunks = [pending];
      const head = pending.readUInt32BE(0);
      const isDeflated = head >= DEFLATED;
      const end = HEADER + (isDeflated ? head - DEFLATED : head);
      refuseOverlong(end - HEADER);
      this.#needed = end;
      if (this.#length < end) break;
      values.push(decodeBody(pending.subarray(HEADER, end), isDeflated));
      this.#chunks = [pending.subarray(end)];
      this.#length -= end;
      this.#needed = HEADER;
    }
    return values;
  }
}

function refuseOverlong(length: number): void {
  if (length <= MAXIMUM_FRAME) return;
  throw new RangeError(
    `expected a frame of at most ${MAXIMUM_FRAME} bytes, found ${length}`,
  );
}

function decodeBody(body: Buffer, isDeflated: boolean): unknown {
  if (!isDeflated) return codec.decode(body);
  return codec.decode(inflateRawSync(body, { maxOutputLength: MAXIMUM_FRAME }));
}
