/**
 * Divides requests among the destinations of a route by weight.
 *
 * @module
 */
import type { Destination } from "./configuration.ts";

/**
 * Smooth weighted round robin. Within any sequence of requests, each
 * destination receives its share to within one request, so the shares are
 * correct over short periods too. They do not depend on the capacity that a
 * destination has left.
 */
export class WeightedRotation {
  /** Requests that each destination is owed, multiplied by the total weight. */
  readonly #credits: number[];
  readonly #totalWeight: number;

  private constructor(private readonly destinations: readonly Destination[]) {
    this.#credits = destinations.map(() => 0);
    this.#totalWeight = destinations.reduce(
      (sum, each) => sum + each.weight,
      0,
    );
  }

  /**
   * Creates a rotation that begins with the destination of the highest weight.
   */
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
    this.#credits[best] -= this.#totalWeight;
    return this.destinations[best].service;
  }
}
