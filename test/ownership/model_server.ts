/**
 * A backend server under virtual time: holds keys by grants and checks tokens.
 *
 * @module
 */
import type {
  GrantOrder,
  ReleaseOrder,
} from "../../src/core/keyspace/index.ts";

/** The server's clock runs this much slow: the worst that its contract allows. */
const DRIFT = 1.02;

/** Keys that it holds. */
export interface Holding {
  first: number;
  last: number;
  token: number;
  until: number;
}

/** See the module's comment. */
export class ModelServer {
  isUp = true;
  holdings: Holding[] = [];
  /** Highest tokens seen, by range. */
  readonly #seen: { first: number; last: number; token: number }[] = [];

  private constructor(readonly id: string, readonly address: string) {}

  /** A server that holds nothing. */
  static create(id: string, address: string): ModelServer {
    return new ModelServer(id, address);
  }

  /** Whether an order of this token comes too late. */
  isSuperseded(order: { first: number; last: number; token: number }): boolean {
    return this.#seen.some((each) =>
      overlap(each, order) && each.token > order.token
    );
  }

  /** Carries out a grant that arrived at `arrivedAt`. A longer hold that it was
   * granted before goes on. */
  grant(order: GrantOrder, arrivedAt: number): Holding {
    this.#seen.push(order);
    const { first, last, token } = order;
    const until = arrivedAt + order.hold * DRIFT;
    const holding = { first, last, token, until };
    const longer = this.holdings.filter((each) => each.until > until);
    const shorter = this.holdings.filter((each) => each.until <= until);
    this.holdings = [...longer, ...without(shorter, order), holding];
    return holding;
  }

  /** Stops work on keys. */
  release(order: ReleaseOrder): void {
    this.#seen.push(order);
    this.holdings = without(this.holdings, order);
  }
}

/** Whether two ranges share keys. */
export function overlap(
  a: { first: number; last: number },
  b: { first: number; last: number },
): boolean {
  return a.first <= b.last && b.first <= a.last;
}

/** The holdings with the keys of `cut` taken out. */
function without(
  holdings: readonly Holding[],
  cut: { first: number; last: number },
): Holding[] {
  return holdings.flatMap((each) => {
    if (!overlap(each, cut)) return [each];
    const parts: Holding[] = [];
    if (each.first < cut.first) parts.push({ ...each, last: cut.first - 1 });
    if (each.last > cut.last) parts.push({ ...each, first: cut.last + 1 });
    return parts;
  });
}
