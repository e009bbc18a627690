/**
 * Interface that sends the term holder's orders to backend servers.
 *
 * @module
 */
import type {
  GrantOrder,
  OrderOutcome,
  ReleaseOrder,
} from "../core/keyspace/index.ts";

import type { CutListener } from "./response_limits.ts";

/** See the module's comment. Calls never reject. */
export abstract class OrderSender {
  /** Called when the response to an order is cut off. */
  onResponseCut: CutListener = () => {};

  /** Sends a grant; resolves after `timeout` milliseconds at the latest. */
  abstract grant(order: GrantOrder, timeout: number): Promise<OrderOutcome>;
  /** Sends a release; resolves after `timeout` milliseconds at the latest. */
  abstract release(order: ReleaseOrder, timeout: number): Promise<OrderOutcome>;
  /**
   * Ends all orders that were not sent through another VM as failed, and resets
   * their connections.
   */
  abstract abortDirect(): void;
  /**
   * Closes the connections through the VM at `relay`, which is about to stop:
   * idle ones now, those in use after their response.
   */
  abstract retireRelay(relay: string): void;
  /** Closes all connections. */
  abstract close(): void;
}
