/**
 * Executes the effects that the core returns.
 *
 * @module
 */
import type { EntryEffect } from "../core/entry_effect.ts";
import {
  type AttemptStart,
  type Delivery,
  type ErrorResponse,
  type LogLine,
  REFUSED_FOR_MEMORY,
} from "../core/dispatch/index.ts";
import type {
  GrantOrder,
  MoveCompleted,
  MoveStarted,
  OrderOutcome,
  ReleaseOrder,
} from "../core/keyspace/index.ts";
import type { Logger } from "../logging/index.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { CallerServer } from "./caller_server.ts";
import type { ConnectionRelay } from "./connection_relay.ts";
import type { EffectHandler, EventSink } from "./entry_loop.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { OrderSender } from "./order_sender.ts";
import type { ReadinessServer } from "./readiness_server.ts";
import type { StoreLink } from "./store_link.ts";

/** Timeouts of orders, in milliseconds. */
export interface OrderTimeouts {
  grant: number;
  /**
   * A server responds to a release only after it has completed the requests
   * that are running for the keys.
   */
  release: number;
}

/** Components that execute the effects. */
export interface EffectAdapters {
  sink: EventSink;
  callers: CallerServer;
  backends: BackendPool;
  orders: OrderSender;
  /** Connections of other VMs to servers. */
  relay: ConnectionRelay;
  orderTimeouts: OrderTimeouts;
  store: StoreLink;
  peers: PeerNetwork;
  /** Address at which other VMs reach this process. */
  peerAddress: string;
  readiness: ReadinessServer;
  metrics: EntryMetrics;
  logger: Logger;
  /** Starts or pauses reading the store's feeds. */
  setFeedsEnabled(isEnabled: boolean): void;
  /** Records an era of the store that another VM knows. */
  learnEra(era: number): void;
  /** Reads the configuration immediately. */
  refetchConfiguration(): void;
  /** Called when the core ends the process. */
  onStopped(): void;
}

type KeyOrder = GrantOrder | ReleaseOrder;

/** See the module's comment. */
export class EffectRunner implements EffectHandler {
  private constructor(private readonly adapters: EffectAdapters) {}

  /** Creates a runner that uses these components. */
  static create(adapters: EffectAdapters): EffectRunner {
    return new EffectRunner(adapters);
  }

  handle(effect: EntryEffect): void {
    const { store, callers, backends, readiness } = this.adapters;
    switch (effect.kind) {
      case "attempt.start":
        return this.#startAttempt(effect);
      case "attempt.cancel":
        return backends.cancel(effect.attempt);
      case "server.check":
        return backends.probe(effect);
      case "request.deliver":
        return this.#deliverResponse(effect);
      case "request.refuse":
        return this.#sendErrorResponse(effect);
      case "note":
        return this.#log(effect);
      case "store.learn_era":
        return this.adapters.learnEra(effect.era);
      case "configuration.fetch":
        return this.adapters.refetchConfiguration();
      case "feeds.follow":
        return this.adapters.setFeedsEnabled(effect.isOn);
      case "limits.apply":
        return callers.applyLimits(effect.limits);
      case "connections.close":
        return backends.closeConnections(effect.server);
      case "connections.abandon":
        if (!effect.isEstablishedUsable) this.adapters.orders.abortDirect();
        return backends.abandonDirect(effect.isEstablishedUsable);
      case "relay.open":
        return this.adapters.relay.open(effect);
      case "relay.refuse":
        return this.adapters.relay.refuse(effect);
      case "relay.abort":
        return this.adapters.relay.abort();
      case "relay.retire":
        backends.retireRelay(effect.relay);
        return this.adapters.orders.retireRelay(effect.relay);
      case "readiness.set":
        return readiness.setReady(effect.isReady);
      case "callers.drain":
        readiness.setReady(false);
        return callers.drain();
      case "callers.close":
        return this.#closeCallers();
      case "process.stop":
        return this.adapters.onStopped();
      case "order.grant":
      case "order.release":
        return void this.#sendOrder(effect);
      case "keys.moved":
        this.adapters.metrics.observe("key_move_milliseconds", effect.took);
        return this.#logMove(effect);
      case "keys.move":
        return this.#logMove(effect);
      case "assignments.write":
        return void store.writeAssignments(effect);
      case "term.read":
        return void store.readRecords();
      case "term.claim":
        return void store.claimTerm(effect);
      case "holder.announce":
        return void store.announceHolder(effect, this.adapters.peerAddress);
      case "assignments.fetch":
        return void store.fetchAssignments();
      case "quarantine.write":
        return void store.writeQuarantine(effect);
      case "servers.fetch":
        return void store.readServers(effect);
      case "peer.send":
        return this.adapters.peers.send(effect.address, effect.message);
      case "group.join":
        return void store.join(effect);
      case "group.leave":
        return void store.leave(effect);
    }
  }

