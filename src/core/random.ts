/**
 * Seeded random numbers. The core draws no others, so that a simulation can be
 * repeated.
 *
 * @module
 */
import { uniformFloat64 as draw } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a generator of uniform numbers in [0, 1) that depends on its seed
 * alone.
 */
export function createUniformGenerator(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => draw(generator);
}
