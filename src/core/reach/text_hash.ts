/**
 * Hash of short texts, for choices that must be the same each time.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the FNV-1a hash of a text's UTF-16 code units, 32 bits. */
export function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  // The last character alone would change only the lower bits.
  hash ^= hash >>> 15;
  return Math.imul(hash, FNV_PRIME) >>> 0;
}