  #startAttempt(effect: AttemptStart): void {
    const { backends, callers, metrics } = this.adapters;
    const outgoing = callers.outgoing(effect.exchange);
    if (outgoing === undefined) return;
    metrics.count("attempts_total");
    backends.send(effect, outgoing);
  }

  #deliverResponse(effect: Delivery): void {
    const answer = this.adapters.backends.takeResponse(effect.attempt);
    if (answer !== null) this.adapters.callers.deliver(effect.exchange, answer);
  }

  #sendErrorResponse(effect: ErrorResponse): void {
    if (effect.reason === REFUSED_FOR_MEMORY) {
      this.adapters.metrics.count("requests_refused_for_memory_total");
    }
    this.adapters.metrics.count("refusals_total", `reason="${effect.reason}"`);
    this.adapters.callers.refuse(effect);
  }

  /**
   * Closes the callers' connections. Logs the counts before the close, which
   * tell requests that it cuts off from requests that arrive at the same time.
   */
  #closeCallers(): void {
    const { callers, logger } = this.adapters;
    logger.write("info", "callers.closing", { ...callers.counts });
    callers.close();
  }

  #log({ level, decision, detail }: LogLine): void {
    this.adapters.metrics.count("decisions_total", `decision="${decision}"`);
    this.adapters.logger.write(level, decision, detail);
  }

  /**
   * Logs an order that was not accepted. The server, its address and the token
   * distinguish orders for the same keys to two servers. `took`, in
   * milliseconds, and `mayConnect` distinguish an order that was withheld
   * because of its age from one that was not allowed to open a connection.
   */
  #logOrder(
    order: KeyOrder,
    outcome: OrderOutcome,
    took: number,
  ): void {
    const { kind, service, server, address, first, last, token } = order;
    const cause = outcome.kind === "failed" ? outcome.cause : null;
    const range = { service, first, last };
    const target = { server, address, token };
    this.#log({
      kind: "note",
      level: "info",
      decision: "order.not_accepted",
      detail: {
        kind,
        order: order.order,
        ...range,
        ...target,
        outcome: outcome.kind,
        cause,
        mayConnect: order.mayConnect,
        relay: order.relay,
        took: Math.round(took),
      },
    });
  }

  #logMove({ kind, ...detail }: MoveStarted | MoveCompleted): void {
    this.adapters.logger.write("info", kind, detail);
  }

  async #sendOrder(order: KeyOrder): Promise<void> {
    const { orders, orderTimeouts, sink, metrics } = this.adapters;
    const startedAt = monotonicNow();
    const outcome: OrderOutcome = order.kind === "order.grant"
      ? await orders.grant(order, orderTimeouts.grant)
      : await orders.release(order, orderTimeouts.release);
    metrics.count(
      "orders_total",
      `kind="${order.kind}",outcome="${outcome.kind}"`,
    );
    const took = monotonicNow() - startedAt;
    metrics.observe("order_milliseconds", took);
    if (outcome.kind !== "accepted") this.#logOrder(order, outcome, took);
    sink.push({ kind: "order.ended", order: order.order, outcome });
  }
}
