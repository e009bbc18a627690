/**
 * Carries out the effects of the core.
 *
 * @module
 */
import type { EntryEffect } from "../core/entry_effect.ts";
import type {
  AttemptStart,
  Delivery,
  Note,
  Refusal,
} from "../core/dispatch/index.ts";
import type {
  GrantOrder,
  MovedNote,
  MoveNote,
  OrderOutcome,
  ReleaseOrder,
} from "../core/keyspace/index.ts";
import type { Journal } from "../logging/index.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { CallerServer } from "./caller_server.ts";
import type { EffectHandler, OccurrenceSink } from "./entry_loop.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { OrderSender } from "./order_sender.ts";
import type { ReadinessServer } from "./readiness_server.ts";
import type { StoreLink } from "./store_link.ts";

/** Times for orders, in milliseconds. */
export interface OrderTimeouts {
  grant: number;
  /** A release is answered when the work that runs on the keys has ended. */
  release: number;
}

/** What effects are carried out with. */
export interface EntryAdapters {
  sink: OccurrenceSink;
  callers: CallerServer;
  backends: BackendPool;
  orders: OrderSender;
  orderTimeouts: OrderTimeouts;
  store: StoreLink;
  peers: PeerNetwork;
  /** Where other VMs reach this one. */
  peerAddress: string;
  readiness: ReadinessServer;
  metrics: EntryMetrics;
  journal: Journal;
  /** Follows the store's feeds, or leaves them. */
  followFeeds(isOn: boolean): void;
  /** Reads the configuration now. */
  refetchConfiguration(): void;
  /** Called when the process has nothing left to do. */
  stopped(): void;
}

type KeyOrder = GrantOrder | ReleaseOrder;

/** See the module's comment. */
export class EntryRunner implements EffectHandler {
  private constructor(private readonly adapters: EntryAdapters) {}

  /** A runner over these adapters. */
  static create(adapters: EntryAdapters): EntryRunner {
    return new EntryRunner(adapters);
  }

  handle(effect: EntryEffect): void {
    const { store, callers, backends, readiness } = this.adapters;
    switch (effect.kind) {
      case "attempt.start":
        return this.#start(effect);
      case "attempt.cancel":
        return backends.cancel(effect.attempt);
      case "server.check":
        return backends.check(effect);
      case "request.deliver":
        return this.#deliver(effect);
      case "request.refuse":
        return this.#refuse(effect);
      case "note":
        return this.#note(effect);
      case "configuration.fetch":
        return this.adapters.refetchConfiguration();
      case "feeds.follow":
        return this.adapters.followFeeds(effect.isOn);
      case "limits.apply":
        return callers.apply(effect.limits);
      case "connections.close":
        return backends.forget(effect.server);
      case "readiness.set":
        return readiness.set(effect.isReady);
      case "callers.drain":
        readiness.set(false);
        return callers.drain();
      case "callers.close":
        return this.#close();
      case "process.stop":
        return this.adapters.stopped();
      case "order.grant":
      case "order.release":
        return void this.#order(effect);
      case "keys.moved":
        this.adapters.metrics.observe("key_move_milliseconds", effect.took);
        return this.#writeMove(effect);
      case "keys.move":
        return this.#writeMove(effect);
      case "assignments.write":
        return void store.write(effect);
      case "term.read":
        return void store.readRecords();
      case "term.claim":
        return void store.claim(effect);
      case "holder.announce":
        return void store.announce(effect, this.adapters.peerAddress);
      case "assignments.fetch":
        return void store.fetch();
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

  #start(effect: AttemptStart): void {
    const { backends, callers, metrics } = this.adapters;
    const outgoing = callers.outgoing(effect.exchange);
    if (outgoing === undefined) return;
    metrics.count("attempts_total");
    backends.send(effect, outgoing);
  }

  #deliver(effect: Delivery): void {
    const answer = this.adapters.backends.take(effect.attempt);
    if (answer !== null) this.adapters.callers.deliver(effect.exchange, answer);
  }

  #refuse(effect: Refusal): void {
    this.adapters.metrics.count("refusals_total", `reason="${effect.reason}"`);
    this.adapters.callers.refuse(effect);
  }

  /** What the close meets tells a request that it cuts from one that it meets. */
  #close(): void {
    const { callers, journal } = this.adapters;
    journal.write("info", "callers.closing", { ...callers.counts });
    callers.close();
  }

  #note({ level, decision, detail }: Note): void {
    this.adapters.metrics.count("decisions_total", `decision="${decision}"`);
    this.adapters.journal.write(level, decision, detail);
  }

  /** Which server an order was meant for, where, and with which token, tells it
   * from others when two servers have had the same keys. `took`, in milliseconds,
   * and `mayConnect` tell an order that was withheld for its age from one that was
   * not allowed to open a connection. */
  #noteOrder(
    order: KeyOrder,
    outcome: OrderOutcome,
    took: number,
  ): void {
    const { kind, service, server, address, first, last, token } = order;
    const cause = outcome.kind === "failed" ? outcome.cause : null;
    const range = { service, first, last };
    const target = { server, address, token };
    this.#note({
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
        took: Math.round(took),
      },
    });
  }

  #writeMove({ kind, ...detail }: MoveNote | MovedNote): void {
    this.adapters.journal.write("info", kind, detail);
  }

  async #order(order: KeyOrder): Promise<void> {
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
    if (outcome.kind !== "accepted") this.#noteOrder(order, outcome, took);
    sink.push({ kind: "order.ended", order: order.order, outcome });
  }
}
