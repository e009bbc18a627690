/**
 * One entry process: the core together with its servers, connection pools and
 * store client.
 *
 * @module
 */
import type { Writable } from "node:stream";
import { admissionGauges } from "../core/admission/index.ts";
import { Entry } from "../core/entry.ts";
import { describeEntry, type EntryStatus } from "../core/entry_status.ts";
import { capHoldTimes, fitnessOf } from "../core/keyspace/index.ts";
import { Logger } from "../logging/index.ts";
import type { EntrySettings } from "../settings/index.ts";
import { AdminServer } from "./admin_server.ts";
import { BackendPool } from "./backend_pool.ts";
import { type CallerCounts, CallerServer } from "./caller_server.ts";
import { ConnectionRelay } from "./connection_relay.ts";
import type { ControlStore, Feed } from "./control_store.ts";
import { EntryLoop } from "./entry_loop.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { EffectRunner } from "./effect_runner.ts";
import { FeedFollower, type FeedTiming } from "./feed_follower.ts";
import type { HeaderCodec } from "./header_codec.ts";
import { HeldBytes, heldLimitsOf } from "./held_bytes.ts";
import { LoopLag } from "./loop_lag.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import type { OrderSender } from "./order_sender.ts";
import { RelayConnector } from "./relay_connector.ts";
import { PeerNetwork, type PeerTraffic } from "./peer_network.ts";
import { ReadinessServer } from "./readiness_server.ts";
import { returnMetrics } from "./return_metrics.ts";
import { type ResponseCut, responseLimitsOf } from "./response_limits.ts";
import { StoreLink } from "./store_link.ts";

/**
 * Long-poll timeout for feeds that rarely change, in milliseconds. It is long
 * because each call has a cost besides its bytes. A connection that is lost
 * without a reset is detected by the shorter calls that run at the same time,
 * and a missed configuration by its version, which VMs send each other.
 */
const LONG_POLL_TIMEOUT = 29_000;
/**
 * Long-poll timeout of the configuration feed shortly after a failed read, in
 * milliseconds. Together with the timeout of calls to the store, it ensures
 * that a lost answer is detected within 1.5 s; a configuration must be in force
 * 2 s after it was acknowledged.
 */
const LONG_POLL_TIMEOUT_AFTER_FAILURE = 500;
/**
 * Interval between two reads of the registry by the term holder, as a share of
 * the drain time. It leaves time for one slow answer before requests to a
 * draining server must have stopped, and so does the share below.
 */
const REGISTRY_INTERVAL_SHARE = 0.225;
/**
 * Age of a VM's copy of the registry at which the VM, if it receives no newer
 * one, reads the registry itself, as a share of the drain time.
 */
const REGISTRY_MAXIMUM_AGE_SHARE = 0.6;
/**
 * Time during a shutdown in which new connections are still accepted, in
 * milliseconds.
 */
const CLOSE_DELAY = 3_600;
/** Upper bound of that time, as a share of the shutdown timeout. */
const CLOSE_SHARE = 0.6;
const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Time between this process's own exit and the forced termination at the
 * shutdown timeout, in milliseconds.
 */
const STOP_MARGIN = 250;
/**
 * Timeout of a release order, in milliseconds. A server responds only after it
 * has completed the requests that are running for the keys.
 */
const RELEASE_TIMEOUT = 3_000;

