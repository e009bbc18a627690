/**
 * The core of an entry process, which is the router's process on a VM. It
 * performs no input or output: it processes one event at a time, and returns
 * the effects that the runtime is to carry out.
 *
 * It reads no clock, and its random numbers depend on nothing but its seed, so
 * the same code runs over sockets and, in simulations, under virtual time.
 *
 * @module
 */
import { ClusterState } from "./cluster_state.ts";
import { Dispatcher } from "./dispatch/index.ts";
import type { RequestArrival } from "./dispatch/index.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { EntryEvent } from "./entry_event.ts";
import type { EntryOptions, RegistryTiming } from "./entry_options.ts";
import type { FleetChange, ServerStatement } from "./fleet/index.ts";
import {
  type GrantOrder,
  KeyLoads,
  type KeyspaceEffect,
  type ReleaseOrder,
  TermCampaign,
  type TermRecords,
} from "./keyspace/index.ts";
import { PeerExchange, QuarantineStorage } from "./exchange/index.ts";
import { createUniformGenerator } from "./random.ts";
import { ServerLimits } from "./rates/index.ts";
import {
  OrderPaths,
  type ReachChange,
  RelayGate,
  type RelayRequest,
  ServerPaths,
  ServerReach,
} from "./reach/index.ts";
import { Shutdown } from "./shutdown.ts";
import { MAXIMUM_ERA_STEP } from "./store_era_step.ts";
import { StallDetector } from "./stall_detector.ts";
import { StoreHealth } from "./store_health.ts";

/**
 * Maximum time between two steps while this VM holds the term or has been
 * elected, in milliseconds.
 */
const HOLDER_INTERVAL = 50;
/**
 * The same on a term holder that has deferred orders to its next step, in
 * milliseconds. The orders of the current step are sent before that.
 */
const ORDER_INTERVAL = 1;
/**
 * Minimum time between two log lines on eras that were ignored for the same
 * reason, in milliseconds.
 */
const ERA_LOG_INTERVAL = 60_000;
/** Maximum time between two steps of a follower, in milliseconds. */
const IDLE_INTERVAL = 250;

/** See the module's comment. */
export class Entry {
  readonly clusterState: ClusterState;
  readonly campaign: TermCampaign;
  readonly peers: PeerExchange;
  readonly dispatcher: Dispatcher;
  /** Whether this VM's own connections reach the servers. */
  readonly reach: ServerReach;
  readonly #paths: ServerPaths;
  readonly #orderPaths: OrderPaths;
  readonly #relayGate: RelayGate;
  readonly #loads = KeyLoads.create();
  readonly #shutdown: Shutdown;
  readonly #registryTiming: RegistryTiming;
  readonly #store = StoreHealth.create();
  readonly #stallDetector = StallDetector.create();
  readonly #quarantineStorage: QuarantineStorage;
  #hasStoreAnswered = false;
  /** When the next line on an ignored era may be logged, by its reason. */
  readonly #eraLogDueAt = new Map<string, number>();
  #isReady = false;
  /** Whether other VMs should do what this one is responsible for. */
  #mustHandOver = false;
  /** Whether this VM reads the store's feeds: see the effect `feeds.follow`. */
  #isFollowingFeeds = true;
  /** Time of the first event, in milliseconds. */
  #startedAt = Infinity;
  #effects: EntryEffect[] = [];
  /** Orders created in the current step. */
  #orders: KeyspaceEffect[] = [];

