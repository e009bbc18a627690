/**
 * Which servers that hold keys cannot do all that is asked of them, as the term
 * holder sees it from the reports of all VMs. A VM that sends one request in some
 * seconds to a server does not know that the server is full.
 *
 * @module
 */
import type { Beliefs } from "../beliefs.ts";
import {
  DEMAND_WINDOW,
  type KeyLimit,
  type KeyLoads,
  limitsOf,
  type TermHolder,
} from "../keyspace/index.ts";
import { MAXIMUM_RATES, type OverloadState } from "../peers/index.ts";

/** Pause between looks, in milliseconds: half of that between two reports. */
const INTERVAL = 250;
/** Requests from which on a server's load is told, in multiples of its slots. One
 * that has no more will have room by the time the others hear of it. */
const TOLD_LOAD = 2;
/** Most servers that are told of in one answer; bounds its size. */
const MOST_LOADS = 64;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class CrowdingWatch {
  #current: OverloadState = { limits: [], loads: [], rates: [] };
  #lookedAt = -Infinity;

  private constructor(
    private readonly beliefs: Beliefs,
    private readonly loads: KeyLoads,
  ) {}

  /** A watch that has seen nothing. */
  static create(beliefs: Beliefs, loads: KeyLoads): CrowdingWatch {
    return new CrowdingWatch(beliefs, loads);
  }

  /** What was seen at the last look. */
  get current(): OverloadState {
    return this.#current;
  }

  /** Looks again if it is time to; this VM goes by what it sees too. */
  advance(holder: TermHolder, now: number): void {
    if (now - this.#lookedAt < INTERVAL) return;
    this.#lookedAt = now;
    const { catalog, fleet, keyLimits } = this.beliefs;
    const services = catalog.keyedServices.map(({ name }) => name);
    const limits = services.flatMap((service) => {
      const keys = this.loads.of(service).newest(DEMAND_WINDOW, now);
      const ranges = holder.ranges(service);
      return limitsOf(service, ranges, keys, DEMAND_WINDOW, fleet, now);
    });
    const loads = services.flatMap((service) => this.#fullServers(service, now))
      .slice(0, MOST_LOADS);
    this.#noteChanges(limits);
    const rates = fleet.statedRates(now).slice(0, MAXIMUM_RATES);
    this.#current = { limits, loads, rates };
    keyLimits.take(limits, now);
  }

  /** Writes a line for each range whose limit begins or ends. */
  #noteChanges(limits: readonly KeyLimit[]): void {
    const { limits: before } = this.#current;
    for (const { service, first, last, share } of limits) {
      if (before.some((each) => isSame(each, { service, first }))) continue;
      const detail = { service, first, last, share };
      this.beliefs.note("keys.limited", detail);
    }
    for (const { service, first, last } of before) {
      if (limits.some((each) => isSame(each, { service, first }))) continue;
      this.beliefs.note("keys.unlimited", { service, first, last });
    }
  }

  #fullServers(service: string, now: number): OverloadState["loads"] {
    return this.beliefs.fleet.of(service).flatMap((server) => {
      const stated = server.statedLoad(now);
      const least = server.entry.slots * TOLD_LOAD;
      if (stated === null || stated.requests < least) return [];
      return [{ server: server.id, ...stated }];
    });
  }
}

/** Whether two limits are on the range that begins at the same key. */
function isSame(
  a: Pick<KeyLimit, "service" | "first">,
  b: Pick<KeyLimit, "service" | "first">,
): boolean {
  return a.service === b.service && a.first === b.first;
}