/** Implementations of the interfaces to the platform that a process uses. */
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
  /** Null until the process has started. */
  #configurationFollower: FeedFollower | null = null;
  readonly #loop: EntryLoop;
  readonly #loopLag = LoopLag.create();
  readonly #callerServer: CallerServer;
  readonly #backendPool: BackendPool;
  readonly #readinessServer = ReadinessServer.create();
  readonly #adminServer: AdminServer;
  readonly #peerNetwork: PeerNetwork;
  readonly #relay: ConnectionRelay;
  readonly #logger: Logger;
  readonly #metrics: EntryMetrics;
  readonly #held: HeldBytes;
  #resolveStopped: () => void = () => {};

  private constructor(
    private readonly settings: EntrySettings,
    private readonly platform: PlatformAdapters,
    output: Writable,
    seed: number,
  ) {
    this.stopped = new Promise((resolve) => this.#resolveStopped = resolve);
    this.#logger = Logger.create(settings.vm, settings.logging.level, output);
    const shutdownTimeout = settings.shutdownTimeoutSeconds *
      MILLISECONDS_PER_SECOND;
    const heldLimits = heldLimitsOf(settings.memory);
    const entry = this.#entry = Entry.create({
      peerAddress: settings.peer,
      seeds: settings.seeds.filter((seed) => seed !== settings.peer),
      availabilityZone: settings.availabilityZone,
      leaseTiming: capHoldTimes(settings.leases),
      retryLimits: settings.retries,
      bodyBytesPerSlot: heldLimits?.connection,
      shutdown: {
        closeAfter: Math.min(CLOSE_DELAY, shutdownTimeout * CLOSE_SHARE),
        stopAfter: shutdownTimeout - STOP_MARGIN,
      },
      fitness: fitnessOf({
        cores: settings.capacity.cpuShare * settings.capacity.cores,
        linkMegabits: settings.capacity.linkMegabits,
      }),
      drainTime: settings.drainTime,
      registryTiming: {
        interval: settings.drainTime * REGISTRY_INTERVAL_SHARE,
        maximumAge: settings.drainTime * REGISTRY_MAXIMUM_AGE_SHARE,
      },
      features: {
        admitsByPriority: settings.admission.byPriority,
        schedulesReturns: settings.admission.scheduleReturns,
        minimumTimeRatio: settings.admission.minimumTimeRatio,
        pacesStarts: settings.balancing.startPace,
      },
      seed,
    });
    this.#loop = EntryLoop.create(entry);
    const metrics = this.#metrics = EntryMetrics.create(() =>
      readGauges(
        entry,
        this.#logger,
        this.#peerNetwork.traffic,
        this.#callerServer.counts,
        this.#relay.count,
        this.#held.held,
      )
    );
    const held = this.#held = HeldBytes.create(
      heldLimits,
      (change) => this.#logger.write("warn", "memory.pressure", { ...change }),
    );
    this.#adminServer = AdminServer.create(
      metrics,
      () => this.status(),
    );
    this.#callerServer = CallerServer.create(
      platform.headers,
      this.#loop,
      metrics,
      this.#loopLag,
      held,
    );
    const identity = { vm: settings.vm, peerAddress: settings.peer };
    this.#backendPool = BackendPool.create(
      platform.headers,
      this.#loop,
      RelayConnector.create(identity),
      {
        responseLimits: responseLimitsOf(settings.responses),
        onResponseCut: (server, cut) => this.#recordCut(server, cut),
        onRelayedEnd: (end) =>
          this.#logger.write("info", "response.relayed_end", { ...end }),
        onEarlyResponse: (response) =>
          this.#logger.write("info", "response.early", { ...response }),
        held,
      },
    );
    platform.orders.onResponseCut = (server, cut) =>
      this.#recordCut(server, cut);
    this.#peerNetwork = PeerNetwork.create(identity, this.#loop, this.#logger);
    this.#relay = ConnectionRelay.create(
      this.#loop,
      this.#loopLag,
      this.#logger,
    );
    this.#peerNetwork.onRelayOpen((socket, request) =>
      this.#relay.accept(socket, request)
    );
    this.#loop.connect(EffectRunner.create({
      sink: this.#loop,
      callers: this.#callerServer,
      backends: this.#backendPool,
      orders: platform.orders,
      relay: this.#relay,
      orderTimeouts: {
        grant: settings.leases.orderTimeout,
        release: RELEASE_TIMEOUT,
      },
      store: this.#createStoreLink(),
      peers: this.#peerNetwork,
      peerAddress: settings.peer,
      readiness: this.#readinessServer,
      metrics,
      logger: this.#logger,
      setFeedsEnabled: (isEnabled) => {
        for (const follower of this.#followers) follower.setEnabled(isEnabled);
      },
      learnEra: (era) => this.platform.store.era.learn(era),
      refetchConfiguration: () => this.#configurationFollower?.refresh(),
      onStopped: () => this.#stop(),
    }));
  }

  /** Starts a process. Rejects if it cannot listen at one of its addresses. */
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

  /** Status of the core of this process. */
  status(): EntryStatus {
    return describeEntry(this.#entry, monotonicNow());
  }

  /**
   * Starts a graceful shutdown; {@linkcode stopped} resolves when it has
   * completed.
   */
  shutdown(): void {
    this.#loop.push({ kind: "shutdown", lateness: this.#loopLag.lateness });
  }

  /** Logs that the settings were read again, and whether they have changed. */
  logSettingsRead(isChanged: boolean): void {
    this.#logger.write("info", "settings.reloaded", { isChanged });
  }

  /** Logs that the settings could not be read again. */
  logReloadFailure(cause: string): void {
    this.#logger.write("warn", "settings.reload_failed", { cause });
  }

  async #start(): Promise<void> {
    const { settings } = this;
    this.#listenToEra();
    await this.#readinessServer.listen(settings.readiness);
    await this.#callerServer.listen(settings.listen);
    await this.#adminServer.listen(settings.admin);
    await this.#peerNetwork.listen();
    this.#logger.write("info", "process.started", {
      zone: settings.availabilityZone,
      listen: settings.listen,
      store: settings.store.address,
    });
    const timing = {
      longPollTimeout: LONG_POLL_TIMEOUT,
      longPollTimeoutAfterFailure: LONG_POLL_TIMEOUT,
      readInterval: 0,
    };
    this.#configurationFollower = this.#follow("configuration", {
      ...timing,
      longPollTimeoutAfterFailure: LONG_POLL_TIMEOUT_AFTER_FAILURE,
    });
    this.#follow("holder", timing);
    this.#loop.push({ kind: "timer" });
  }

  /** Logs and counts a response of a server that was cut off. */
  #recordCut(server: string, cut: ResponseCut): void {
    this.#metrics.count("responses_cut_total", `part="${cut.part}"`);
    this.#logger.write("warn", "response.cut", { server, ...cut });
  }

  /** Reports the eras that the store states to the core. */
  #listenToEra(): void {
    const { era: storeEra } = this.platform.store;
    storeEra.onChange((era) => this.#loop.push({ kind: "store.era", era }));
    storeEra.onIgnored((ignored) =>
      this.#loop.push({ kind: "store.era_ignored", ...ignored })
    );
  }

  #follow(
    feed: Feed,
    timing: FeedTiming,
  ): FeedFollower {
    const { store } = this.platform;
    const follower = FeedFollower.create(
      store,
      feed,
      timing,
      this.#loop,
      this.#logger,
      this.#metrics,
    );
    this.#followers.push(follower);
    return follower;
  }

  #createStoreLink(): StoreLink {
    const { memberTimeToLive, minimumTimeToLive } = this.settings.store;
    const timeToLive = Math.max(memberTimeToLive, minimumTimeToLive);
    return StoreLink.create(
      this.platform.store,
      timeToLive,
      this.#loop,
      this.#logger,
      this.#metrics,
    );
  }

  #stop(): void {
    this.#loop.stop();
    this.#loopLag.stop();
    for (const follower of this.#followers) follower.stop();
    // Read first: destroying the connections cuts off the requests that these
    // counts include.
    const { counts } = this.#callerServer;
    this.#callerServer.destroy();
    this.#backendPool.close();
    this.#readinessServer.close();
    this.#adminServer.close();
    this.#peerNetwork.close();
    this.platform.orders.close();
    this.platform.store.close();
    this.#logger.write("info", "process.stopped", { ...counts });
    this.#logger.flush();
    this.#resolveStopped();
  }
}

