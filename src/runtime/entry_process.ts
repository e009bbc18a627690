/**
 * One entry process: the core with its sockets around it.
 *
 * @module
 */
import type { Writable } from "node:stream";
import { Entry } from "../core/entry.ts";
import { describeEntry, type EntryStatus } from "../core/entry_status.ts";
import { fitnessOf, withinMaximum } from "../core/keyspace/index.ts";
import { Journal } from "../logging/index.ts";
import type { EntrySettings } from "../settings/index.ts";
import { AdminServer } from "./admin_server.ts";
import { BackendPool } from "./backend_pool.ts";
import { type CallerCounts, CallerServer } from "./caller_server.ts";
import type { ControlStore, Feed } from "./control_store.ts";
import { EntryLoop } from "./entry_loop.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { EntryRunner } from "./entry_runner.ts";
import { FeedFollower, type FeedPace } from "./feed_follower.ts";
import type { HeaderCodec } from "./header_codec.ts";
import { LoopLag } from "./loop_lag.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type { OrderSender } from "./order_sender.ts";
import { PeerNetwork, type PeerTraffic } from "./peer_network.ts";
import { ReadinessServer } from "./readiness_server.ts";
import { StoreLink } from "./store_link.ts";

/** Longest wait of a read for news that come seldom, in milliseconds: a call
 * costs more than the bytes. One that dies in silence is noticed by the short
 * calls beside it, and peers tell each other the version of the configuration. */
const LONG_POLL = 29_000;
/** The same for the configuration just after a read has failed: with the store's
 * timeout a lost answer is noticed within 1.5 s, and a configuration must be in
 * force 2 s after it was acknowledged. */
const UNSURE_WAIT = 500;
/** Share of the drain time between two reads of the registry by the term holder,
 * and the share after which another VM that has no younger word of it reads it
 * itself: both leave time for one slow answer before nothing more may reach a
 * server that is leaving. */
const REGISTRY_INTERVAL_SHARE = 0.225;
const REGISTRY_AGE_SHARE = 0.6;
/** Time of a shutdown in which new connections still come, in milliseconds. */
const CLOSE_AFTER = 3_600;
/** The same as a share of a short shutdown. */
const CLOSE_SHARE = 0.6;
/** Milliseconds in a second. */
const SECOND = 1_000;
/** Time kept between our own end and the end by force, in milliseconds. */
const STOP_MARGIN = 250;
/** Time for a release to be answered, in milliseconds: work that runs on the
 * keys ends first. */
const RELEASE_TIMEOUT = 3_000;

/** What connects a process to its platform. */
export interface PlatformAdapters {
  store: ControlStore;
  headers: HeaderCodec;
  orders: OrderSender;
}

/** See the module's comment. */
export class EntryProcess {
  /** Resolves when the process has stopped. */
  readonly stopped: Promise<void>;
  readonly #followers: FeedFollower[] = [];
  readonly #entry: Entry;
  #configuration: FeedFollower | null = null;
  readonly #loop: EntryLoop;
  readonly #lag = LoopLag.create();
  readonly #callers: CallerServer;
  readonly #backends: BackendPool;
  readonly #readiness = ReadinessServer.create();
  readonly #admin: AdminServer;
  readonly #peers: PeerNetwork;
  readonly #journal: Journal;
  readonly #metrics: EntryMetrics;
  #resolveStopped: () => void = () => {};

