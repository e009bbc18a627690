/**
 * One process of a backend server under virtual time: it holds leases on keys
 * and checks fencing tokens. Its state is lost when the process ends.
 *
 * @module
 */
import type {
  GrantOrder,
  ReleaseOrder,
} from "../../src/core/keyspace/index.ts";

/**
 * Real time in which the server's clock advances by one. The clock is as slow
 * as its specification permits.
 */
const CLOCK_DRIFT = 1.02;

/** A range of keys with the token that it was granted with. */
export interface KeyGrant {
  first: number;
  last: number;
  token: number;
}

/**
 * A granted range with the time at which the lease expires, in milliseconds.
 */
export interface KeyLease extends KeyGrant {
  until: number;
}

/** See the module's comment. */
export class ModelServer {
  isUp = true;
  /** When it crashed; -Infinity if it has not. */
  lostAt = -Infinity;
  /** Whether it states that it is leaving. */
  isLeaving = false;
  /** When it last became cold after its start; -Infinity if it has not. */
  becameColdAt = -Infinity;
  leases: KeyLease[] = [];
  /** The latest grant of every key on which it has ever held a lease. */
  grants: KeyGrant[] = [];
  /** Ranges and tokens of all orders received. */
  readonly #receivedOrders: KeyGrant[] = [];

  private constructor(
    readonly id: string,
    readonly address: string,
    readonly startedAt: number,
  ) {}

  /** Creates a process without leases. */
  static create(id: string, address: string, startedAt: number): ModelServer {
    return new ModelServer(id, address, startedAt);
  }

  /** Name of the process in reports. */
  get name(): string {
    return `${this.id} (since ${this.startedAt.toFixed(0)})`;
  }

  /**
   * Whether an order with a higher token for some of the keys was received
   * before.
   */
  isSuperseded(order: KeyGrant): boolean {
    return this.#receivedOrders.some((each) =>
      overlap(each, order) && each.token > order.token
    );
  }

  /**
   * Executes a grant that arrived at `arrivedAt`, at time `now`. Existing
   * leases that expire later than the new one stay in effect.
   */
  grant(order: GrantOrder, arrivedAt: number, now: number): KeyLease {
    this.#receivedOrders.push(order);
    const { first, last, token } = order;
    const until = arrivedAt + order.hold * CLOCK_DRIFT;
    const lease = { first, last, token, until };
    if (until > now) {
      this.grants = [...without(this.grants, order), { first, last, token }];
    }
    const longer = this.leases.filter((each) => each.until > until);
    const shorter = this.leases.filter((each) => each.until <= until);
    this.leases = [...longer, ...without(shorter, order), lease];
    return lease;
  }

  /** Gives up the leases on the keys of an order. */
  release(order: ReleaseOrder): void {
    this.#receivedOrders.push(order);
    this.leases = without(this.leases, order);
  }
}

/** Whether two ranges have keys in common. */
export function overlap(
  a: { first: number; last: number },
  b: { first: number; last: number },
): boolean {
  return a.first <= b.last && b.first <= a.last;
}

/** Returns `grants` without the keys of the range `keys`. */
export function without<T extends KeyGrant>(
  grants: readonly T[],
  keys: { first: number; last: number },
): T[] {
  return grants.flatMap((each) => {
    if (!overlap(each, keys)) return [each];
    const parts: T[] = [];
    if (each.first < keys.first) parts.push({ ...each, last: keys.first - 1 });
    if (each.last > keys.last) parts.push({ ...each, first: keys.last + 1 });
    return parts;
  });
}
