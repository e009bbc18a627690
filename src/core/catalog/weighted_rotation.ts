/**
 * Divides requests among the destinations of a route by weight.
 *
 * @module
 */
import type { Destination } from "./configuration.ts";

/**
 * Smooth weighted round robin: any sequence of requests is divided by weight to within
 * one request per destination, so the shares hold over short periods too. A destination
 * without free capacity keeps its share.
 */
export class WeightedRotation {
  readonly #credits: number[];
  readonly #total: number;

  private constructor(private readonly destinations: readonly Destination[]) {
    this.#credits = destinations.map(() => 0);
    this.#total = destinations.reduce((sum, each) => sum + each.weight, 0);
  }

  /** Creates a rotation that begins with the destination of the highest weight. */
  static create(destinations: readonly Destination[]): WeightedRotation {
    return new WeightedRotation(destinations);
  }

  /** Returns the service for the next request. */
  next(): string {
    let best = 0;
    for (let i = 0; i < this.destinations.length; i++) {
      this.#credits[i] += this.destinations[i].weight;
      if (this.#credits[i] > this.#credits[best]) best = i;
    }
    this.#credits[best] -= this.#total;
    return this.destinations[best].service;
  }
}
