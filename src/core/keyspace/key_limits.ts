/**
 * Load shedding per key range: limits the requests for keys whose server has
 * too little capacity for the demand.
 *
 * A key has only one server, so a key with more requests than that server can
 * answer overloads it, wherever the other keys are placed. Each of many VMs
 * receives too few of these requests to detect this. In a cluster of 195 VMs,
 * one key received a fifth of 400 requests a second and all VMs sent them to
 * its server: 9 of 10 requests were reset because the server's queue was full.
 * Each of these was reset nearly twice on average, as it was retried. The
 * others waited in the queue for longer than their target latency.
 *
 * The term holder knows the demand of all VMs. It sends them the share of the
 * requests for such keys that can be admitted, and each VM refuses the others
 * at once.
 *
 * ```ts
 * // At the term holder, with the sorted keys of the last `window` ms:
 * const overloads = findOverloads(service, ranges, keys, window, fleet, now);
 * const limits = overloads.flatMap((each) => each.limits);
 * // At each VM, where `chance` is a random number from 0 to 1:
 * keyLimits.replace(limits, now);
 * if (chance >= keyLimits.admittedShare(service, key, now)) refuse();
 * ```
 *
 * @module
 */
import * as z from "zod";
import type { Fleet } from "../fleet/index.ts";
import { type KeyRange, keyRangeSchema } from "./assignment.ts";
import { countInRange } from "./key_load.ts";
import type { TrackedRange } from "./tracked_range.ts";

/**
 * Time over which demand is measured, in milliseconds. It is long enough that
 * random variation does not look like overload, and short enough to follow a
 * key that becomes busy.
 */
export const DEMAND_WINDOW = 1_500;
/**
 * Share of a server's capacity that is admitted if demand exceeds it. With
 * three slots and random arrivals, a request then waits as long as its own
 * processing takes; at a share of 0.95 it would wait four times as long.
 */
const TARGET_UTILIZATION = 0.85;
/**
 * Standard deviations by which demand must exceed the capacity of a server.
 * With requests that take a second, a server receives few of them in the
 * window. With one standard deviation, a twentieth of the servers at three
 * quarters of their capacity would be limited by chance at any time; with two,
 * one of 2,500.
 */
const SIGNIFICANCE = 2;
/**
 * Time for which limits stay valid without an update, in milliseconds. It
 * covers two missing answers of the term holder.
 */
const LIMIT_LIFETIME = 1_200;

/** Schema of {@linkcode KeyLimit}. */
export const keyLimitSchema = keyRangeSchema.extend({
  service: z.string(),
  /** Share of the requests for these keys that is admitted, below 1. */
  share: z.number().min(0).max(1),
  /**
   * Requests for these keys with a rank below it are admitted, whatever
   * `share` is. Absent in messages of older versions.
   */
  threshold: z.number().nonnegative().optional(),
});

/** A limit on requests for a range of keys. */
export type KeyLimit = z.infer<typeof keyLimitSchema>;

/** Number of requests for a range in the window. */
interface Demand extends KeyRange {
  count: number;
}

/** A server with more requests than it can run. */
export interface ServerOverload {
  /** Id of the server. */
  server: string;
  /** Requests for its keys in the window. */
  demand: number;
  /** Requests that it can run in the window. */
  capacity: number;
  limits: KeyLimit[];
}

/**
 * Finds the servers of a service whose demand exceeds their capacity, and
 * computes the limits for their ranges. `keys` are those of all requests in the
 * last `window` milliseconds, in ascending order.
 */
export function findOverloads(
  service: string,
  ranges: readonly TrackedRange[],
  keys: readonly number[],
  window: number,
  fleet: Fleet,
  now: number,
): ServerOverload[] {
  const byServer = new Map<string, Demand[]>();
  for (const { first, last, server } of ranges) {
    if (server === null) continue;
    const demand = { first, last, count: countInRange(keys, { first, last }) };
    if (demand.count === 0) continue;
    byServer.set(server, [...byServer.get(server) ?? [], demand]);
  }
  const meanLatency = fleet.meanLatency(service, now);
  const overloads: ServerOverload[] = [];
  for (const [id, demands] of byServer) {
    const server = fleet.get(id);
    const latency = server?.latency ?? meanLatency;
    if (server === undefined || latency === 0) continue;
    const capacity = server.entry.slots * window / latency;
    const limits = divideCapacity(demands, capacity)
      .map(({ first, last, share }) => ({ service, first, last, share }));
    if (limits.length === 0) continue;
    const demand = totalCount(demands);
    overloads.push({ server: id, demand, capacity, limits });
  }
  return overloads;
}

/**
 * Divides the capacity of a server among its ranges. Ranges with little demand
 * are admitted in full. Returns the admitted shares of the others.
 */
function divideCapacity(
  demands: readonly Demand[],
  capacity: number,
): (KeyRange & { share: number })[] {
  const total = totalCount(demands);
  if (total - SIGNIFICANCE * Math.sqrt(total) <= capacity) return [];
  let remaining = capacity * TARGET_UTILIZATION;
  const limited: (KeyRange & { share: number })[] = [];
  const ascending = [...demands].sort((a, b) => a.count - b.count);
  for (const [i, { first, last, count }] of ascending.entries()) {
    const quota = Math.min(count, remaining / (ascending.length - i));
    remaining -= quota;
    if (quota < count) limited.push({ first, last, share: quota / count });
  }
  return limited;
}

function totalCount(demands: readonly Demand[]): number {
  return demands.reduce((sum, { count }) => sum + count, 0);
}

/** Limits that a VM applies. */
export class KeyLimits {
  #limits: readonly KeyLimit[] = [];
  #receivedAt = -Infinity;

  private constructor() {}

  /** Creates an instance without limits. */
  static create(): KeyLimits {
    return new KeyLimits();
  }

  /** Replaces all limits by those that the term holder has sent. */
  replace(limits: readonly KeyLimit[], now: number): void {
    this.#limits = limits;
    this.#receivedAt = now;
  }

  /** Returns the time since the limits were last replaced, in milliseconds. */
  age(now: number): number {
    return now - this.#receivedAt;
  }

  /** Returns the share of the requests for `key` that is admitted. */
  admittedShare(service: string, key: number, now: number): number {
    return this.#find(service, key, now)?.share ?? 1;
  }

  /**
   * Whether a request for `key` is admitted: by its `rank` if the limit has a
   * threshold and the rank is not null, otherwise by `chance`, a random number
   * in [0, 1).
   */
  admits(
    service: string,
    key: number,
    chance: number,
    rank: number | null,
    now: number,
  ): boolean {
    const limit = this.#find(service, key, now);
    if (limit === undefined) return true;
    const { share, threshold } = limit;
    return rank === null || threshold === undefined
      ? chance < share
      : rank < threshold;
  }

  /** Returns the limit in force on a key, or undefined. */
  #find(service: string, key: number, now: number): KeyLimit | undefined {
    if (this.age(now) > LIMIT_LIFETIME) return undefined;
    return this.#limits.find((each) =>
      each.service === service && each.first <= key && key <= each.last
    );
  }
}