  private constructor(
    private readonly settings: EntrySettings,
    private readonly platform: PlatformAdapters,
    output: Writable,
    seed: number,
  ) {
    this.stopped = new Promise((resolve) => this.#resolveStopped = resolve);
    this.#journal = Journal.create(settings.vm, settings.logging.level, output);
    const shutdownTimeout = settings.shutdownTimeoutSeconds * SECOND;
    const entry = this.#entry = Entry.create({
      peerAddress: settings.peer,
      seeds: settings.seeds.filter((seed) => seed !== settings.peer),
      availabilityZone: settings.availabilityZone,
      leaseTiming: withinMaximum(settings.leases),
      retryLimits: settings.retries,
      shutdown: {
        closeAfter: Math.min(CLOSE_AFTER, shutdownTimeout * CLOSE_SHARE),
        stopAfter: shutdownTimeout - STOP_MARGIN,
      },
      fitness: fitnessOf({
        cores: settings.capacity.cpuShare * settings.capacity.cores,
        linkMegabits: settings.capacity.linkMegabits,
      }),
      registryTiming: {
        interval: settings.drainTime * REGISTRY_INTERVAL_SHARE,
        maximumAge: settings.drainTime * REGISTRY_AGE_SHARE,
      },
      seed,
    });
    this.#loop = EntryLoop.create(entry);
    const metrics = this.#metrics = EntryMetrics.create(() =>
      gauges(entry, this.#journal, this.#peers.traffic, this.#callers.counts)
    );
    this.#admin = AdminServer.create(
      metrics,
      () => this.status(),
    );
    this.#callers = CallerServer.create(
      platform.headers,
      this.#loop,
      metrics,
      this.#lag,
    );
    this.#backends = BackendPool.create(platform.headers, this.#loop);
    this.#peers = PeerNetwork.create(
      { vm: settings.vm, peerAddress: settings.peer },
      this.#loop,
      this.#journal,
    );
    this.#loop.connect(EntryRunner.create({
      sink: this.#loop,
      callers: this.#callers,
      backends: this.#backends,
      orders: platform.orders,
      orderTimeouts: {
        grant: settings.leases.orderTimeout,
        release: RELEASE_TIMEOUT,
      },
      store: this.#storeLink(),
      peers: this.#peers,
      peerAddress: settings.peer,
      readiness: this.#readiness,
      metrics,
      journal: this.#journal,
      followFeeds: (isOn) => {
        for (const follower of this.#followers) follower.turn(isOn);
      },
      refetchConfiguration: () => this.#configuration?.refresh(),
      stopped: () => this.#stop(),
    }));
  }

  /** Starts a process. Rejects when an address cannot be had. */
  static async start(
    settings: EntrySettings,
    platform: PlatformAdapters,
    output: Writable,
    seed: number,
  ): Promise<EntryProcess> {
    const process = new EntryProcess(settings, platform, output, seed);
    await process.#start();
    return process;
  }

  /** What the process believes. */
  status(): EntryStatus {
    return describeEntry(this.#entry, monotonicNow());
  }

  /** Stops once nothing is in flight. */
  shutdown(): void {
    this.#loop.push({ kind: "shutdown", lateness: this.#lag.lateness });
  }

  /** Notes that the settings were looked at again. */
  reloaded(isChanged: boolean): void {
    this.#journal.write("info", "settings.reloaded", { isChanged });
  }

  /** Notes that the settings could not be read again. */
  reloadFailed(cause: string): void {
    this.#journal.write("warn", "settings.reload_failed", { cause });
  }

  async #start(): Promise<void> {
    const { settings } = this;
    await this.#readiness.listen(settings.readiness);
    await this.#callers.listen(settings.listen);
    await this.#admin.listen(settings.admin);
    await this.#peers.listen();
    this.#journal.write("info", "process.started", {
      zone: settings.availabilityZone,
      listen: settings.listen,
      store: settings.store.address,
    });
    const pace = { wait: LONG_POLL, unsureWait: LONG_POLL, pause: 0 };
    this.#configuration = this.#follow("configuration", {
      ...pace,
      unsureWait: UNSURE_WAIT,
    });
    this.#follow("holder", pace);
    this.#loop.push({ kind: "timer" });
  }

  #follow(
    feed: Feed,
    pace: FeedPace,
  ): FeedFollower {
    const { store } = this.platform;
    const follower = FeedFollower.create(
      store,
      feed,
      pace,
      this.#loop,
      this.#journal,
      this.#metrics,
    );
    this.#followers.push(follower);
    return follower;
  }

  #storeLink(): StoreLink {
    const { memberTimeToLive, minimumTimeToLive } = this.settings.store;
    const timeToLive = Math.max(memberTimeToLive, minimumTimeToLive);
    return StoreLink.create(
      this.platform.store,
      timeToLive,
      this.#loop,
      this.#journal,
      this.#metrics,
    );
  }

  #stop(): void {
    this.#loop.stop();
    this.#lag.stop();
    for (const follower of this.#followers) follower.stop();
    // What is in hand here is cut.
    const { counts } = this.#callers;
    this.#callers.destroy();
    this.#backends.close();
    this.#readiness.close();
    this.#admin.close();
    this.#peers.close();
    this.platform.orders.close();
    this.platform.store.close();
    this.#journal.write("info", "process.stopped", { ...counts });
    this.#journal.flush();
    this.#resolveStopped();
  }
}

/** Beliefs of the core and the state of the process, for metrics. */
function gauges(
  entry: Entry,
  journal: Journal,
  traffic: PeerTraffic,
  callers: CallerCounts,
): Record<string, number> {
  const bytesByKind = [...traffic.bytesByKind].map(([kind, bytes]) =>
    [`peer_bytes_sent_total{kind="${kind}"}`, bytes] as const
  );
  const { user, system } = process.cpuUsage();
  return {
    configuration_version: entry.beliefs.catalog.version,
    requests_pending: entry.dispatcher.pending,
    caller_connections: callers.connections,
    caller_answers_unsent: callers.unsent,
    caller_requests_not_taken_total: callers.notTaken,
    caller_requests_late_total: callers.late,
    vms: entry.vms ?? 0,
    requests_quarantined: entry.beliefs.quarantine.holdCount,
    is_term_holder: entry.campaign.holder === null ? 0 : 1,
    log_lines_dropped: journal.dropped,
    processor_seconds: (user + system) / 1e6,
    memory_bytes: process.memoryUsage.rss(),
    peer_bytes_received_total: traffic.bytesReceived,
    peer_messages_dropped_total: traffic.dropped,
    ...Object.fromEntries(bytesByKind),
  };
}
