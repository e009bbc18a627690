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

/** Number of the protocol; another list of structures is another protocol. */
export const PROTOCOL = 1;

/**
 * The fields of the messages that are sent all the time. Both sides know them,
 * so their names are not sent.
 */
const STRUCTURES = [
  ["kind", "incarnation", "sequence", "adopted", "drained"],
  ["kind", "incarnation", "sequence", "floor", "adopted", "member"],
  ["kind", "incarnation", "adopted", "drained"],
  ["term", "version"],
];

/**
 * Kinds of messages that consist of those structures alone. All others go with
 * the names of their fields: `cbor-x` mixes up the structures of values that
 * nest both known ones and many of their own.
 */
const COMPACT_KINDS = new Set([
  "renewal.asked",
  "renewal.answered",
  "view.adopted",
]);

const plain = new Encoder({ useRecords: false });
const compact = createCodec();

/** A codec of its own: one keeps state about what it has encoded. */
function createCodec(): Encoder {
  const structures = STRUCTURES.map((fields) => [...fields]);
  return new Encoder(
    {
      useRecords: true,
      mapsAsObjects: true,
      structures,
      maxSharedStructures: structures.length,
    } as ConstructorParameters<typeof Encoder>[0],
  );
}

/** A value as one frame. */
export function encodeFrame(value: { kind: string }): Buffer {
  const encoder = COMPACT_KINDS.has(value.kind) ? compact : plain;
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(HEADER + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER);
  return frame;
}

/** Takes frames out of a stream of bytes. */
export class FrameDecoder {
  #pending: Buffer = Buffer.alloc(0);
  readonly #codec = createCodec();

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
      values.push(this.#codec.decode(body));
      this.#pending = this.#pending.subarray(HEADER + length);
    }
    return values;
  }
}
