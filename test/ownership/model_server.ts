/**
 * One run of a backend server under virtual time: holds keys by grants and checks
 * tokens. What it knows ends with the run.
 *
 * @module
 */
import type {
  GrantOrder,
  ReleaseOrder,
} from "../../src/core/keyspace/index.ts";

/** The server's clock runs this much slow: the worst that its contract allows. */
const DRIFT = 1.02;

/** Keys that it was granted. */
export interface Tenure {
  first: number;
  last: number;
  token: number;
}

/** Keys that it holds. */
export interface Holding extends Tenure {
  until: number;
}

/** See the module's comment. */
export class ModelServer {
  isUp = true;
  holdings: Holding[] = [];
  /** The newest grant of all keys that it ever held. */
  past: Tenure[] = [];
  /** Highest tokens seen, by range. */
  readonly #seen: Tenure[] = [];

  private constructor(
    readonly id: string,
    readonly address: string,
    readonly startedAt: number,
  ) {}

  /** A run that holds nothing. */
  static create(id: string, address: string, startedAt: number): ModelServer {
    return new ModelServer(id, address, startedAt);
  }

  /** Names the run for a reader. */
  get name(): string {
    return `${this.id} (since ${this.startedAt.toFixed(0)})`;
  }

  /** Whether an order of this token comes too late. */
  isSuperseded(order: Tenure): boolean {
    return this.#seen.some((each) =>
      overlap(each, order) && each.token > order.token
    );
  }

  /** Carries out a grant that arrived at `arrivedAt`, at `now`. A longer hold that it was
   * granted before goes on. */
  grant(order: GrantOrder, arrivedAt: number, now: number): Holding {
    this.#seen.push(order);
    const { first, last, token } = order;
    const until = arrivedAt + order.hold * DRIFT;
    const holding = { first, last, token, until };
    if (until > now) {
      this.past = [...without(this.past, order), { first, last, token }];
    }
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

/** The ranges with the keys of `cut` taken out. */
function without<T extends Tenure>(
  holdings: readonly T[],
  cut: { first: number; last: number },
): T[] {
  return holdings.flatMap((each) => {
    if (!overlap(each, cut)) return [each];
    const parts: T[] = [];
    if (each.first < cut.first) parts.push({ ...each, last: cut.first - 1 });
    if (each.last > cut.last) parts.push({ ...each, first: cut.last + 1 });
    return parts;
  });
}