/** Gauges of the core and of the process. */
function readGauges(
  entry: Entry,
  logger: Logger,
  traffic: PeerTraffic,
  callers: CallerCounts,
  relayedConnections: number,
  heldBytes: number,
): Record<string, number> {
  const bytesByKind = [...traffic.bytesByKind].map(([kind, bytes]) =>
    [`peer_bytes_sent_total{kind="${kind}"}`, bytes] as const
  );
  const { user, system } = process.cpuUsage();
  return {
    configuration_version: entry.clusterState.catalog.version,
    configuration_version_named: entry.clusterState.namedVersions.newest,
    requests_pending: entry.dispatcher.pending,
    caller_connections: callers.connections,
    caller_answers_unsent: callers.unsent,
    caller_requests_not_taken_total: callers.notTaken,
    caller_requests_late_total: callers.late,
    vms: entry.vms ?? 0,
    requests_quarantined: entry.clusterState.quarantine.quarantinedCount,
    relayed_connections: relayedConnections,
    servers_paced: entry.peers.pacedServers,
    servers_unreached: entry.reach.isIsolated ? 1 : 0,
    is_term_holder: entry.campaign.holder === null ? 0 : 1,
    configuration_lost: entry.clusterState.isConfigurationLost ? 1 : 0,
    store_era: entry.clusterState.era ?? -1,
    log_lines_dropped: logger.dropped,
    processor_seconds: (user + system) / 1e6,
    held_bytes: heldBytes,
    memory_bytes: process.memoryUsage.rss(),
    peer_bytes_received_total: traffic.bytesReceived,
    peer_messages_dropped_total: traffic.dropped,
    ...returnMetrics(entry.clusterState.returns.counts),
    ...Object.fromEntries(bytesByKind),
    ...admissionGauges(entry.clusterState.admission, monotonicNow()),
  };
}
