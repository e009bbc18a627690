/**
 * Seeded random numbers: the core draws none that its seed does not determine.
 *
 * @module
 */
import { uniformFloat64 as draw } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of numbers in [0, 1) that depends on nothing but its seed. */
export function uniformFloat64(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => draw(generator);
}
