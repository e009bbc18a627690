/**
 * Fingerprints that identify a request by its method, host, path, query and
 * body. Retries of a request have the same fingerprint, whatever their
 * connection, VM and request id. The network address of the client is not part
 * of it either: callers have clients in several availability zones, each with
 * its own address.
 *
 * Each part is a SHA-256 digest truncated to 96 bits, so that no caller can
 * construct a request with the fingerprint of another one. Digests are computed
 * lazily: most requests never need theirs, and a body is hashed at most once.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Number of base64 characters in a truncated digest: 96 bits. */
const DIGEST_LENGTH = 16;
/** Separates the hashed parts, none of which can contain it. */
const SEPARATOR = "\n";

/** The parts of a request that its fingerprint covers. */
export interface FingerprintParts {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Uint8Array;
}

/** Fingerprint of one request. */
export class Fingerprint {
  #head: string | null = null;
  #complete: string | null = null;

  private constructor(private readonly parts: FingerprintParts) {}

  /** The fingerprint of a request; its digests are computed on first use. */
  static create(parts: FingerprintParts): Fingerprint {
    return new Fingerprint(parts);
  }

  /**
   * Digest of method, host, path and query, without the body: cheap to compute,
   * and enough to tell most requests apart.
   */
  get head(): string {
    const { method, host, target } = this.parts;
    return this.#head ??= digest([method, host, target].join(SEPARATOR));
  }

  /**
   * Digest of the whole request: {@linkcode head}, followed by the digest of
   * the body unless the body is empty.
   */
  get complete(): string {
    return this.#complete ??= this.#compute();
  }

  #compute(): string {
    const { body } = this.parts;
    return body.length === 0 ? this.head : `${this.head}.${digest(body)}`;
  }
}

/** Returns the {@linkcode Fingerprint.head} of a complete fingerprint. */
export function headOf(fingerprint: string): string {
  return fingerprint.slice(0, DIGEST_LENGTH);
}

function digest(data: string | Uint8Array): string {
  return createHash("sha256").update(data).digest("base64url")
    .slice(0, DIGEST_LENGTH);
}
