/**
 * How much of the demand for some keys may be sent on, where their server cannot
 * do all of it.
 *
 * A key has one server, so a key that is asked for more often than that server can
 * answer overloads it whatever is decided about the others. Each of many VMs sees
 * too little of it to know: on 195 VMs a key with a fifth of 400 requests a second
 * was sent to its server by all of them, 9 of 10 ended by a reset of its full
 * queue, nearly twice each, and what got through waited there beyond its target.
 * The term holder sees the demand of all VMs. It tells them which share of the
 * requests for such keys has room; each VM refuses the others at once.
 *
 * ```ts
 * const keys = load.newest(DEMAND_WINDOW, now); // at the term holder
 * const limits = limitsOf(service, ranges, keys, DEMAND_WINDOW, fleet, now);
 * keyLimits.take(limits, now); // at each VM
 * if (chance >= keyLimits.share(service, key, now)) refuse();
 * ```
 *
 * @module
 */
import * as z from "zod";
import type { Fleet } from "../fleet/index.ts";
import { type KeyRange, keyRangeSchema } from "./assignment.ts";
import type { HeldRange } from "./held_range.ts";
import { samplesIn } from "./key_load.ts";

/** Age of the requests that demand is measured by, in milliseconds: long enough
 * that chance does not look like overload, short enough to follow a key that
 * becomes busy. */
export const DEMAND_WINDOW = 1_500;
/** Share of what a server can do that is let through where demand is above it:
 * with three slots and requests that come at random, one waits for as long as its
 * work then, and four times as long at 0.95. */
const USED_CAPACITY = 0.85;
/** Standard deviations by which demand must be above what the server can do. Work
 * that takes a second leaves few requests to a server in the window: with one, a
 * twentieth of the servers that carried three quarters of what they can do were
 * limited by chance at any time (worked out); with two, one of 2,500. */
const SIGNIFICANCE = 2;
/** Time for which a limit holds without a new word, in milliseconds: two answers
 * of the holder are missing. */
const LIFETIME = 1_200;

/** Schema of {@linkcode KeyLimit}. */
export const keyLimitSchema = keyRangeSchema.extend({
  service: z.string(),
  /** Share of the requests for these keys that has room, below 1. */
  share: z.number().min(0).max(1),
});

/** A limit on requests for a range of keys. */
export type KeyLimit = z.infer<typeof keyLimitSchema>;

/** Requests for a range in the window. */
interface Demand extends KeyRange {
  count: number;
}

/**
 * The limits on keys of a service that are asked for more than their servers can
 * do. `keys` are those of all requests in the last `window` milliseconds, in
 * ascending order.
 */
export function limitsOf(
  service: string,
  ranges: readonly HeldRange[],
  keys: readonly number[],
  window: number,
  fleet: Fleet,
  now: number,
): KeyLimit[] {
  const byServer = new Map<string, Demand[]>();
  for (const { first, last, server } of ranges) {
    if (server === null) continue;
    const demand = { first, last, count: samplesIn(keys, { first, last }) };
    if (demand.count === 0) continue;
    byServer.set(server, [...byServer.get(server) ?? [], demand]);
  }
  const usual = fleet.usualLatency(service, now);
  const limits: KeyLimit[] = [];
  for (const [id, demands] of byServer) {
    const server = fleet.get(id);
    const latency = server?.latency ?? usual;
    if (server === undefined || latency === 0) continue;
    const capacity = server.entry.slots * window / latency;
    for (const { first, last, share } of divide(demands, capacity)) {
      limits.push({ service, first, last, share });
    }
  }
  return limits;
}

/** Divides what a server can do among its ranges so that those asked for least
 * get all; the shares of the others. */
function divide(
  demands: readonly Demand[],
  capacity: number,
): (KeyRange & { share: number })[] {
  const total = demands.reduce((sum, { count }) => sum + count, 0);
  if (total - SIGNIFICANCE * Math.sqrt(total) <= capacity) return [];
  let left = capacity * USED_CAPACITY;
  const limited: (KeyRange & { share: number })[] = [];
  const ascending = [...demands].sort((a, b) => a.count - b.count);
  for (const [i, { first, last, count }] of ascending.entries()) {
    const given = Math.min(count, left / (ascending.length - i));
    left -= given;
    if (given < count) limited.push({ first, last, share: given / count });
  }
  return limited;
}

/** The limits that a VM goes by. */
export class KeyLimits {
  #limits: readonly KeyLimit[] = [];
  #heardAt = -Infinity;

  private constructor() {}

  /** No limits. */
  static create(): KeyLimits {
    return new KeyLimits();
  }

  /** All limits in force, as the term holder tells them. */
  take(limits: readonly KeyLimit[], now: number): void {
    this.#limits = limits;
    this.#heardAt = now;
  }

  /** Time since the limits were told, in milliseconds. */
  age(now: number): number {
    return now - this.#heardAt;
  }

  /** Share of the requests for `key` that has room at its server. */
  share(service: string, key: number, now: number): number {
    if (this.age(now) > LIFETIME) return 1;
    const limit = this.#limits.find((each) =>
      each.service === service && each.first <= key && key <= each.last
    );
    return limit?.share ?? 1;
  }
}
