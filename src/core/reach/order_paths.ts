/**
 * Paths of the term holder's orders to servers, and what the outcomes of orders
 * show about the paths.
 *
 * @module
 */
import type {
  GrantOrder,
  OrderOutcome,
  ReleaseOrder,
} from "../keyspace/index.ts";
import type { ServerPaths } from "./server_paths.ts";

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class OrderPaths {
  /** VMs through which orders in flight were sent, or null, by order. */
  readonly #relays = new Map<number, string | null>();

  private constructor(private readonly paths: ServerPaths) {}

  /** Creates paths without orders in flight. */
  static create(paths: ServerPaths): OrderPaths {
    return new OrderPaths(paths);
  }

  /** Returns an order with the path on which it is sent now. */
  withPath<T extends GrantOrder | ReleaseOrder>(order: T, now: number): T {
    const { paths } = this;
    const { relay } = paths.to(order.server, now);
    this.#relays.set(order.order, relay);
    // The response to a release may have to wait for running requests.
    if (order.kind === "order.grant") {
      const name = nameOf(order.order);
      if (relay === null) paths.reach.started(name, order.server, 0, now);
      else paths.relays.started(name, relay, 0, now);
    }
    return { ...order, relay };
  }

  /**
   * Records the outcome of an order. Returns it with a statement whether the
   * order failed because of its path: the VM through which it was sent, or this
   * VM's own links.
   */
  ended(order: number, outcome: OrderOutcome, now: number): OrderOutcome {
    const { paths } = this;
    const name = nameOf(order);
    const relay = this.#relays.get(order) ?? null;
    this.#relays.delete(order);
    if (outcome.kind === "withheld") paths.ended(name);
    else if (outcome.kind !== "failed" || outcome.isAnswered) {
      paths.answered(name, relay !== null, now);
    } else {
      paths.failed(name, relay !== null, "broken", now);
      if (outcome.isRelayFault) paths.relays.failed(relay!, now);
    }
    if (outcome.kind !== "failed") return outcome;
    const isPathLost = relay === null
      ? paths.reach.isIsolated
      : outcome.isRelayFault;
    return { ...outcome, isPathLost };
  }
}

/** Name of an order among everything that this VM sends to servers. */
function nameOf(order: number): string {
  return `order ${order}`;
}