  private constructor(options: EntryOptions) {
    const emit = (...effects: EntryEffect[]) => this.#emit(...effects);
    this.clusterState = ClusterState.create(
      emit,
      ({ request: { id, fingerprint } }) =>
        this.peers.permitExchange.permits.serverCrashed(fingerprint, id),
      options.drainTime,
      options.features,
    );
    const { catalog, fleet, directory, keyLimits } = this.clusterState;
    const { quarantine, crashDetector } = this.clusterState;
    this.reach = ServerReach.create(
      fleet,
      createUniformGenerator(options.seed + 2),
    );
    this.#paths = ServerPaths.create(this.reach);
    this.#orderPaths = OrderPaths.create(this.#paths);
    this.#relayGate = RelayGate.create(fleet);
    this.#quarantineStorage = QuarantineStorage.create(quarantine);
    this.campaign = TermCampaign.create(
      options.leaseTiming,
      fleet,
      this.#loads,
      options.fitness,
    );
    this.peers = PeerExchange.create(
      this.clusterState,
      this.campaign,
      this.#loads,
      ServerLimits.create(catalog),
      this.#store,
      emit,
      options.peerAddress,
      options.seeds,
      this.#paths.relays,
      (now) => this.#isRelay(now) ? options.availabilityZone : undefined,
      createUniformGenerator(options.seed),
      options.retryLimits.windowSeconds,
    );
    this.dispatcher = Dispatcher.create({
      catalog,
      fleet,
      directory,
      keyLimits,
      quarantine,
      detector: crashDetector,
      permits: this.peers.permitExchange.permits,
      tokens: this.peers.tokenExchange.tokens,
      paths: this.#paths,
      demand: this.clusterState.demand,
      returns: this.clusterState.returns,
      admission: this.clusterState.admission,
      features: this.clusterState.features,
      availabilityZone: options.availabilityZone,
      retryLimits: options.retryLimits,
      bodyBytesPerSlot: options.bodyBytesPerSlot,
      startedAt: () => this.#startedAt,
      responsesEndAt: () => this.#shutdown.responsesEndAt,
      vms: () => this.peers.vms,
      minimumShare: (now) => this.peers.retryShares.minimumShare(now),
      keyRefused: () => this.peers.keyRefused(),
      applyStatement: (server, statement, sentAt, now) =>
        this.peers.applyStatement(server, statement, sentAt, now),
      ignoreStatement: (server, statement, reason, now) =>
        this.clusterState.ignoreStatement(server, statement, reason, now),
      draw: createUniformGenerator(options.seed),
    });
    this.#shutdown = Shutdown.create(options.shutdown);
    this.#registryTiming = options.registryTiming;
  }

  /** Creates the core of a process without any cluster state. */
  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** Whether the load balancer's readiness checks of this process succeed. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Estimated number of VMs, or null if it is not known yet. */
  get vms(): number | null {
    return this.peers.vms;
  }

  /**
   * Time since the last answered call to the store was sent, by this VM or by
   * the VM that sends it the store's updates, in milliseconds.
   */
  storeSilence(now: number): number {
    return this.#store.silence(now);
  }

  /** Processes one event and returns the effects to carry out. */
  step(event: EntryEvent): EntryEffect[] {
    this.#startedAt = Math.min(this.#startedAt, event.now);
    const stall = this.#stallDetector.detect(event.now);
    if (stall > 0) this.#processStalled(stall, event.now);
    this.#shutdown.setLateness(this.#stallDetector.recentLateness);
    this.#reduce(event);
    this.#advance(event.now, event.kind === "timer");
    // Orders come last. They leave the process only after all effects of the
    // step have been carried out, and the effects after an order could delay it
    // until it is too old to open a connection.
    const effects = [...this.#effects, ...this.#orders];
    this.#effects = [];
    this.#orders = [];
    return effects;
  }

  /**
   * Time at which the next timer event is due unless another event comes first.
   * If no event comes until some time after that, the process has stalled.
   */
  nextAt(now: number): number {
    const at = this.#nextStepAt(now);
    this.#stallDetector.expectStep(Math.max(at, now));
    return at;
  }

  #nextStepAt(now: number): number {
    return Math.min(
      this.#shutdown.nextAt(now),
      this.dispatcher.nextAt(),
      this.peers.nextAt(),
      this.clusterState.crashDetector.nextAt(),
      this.reach.nextAt(),
      Math.max(
        this.#store.retryAt,
        this.clusterState.registry.dueAt(this.#maximumRegistryAge),
      ),
      now + this.#stepInterval,
    );
  }

  /** Maximum time between two steps, in milliseconds. */
  get #stepInterval(): number {
    const { phase } = this.campaign;
    if (this.campaign.hasDeferredOrders) return ORDER_INTERVAL;
    const isIdle = phase === "follower" && !this.campaign.sendsOrders;
    return isIdle ? IDLE_INTERVAL : HOLDER_INTERVAL;
  }

