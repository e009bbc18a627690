/**
 * The hash that divides keys into slots: XXH32 with seed 0, by `xxhash-wasm`.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

/** Hashes a key to an unsigned number of 32 bits. */
export type KeyHash = (key: string) => number;

/** Loads the hash. */
export async function loadKeyHash(): Promise<KeyHash> {
  const { h32 } = await xxhash();
  return (key) => h32(key);
}
