/**
 * Tells whether two requests are the same one, sent again: by its method, host, path
 * and body, whatever connection, VM or id it comes by. Nor does it matter from which
 * network address: callers have clients in several availability zones, each with an
 * address of its own.
 *
 * SHA-256 cut to 96 bits for each part, so that no caller finds a request that
 * passes for another one. A fingerprint is worked out when it is first asked for:
 * most requests never need theirs, and a body is hashed once at the most.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Characters of base64 that are kept of a digest: 96 bits. */
const DIGEST_LENGTH = 16;
/** Stands between the parts of what is hashed; none of them may hold it. */
const SEPARATOR = "\n";

/** What a request's fingerprint is made of. */
export interface FingerprintParts {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Uint8Array;
}

/** See the module's comment. */
export class Fingerprint {
  #head: string | null = null;
  #whole: string | null = null;

  private constructor(private readonly parts: FingerprintParts) {}

  /** The fingerprint of a request; nothing is hashed yet. */
  static create(parts: FingerprintParts): Fingerprint {
    return new Fingerprint(parts);
  }

  /** The part without the body: cheap, and enough to tell most requests from a
   * known one. */
  get head(): string {
    const { method, host, target } = this.parts;
    return this.#head ??= digest([method, host, target].join(SEPARATOR));
  }

  /** All of it; begins with the head. */
  get whole(): string {
    return this.#whole ??= this.#withBody();
  }

  #withBody(): string {
    const { body } = this.parts;
    return body.length === 0 ? this.head : `${this.head}.${digest(body)}`;
  }
}

/** The head of a whole fingerprint. */
export function headOf(whole: string): string {
  return whole.slice(0, DIGEST_LENGTH);
}

function digest(data: string | Uint8Array): string {
  return createHash("sha256").update(data).digest("base64url")
    .slice(0, DIGEST_LENGTH);
}
