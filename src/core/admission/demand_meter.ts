/**
 * Counts the requests that this VM receives, by service and priority, for its
 * reports to the term holder.
 *
 * @module
 */
import {
  MAXIMUM_SERVICE_ENTRIES,
  type PriorityDemand,
} from "../peers/peer_message.ts";

/** See the module's comment. */
export class DemandMeter {
  readonly #demands = new Map<string, PriorityDemand>();

  private constructor() {}

  /** Creates a meter that has counted nothing. */
  static create(): DemandMeter {
    return new DemandMeter();
  }

  /**
   * Records the arrival of a request; `isReturn` if its caller was refused
   * before.
   */
  arrived(service: string, priority: number, isReturn: boolean): void {
    const demand = this.#demandOf(service, priority);
    if (demand === null) return;
    demand.arrived += 1;
    if (isReturn) demand.returned += 1;
  }

  /** Records the refusal of a request with a time to return. */
  refused(service: string, priority: number): void {
    const demand = this.#demandOf(service, priority);
    if (demand !== null) demand.refused += 1;
  }

  /** Returns the counts since the last call. */
  take(): PriorityDemand[] {
    const demands = [...this.#demands.values()];
    this.#demands.clear();
    return demands;
  }

  /** Counts of a service and priority; null if there are too many. */
  #demandOf(service: string, priority: number): PriorityDemand | null {
    const key = `${priority} ${service}`;
    const known = this.#demands.get(key);
    if (known !== undefined) return known;
    if (this.#demands.size >= MAXIMUM_SERVICE_ENTRIES) return null;
    const demand = { service, priority, arrived: 0, returned: 0, refused: 0 };
    this.#demands.set(key, demand);
    return demand;
  }
}
