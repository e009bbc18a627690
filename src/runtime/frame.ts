/**
 * Frames between peers: a four-byte big-endian length, then one CBOR value. The
 * highest bit of the length marks a deflated value.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Encoder } from "cbor-x";

/** Size of the length field, in bytes. */
const HEADER_LENGTH = 4;
/** Bit of the length field that marks a deflated value. */
const DEFLATED_FLAG = 0x8000_0000;
/** Maximum length of an accepted value, in bytes, deflated and inflated. */
export const MAXIMUM_FRAME_LENGTH = 16 * 1024 * 1024;
/**
 * Minimum length of a value that is deflated, in bytes. Below it, deflating
 * saves less than one network packet.
 */
const DEFLATE_THRESHOLD = 4_096;
/**
 * The fastest level: most of a large message is repeated names, which every
 * level compresses well.
 */
const DEFLATE_LEVEL = 1;

/** Version of the protocol between processes. */
export const PROTOCOL_VERSION = 2;

const codec = new Encoder({ useRecords: false });

/**
 * Encodes a value as one frame. Only peers that accept deflated frames can
 * decode it if `mayDeflate`.
 */
export function encodeFrame(
  value: { kind: string; [field: string]: unknown },
  mayDeflate = false,
): Buffer {
  const body = codec.encode(value);
  if (!mayDeflate || body.length < DEFLATE_THRESHOLD) return frameOf(body, 0);
  return frameOf(
    deflateRawSync(body, { level: DEFLATE_LEVEL }),
    DEFLATED_FLAG,
  );
}

function frameOf(body: Buffer, flag: number): Buffer {
  const header = Buffer.allocUnsafe(HEADER_LENGTH);
  header.writeUInt32BE(flag + body.length, 0);
  return Buffer.concat([header, body]);
}

/** Decodes frames from a stream of bytes. */
export class FrameDecoder {
  #chunks: Buffer[] = [];
  /** Total length of the chunks, in bytes. */
  #bufferedLength = 0;
  /**
   * Number of buffered bytes needed to continue decoding: the length field of
   * the next frame, or the whole frame once its length is known.
   */
  #requiredLength = HEADER_LENGTH;

  private constructor() {}

  /** Creates a decoder at the start of a stream. */
  static create(): FrameDecoder {
    return new FrameDecoder();
  }

  /**
   * Adds bytes and returns the values that are now complete. Throws on an
   * invalid frame.
   */
  push(bytes: Buffer): unknown[] {
    this.#chunks.push(bytes);
    this.#bufferedLength += bytes.length;
    const values: unknown[] = [];
    // Chunks are concatenated only when a frame is complete: a large one
    // arrives in hundreds of chunks.
    while (this.#bufferedLength >= this.#requiredLength) {
      const pending = this.#chunks.length === 1
        ? this.#chunks[0]
        : Buffer.concat(this.#chunks);
      this.#chunks = [pending];
      const lengthField = pending.readUInt32BE(0);
      const isDeflated = lengthField >= DEFLATED_FLAG;
      const end = HEADER_LENGTH +
        (isDeflated ? lengthField - DEFLATED_FLAG : lengthField);
      checkLength(end - HEADER_LENGTH);
      this.#requiredLength = end;
      if (this.#bufferedLength < end) break;
      values.push(decodeBody(pending.subarray(HEADER_LENGTH, end), isDeflated));
      this.#chunks = [pending.subarray(end)];
      this.#bufferedLength -= end;
      this.#requiredLength = HEADER_LENGTH;
    }
    return values;
  }
}

function checkLength(length: number): void {
  if (length <= MAXIMUM_FRAME_LENGTH) return;
  throw new RangeError(
    `expected a frame of at most ${MAXIMUM_FRAME_LENGTH} bytes, found ${length}`,
  );
}

function decodeBody(body: Buffer, isDeflated: boolean): unknown {
  if (!isDeflated) return codec.decode(body);
  return codec.decode(
    inflateRawSync(body, { maxOutputLength: MAXIMUM_FRAME_LENGTH }),
  );
}