  /** Updates the state for an event. */
  #reduce(event: EntryEvent): void {
    const { now } = event;
    switch (event.kind) {
      case "timer":
        return;
      case "clock.jumped":
        return this.#clockJumped(event.gap, event.isCertain);
      case "configuration.read":
        return this.clusterState.configure(
          event.configuration,
          "store",
          now,
        );
      case "evacuations.read":
        return this.clusterState.applyStoredEvacuations(event.read, now);
      case "servers.read":
        return this.#readServers(event);
      case "servers.failed":
        return this.clusterState.registry.readFailed(event.isExpired, now);
      case "assignments.read":
        this.peers.assignmentsRead(event.assignments, now);
        return this.clusterState.assign(event.assignments);
      case "quarantine.read":
        return this.#quarantineStorage.read(event.records, now);
      case "quarantine.written":
        return this.#quarantineStorage.written(event.isDone, now);
      case "holder.read":
        return this.campaign.onHolderRead();
      case "holder.announced":
        return this.peers.follow(event.holder, now);
      case "configuration.absent":
        return this.clusterState.configurationAbsent(now);
      case "peer.received": {
        const { address, message } = event;
        this.#learnEra(message.era, now);
        return this.peers.receive(address, message, now);
      }
      case "store.answered":
        return this.#storeAnswered(event.sentAt, now);
      case "store.failed":
        return this.#storeFailed(event.step, event.cause, now);
      case "store.era":
        return this.#eraChanged(event.era, "store", now);
      case "store.era_ignored":
        return this.#eraIgnored(event.reason, event.value, now);
      case "group.joined":
        return this.campaign.onJoined(event.membership, now);
      case "group.failed":
        return this.campaign.onJoinFailed(now);
      case "term.read":
        this.#logRecords(event.records);
        return this.#emit(...this.campaign.onRecordsRead(event.records, now));
      case "term.claimed": {
        const { term, outcome } = event;
        this.clusterState.logDecision("term.claimed", { term, outcome });
        const { assignments } = this.clusterState.directory;
        return this.#termClaimed(
          this.campaign.onClaimed(term, outcome, now, assignments),
          now,
        );
      }
      case "assignments.written": {
        const { term, outcome } = event;
        return this.#emit(...this.campaign.onWritten(term, outcome, now));
      }
      case "order.ended": {
        const { order } = event;
        const outcome = this.#orderPaths.ended(order, event.outcome, now);
        if (outcome.statement !== undefined) {
          this.#applyOrderStatement(order, outcome.statement, now);
        }
        return this.#emit(...this.campaign.onOrderEnded(order, outcome, now));
      }
      case "request.arrived":
        if (this.#shutdown.isRefusingRequests(now)) {
          return this.#emit(
            ...this.dispatcher.refuseWhileStopping(event.arrival),
          );
        }
        this.#recordKey(event.arrival, now);
        return this.#emit(
          ...this.dispatcher.requestArrived(event.arrival, now),
        );
      case "request.late": {
        const { id: request, timeout, age } = event;
        const detail = { request, timeout, age };
        return this.#emit({
          kind: "note",
          level: "warn",
          decision: "request.read_late",
          detail,
        });
      }
      case "request.left":
        return this.#emit(
          ...this.dispatcher.callerDisconnected(event.exchange, now),
        );
      case "attempt.ended":
        return this.#emit(
          ...this.dispatcher.attemptEnded(event.attempt, event.outcome, now),
        );
      case "server.checked":
        return this.#serverChecked(event);
      case "relay.requested":
        return this.#relayRequested(event.request, now);
      case "relay.ended":
        return this.#relayGate.ended(event.connection);
      case "callers.closed":
        return this.#shutdown.callersClosed();
      case "shutdown":
        return this.#startShutdown(event.lateness, now);
    }
  }

  /** Performs all work that is due at `now`. */
  #advance(now: number, isTimerEvent: boolean): void {
    const { catalog, fleet } = this.clusterState;
    this.clusterState.applyServerChanges(fleet.expire(now), now);
    if (this.#store.advance(now)) {
      const silence = Math.round(this.storeSilence(now));
      this.clusterState.logDecision("store.lost", { silence });
    }
    this.#advanceRegistry(now);
    this.#advanceCampaign(
      catalog.keyedServices.map((each) => each.name),
      now,
      isTimerEvent,
    );
    this.#updateFeeds(now);
    this.peers.advance(now);
    this.#updateHandover(now);
    for (const probe of this.clusterState.crashDetector.advance(now)) {
      this.#emit(this.#paths.withPath(probe, now));
    }
    this.#emit(...this.#paths.advance(now));
    this.#emit(...this.dispatcher.advance(now));
    if (this.#shutdown.isStopImminent(now)) this.#endPendingRequests(now);
    this.#updateReadiness();
    // Connections of other VMs end with the requests that are sent there.
    const pending = this.dispatcher.pending + this.#relayGate.connections;
    this.#emit(...this.#shutdown.advance(pending, now));
  }

  /**
   * Leaves the election and the load balancer's rotation while this VM has no
   * path to servers that other VMs reach.
   */
  #updateHandover(now: number): void {
    const mustHandOver = this.#paths.mustHandOver(now);
    if (mustHandOver === this.#mustHandOver) return;
    this.#mustHandOver = mustHandOver;
    this.campaign.setReachesServers(!mustHandOver);
    this.clusterState.logDecision("servers.cut_off", { mustHandOver });
  }

  /** Reads the registry when the local copy is too old. */
  #advanceRegistry(now: number): void {
    if (this.#store.isFailing(now)) return;
    const fetch = this.clusterState.registry.fetch(
      now,
      this.#maximumRegistryAge,
    );
    if (fetch !== null) this.#emit(fetch);
  }

  /** Maximum age of the local copy of the registry, in milliseconds. */
  get #maximumRegistryAge(): number {
    const { interval, maximumAge } = this.#registryTiming;
    return this.campaign.holder === null ? maximumAge : interval;
  }

  /**
   * Advances the election and the term. If this VM is the term holder, also
   * writes the crash records of quarantined requests to the store when that is
   * due.
   */
  #advanceCampaign(
    services: readonly string[],
    now: number,
    isTimerEvent: boolean,
  ): void {
    const from = this.campaign.phase;
    const silence = this.storeSilence(now);
    const hasHolderUpdates = this.peers.hasHolderUpdates(now);
    const effects = this.campaign.advance(
      services,
      now,
      silence,
      hasHolderUpdates,
      isTimerEvent,
    );
    for (const each of effects) {
      if (isOrder(each)) {
        this.#orders.push(this.#orderPaths.withPath(each, now));
      } else this.#emit(each);
    }
    if (this.campaign.holder !== null && !this.#store.isFailing(now)) {
      const write = this.#quarantineStorage.advance(now);
      if (write !== null) this.#emit(write);
    }
    const to = this.campaign.phase;
    if (from !== to) this.clusterState.logDecision("term.phase", { from, to });
  }

  /**
   * Stops following the store's feeds while the term holder sends this VM all
   * updates, and resumes afterwards. With 195 VMs, most of them observers, and
   * little traffic, the long polls of the feeds and the updates that they
   * return make up about half of all calls to the store.
   */
  #updateFeeds(now: number): void {
    const isFollowing = !this.peers.hasHolderUpdates(now);
    if (isFollowing === this.#isFollowingFeeds) return;
    this.#isFollowingFeeds = isFollowing;
    this.clusterState.logDecision("feeds.turned", { isFollowing });
    this.#emit({ kind: "feeds.follow", isOn: isFollowing });
  }

  /** Handles the end of a probe of a server's address. */
  #serverChecked(event: EntryEvent & { kind: "server.checked" }): void {
    const { server, relay, purpose, result, now } = event;
    if (relay === null) {
      const change = this.reach.probed(server, result, now);
      if (change !== null) this.#reachChanged(change, now);
    }
    if (purpose === "reach") return;
    const isRefused = result === "refused";
    this.clusterState.logDecision("server.probed", {
      server,
      isRefused,
      ...(relay === null ? {} : { relay, result }),
    });
    if (relay !== null && result === "unknown") {
      this.#paths.relays.failed(relay, now);
    }
    if (isRefused) this.#connectionRefused(server, relay !== null, now);
    else {
      this.clusterState.crashDetector.probeSucceeded(server);
      // Another VM reaches a server whose address has refused this VM.
      if (relay !== null && result === "connected") {
        this.reach.detour(server, now);
      }
    }
  }

  /**
   * Handles that a server's address refused a connection. This VM's own links
   * may be the cause, so the exit of the server is confirmed through another VM
   * if there is one.
   */
  #connectionRefused(id: string, isConfirmed: boolean, now: number): void {
    const { crashDetector, fleet } = this.clusterState;
    const server = fleet.get(id);
    if (server === undefined) return;
    const { address } = server.entry;
    const confirmation = isConfirmed
      ? null
      : this.#paths.confirmation(id, address, now);
    if (confirmation === null) {
      if (isConfirmed) server.connectionRefused();
      this.reach.endDetour(id);
      crashDetector.exited(server, now);
    } else if (confirmation !== "recent") this.#emit(confirmation);
  }

  /**
   * Whether other VMs may connect to servers through this VM: it reaches them
   * directly and is not stopping.
   */
  #isRelay(now: number): boolean {
    return this.#isReady && !this.#shutdown.isStarted &&
      this.reach.state(now) === "direct";
  }

  /** Opens a connection to a server for another VM, or refuses to. */
  #relayRequested(request: RelayRequest, now: number): void {
    const decision = this.#relayGate.requested(
      request,
      this.reach.state(now) === "direct",
      this.#shutdown.isStarted,
    );
    const { connection, vm, server } = request;
    const reason = decision.kind === "relay.open" ? null : decision.reason;
    const detail = { connection, by: vm, server, reason };
    this.clusterState.logDecision("relay.requested", detail);
    this.#emit(decision);
  }

  /**
   * Handles that this VM's own connections no longer reach the servers, or do
   * again. It is logged, since the log of a VM that is partitioned from all
   * servers would otherwise look like that of a VM whose servers are down.
   */
  #reachChanged(change: ReachChange, now: number): void {
    const { state, detail, isEstablishedUsable } = change;
    const decision = state === "direct"
      ? "servers.reached"
      : "servers.unreached";
    const relays = this.#paths.relays.addresses.join(" ");
    this.#emit({
      kind: "note",
      level: "warn",
      decision,
      detail: { ...detail, relays },
    });
    this.peers.followerLink.expedite();
    if (state === "direct") return;
    this.clusterState.fleet.clearFailures();
    this.#emit({ kind: "connections.abandon", isEstablishedUsable });
    if (isEstablishedUsable) return;
    this.#emit(...this.dispatcher.directConnectionsLost(now));
    // What other VMs send through this one would wait for nothing.
    if (this.#relayGate.connections > 0) this.#emit({ kind: "relay.abort" });
  }

  /** Applies a read of the registry. */
  #readServers(event: EntryEvent & { kind: "servers.read" }): void {
    const { fleet, registry } = this.clusterState;
    const { read, sentAt, now } = event;
    const { entries, removed, unreadable, isWhole } = read;
    const { isOutdated } = registry;
    if (!registry.applyRead(read, sentAt)) return;
    let changes: FleetChange[];
    if (!isWhole) changes = fleet.apply(entries, removed, now, unreadable);
    else if (isOutdated) {
      changes = fleet.replaceFromCopy(entries, now, unreadable);
    } else changes = fleet.replace(entries, now, unreadable);
    this.clusterState.applyServerChanges(changes, now);
    fleet.confirmPeerEntries((id) => registry.isListed(id), now);
  }

  /**
   * Applies what a server has stated with the response to an order, unless the
   * server has restarted since.
   */
  #applyOrderStatement(
    id: number,
    statement: ServerStatement,
    now: number,
  ): void {
    const order = this.campaign.holder?.pendingOrder(id);
    if (order === undefined) return;
    const { range, incarnation, sentAt } = order;
    const server = this.clusterState.fleet.get(range.server!);
    if (server?.entry.incarnation !== incarnation) return;
    this.peers.applyStatement(server, statement, sentAt, now);
  }

  /**
   * Handles the end of a stall of this process. Its time must not count against
   * servers, requests and other VMs, whose responses and messages may be waiting
   * to be read.
   */
  #processStalled(duration: number, now: number): void {
    const detail = { duration: Math.round(duration) };
    this.clusterState.logDecision("process.stalled", detail);
    this.clusterState.fleet.processStalled(duration);
    this.clusterState.quarantine.processStalled(duration);
    this.campaign.processStalled(duration);
    this.dispatcher.processStalled(duration, now);
    this.#paths.processStalled(duration);
  }

  /**
   * Handles a forward jump of the clock by `gap` milliseconds. If this VM was
   * suspended, messages sent to it meanwhile may be lost, so its next report is
   * urgent. If it is not certain that it was suspended, only the time of day
   * may have been set, and leases and deadlines that are past by this VM's
   * clock may still run. This VM then gives up the term, and extends the
   * deadlines of the requests in flight.
   */
  #clockJumped(gap: number, isCertain: boolean): void {
    const detail = { gap: Math.round(gap), isCertain };
    this.clusterState.logDecision("clock.jumped", detail);
    this.peers.followerLink.expedite();
    if (isCertain) return;
    this.campaign.onClockJumped();
    this.dispatcher.extendDeadlines(gap);
  }

  /**
   * Logs how the records from which the next term continues differ from the
   * assignments that this VM knows.
   */
  #logRecords(records: TermRecords | null): void {
    if (records === null) return;
    const { directory, era } = this.clusterState;
    const { term, end, assignments } = records;
    for (const { service, version, ranges } of assignments) {
      this.clusterState.logDecision("term.read", {
        service,
        term,
        end,
        era,
        version,
        ranges: ranges.length,
        known: directory.versionOf(service),
        keysDiffering: directory.countDiffering(service, ranges),
      });
    }
  }

  /**
   * Handles the result of claiming a term. A new holder requests the previous
   * holder's grants.
   */
  #termClaimed(effects: KeyspaceEffect[], now: number): void {
    this.#emit(...effects);
    for (const effect of effects) {
      if (effect.kind !== "holder.announce") continue;
      this.peers.requestFormerGrants(effect.term, effect.formerTerm, now);
    }
  }

  #storeAnswered(sentAt: number, now: number): void {
    this.#hasStoreAnswered = true;
    if (!this.#store.answered(sentAt, now)) return;
    this.clusterState.storeRegained(now);
  }

  /** Handles the era of the store that another VM's message states. */
  #learnEra(era: number | undefined, now: number): void {
    const known = this.clusterState.era;
    if (era === undefined || (known !== null && era <= known)) return;
    if (known !== null && era - known > MAXIMUM_ERA_STEP) {
      return this.#eraIgnored("jump", String(era), now);
    }
    this.#emit({ kind: "store.learn_era", era });
    this.#eraChanged(era, "vm", now);
  }

  /**
   * Handles a newer era of the store, which `source` states. Unless it is the
   * first one that this VM learns of, the store has returned from a copy, and
   * what this VM has read from it may be lost there.
   */
  #eraChanged(era: number, source: "store" | "vm", now: number): void {
    const { clusterState, campaign } = this;
    const former = clusterState.era;
    if (former !== null && era <= former) return;
    clusterState.era = era;
    const { version: configuration } = clusterState.catalog;
    const { term, version } = clusterState.directory.position;
    const detail = { era, former, source, configuration, term, version };
    clusterState.logDecision("store.era_changed", detail);
    if (former === null && !this.#hasStoreAnswered) {
      return campaign.setInitialEra(era);
    }
    clusterState.storeRestored(now);
    this.#quarantineStorage.storeRestored();
    campaign.storeRestored(era, now);
  }

  /** Logs an unusable statement of the era, at a limited frequency. */
  #eraIgnored(reason: string, value: string | null, now: number): void {
    if (now < (this.#eraLogDueAt.get(reason) ?? -Infinity)) return;
    this.#eraLogDueAt.set(reason, now + ERA_LOG_INTERVAL);
    this.#emit({
      kind: "note",
      level: "warn",
      decision: "store.era_ignored",
      detail: { reason, value, era: this.clusterState.era },
    });
  }

  /** Logs the first failure of each step since the store last answered. */
  #storeFailed(step: string, cause: string, now: number): void {
    if (!this.#store.failed(step, now)) return;
    this.#emit({
      kind: "note",
      level: "warn",
      decision: "store.call_failed",
      detail: { step, cause },
    });
  }

  /**
   * Records the key of a request in the load statistics, here and at the term
   * holder.
   */
  #recordKey({ host, target, key }: RequestArrival, now: number): void {
    if (key === null) return;
    const { catalog } = this.clusterState;
    for (const { service } of catalog.route(host, target)?.destinations ?? []) {
      if (!catalog.service(service)?.isKeyed) continue;
      this.#loads.of(service).record(key, now);
      this.peers.keyRequested(service, key);
    }
  }

  /**
   * Reports this process as ready while it has a configuration, is not stopping
   * and has a path to servers that other VMs reach.
   */
  #updateReadiness(): void {
    const isLoaded = this.clusterState.catalog.isLoaded;
    const isReady = isLoaded && !this.#shutdown.isStarted &&
      !this.#mustHandOver;
    if (isReady === this.#isReady) return;
    this.#isReady = isReady;
    this.clusterState.logDecision("readiness.changed", { isReady });
    this.#emit({ kind: "readiness.set", isReady });
  }

  /**
   * Ends all pending requests shortly before the end of a shutdown, so that
   * their responses, and those queued behind them, are sent before the
   * connections close.
   */
  #endPendingRequests(now: number): void {
    const reason = "this VM is stopping";
    this.#emit(...this.dispatcher.endQueuedRequests(reason, now));
    this.#emit(...this.dispatcher.failInFlightRequests(reason, now));
  }

  /** Starts the shutdown that was requested `lateness` milliseconds ago. */
  #startShutdown(lateness: number, now: number): void {
    if (!this.#shutdown.start(now - lateness)) return;
    const { pending } = this.dispatcher;
    const detail = { pending, lateness: Math.round(lateness) };
    this.clusterState.logDecision("shutdown.started", detail);
    this.#emit({ kind: "callers.drain" }, ...this.campaign.retire());
    this.peers.announceStop(this.#relayGate.users);
  }

  #emit(...effects: EntryEffect[]): void {
    this.#effects.push(...effects);
  }
}

function isOrder(effect: KeyspaceEffect): effect is GrantOrder | ReleaseOrder {
  return effect.kind === "order.grant" || effect.kind === "order.release";
}
