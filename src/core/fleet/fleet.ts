/**
 * The backend servers that the registry lists, with this VM's observations of
 * each.
 *
 * @module
 */
import type { BackendServer } from "./backend_server.ts";
import { type EvacuationChange, Evacuations } from "./evacuations.ts";
import { DrainPolicy } from "./drain_policy.ts";
import type {
  RateLimitChange,
  RateLimitReport,
} from "./reported_rate_limit.ts";
import {
  type LeavingServer,
  type RefusingServer,
  StatedServers,
} from "./stated_servers.ts";
import {
  type LatencySamples,
  type LoadReport,
  TrackedServer,
} from "./tracked_server.ts";

/**
 * Time after an outage of the registry within which servers write expired
 * entries again, in milliseconds; specified by the platform's operators. A
 * removal that is read in this time takes effect at its end, unless the entry
 * was written again.
 */
const REWRITE_TIME = 2_000;

/**
 * Time after which an entry from a copy of the registry that may be outdated is
 * believed, in milliseconds: by then the store has removed the entry of a server
 * that does not run.
 */
const COPY_TIMEOUT = 5_000;
/** Maximum number of removed servers whose ids are kept. */
const MAXIMUM_REMOVED = 1_024;

/**
 * Time for which a server is still used after its entry became unreadable, in
 * milliseconds: one heartbeat, with which a running server rewrites its entry,
 * plus one read of the registry. No request then fails because another writer
 * has overwritten an entry; a server that has ended is still detected by its
 * failures.
 */
const UNREADABLE_ENTRY_TIMEOUT = 1_500;

/**
 * Time for which the mean latency of a service's servers is cached, in
 * milliseconds. Each request reads it several times, and it changes slowly.
 */
const MEAN_LATENCY_LIFETIME = 50;

/**
 * Time by which the term holder has listed a server that this VM lists, and has
 * sent an answer since, in milliseconds.
 */
const LISTING_DELAY = 1_000;

/** Drain time unless the settings contain another one, in milliseconds. */
const DEFAULT_DRAIN_TIME = 2_000;

/** Latency samples of one server. */
export interface ServerSamples extends LatencySamples {
  server: string;
}

/** Load that one server reported. */
export interface ServerLoad extends LoadReport {
  server: string;
}

/** Rate limit that one server reported. */
export interface ServerRateLimit extends RateLimitReport {
  server: string;
}

/** Start or end of a server's rate limit. */
export interface ServerRateLimitChange {
  server: TrackedServer;
  change: RateLimitChange;
}

/** A change to the list of servers. */
export interface FleetChange {
  /** `restarted`: the id is listed with another incarnation than before. */
  kind: "joined" | "restarted" | "draining" | "removed";
  server: BackendServer;
}

/** The listed backend servers; see the module's comment. */
export class Fleet {
  /** Zones whose servers receive no requests. */
  readonly evacuations = Evacuations.create();
  /** What the servers' processes have stated of themselves. */
  readonly stated = StatedServers.create();
  readonly #servers = new Map<string, TrackedServer>();
  readonly #byService = new Map<string, TrackedServer[]>();
  readonly #joinedAt = new Map<string, number>();
  /**
   * Ids of servers that are known only from other VMs and were not yet found in
   * the registry.
   */
  readonly #unconfirmed = new Set<string>();
  /** When deferred removals are due, by the server's id. */
  readonly #deferredRemovals = new Map<string, number>();
  /** Entries that may be outdated, and when they apply, by the server's id. */
  readonly #deferredEntries = new Map<
    string,
    { entry: BackendServer; at: number }
  >();
  /** Ids of the servers that were removed last, oldest first. */
  readonly #removedIds = new Set<string>();
  readonly #meanLatencies = new Map<
    string,
    { latency: number; until: number }
  >();
  #registryRecoveredAt = -Infinity;
  private constructor(
    /** Until when requests are sent to leaving servers. */
    readonly drainPolicy: DrainPolicy,
  ) {}

  /**
   * Creates a fleet without servers. A leaving server gets no requests that
   * arrive later than `drainTime` milliseconds after it has stated so.
   */
  static create(drainTime = DEFAULT_DRAIN_TIME): Fleet {
    return new Fleet(DrainPolicy.create(drainTime));
  }

  /** Records that the registry is available again after an outage. */
  recovered(now: number): void {
    this.#registryRecoveredAt = now;
  }

  /** Marks the servers of zones that were evacuated or restored. */
  applyEvacuations(
    { evacuated, restored, missed = [] }: EvacuationChange,
    now: number,
  ): void {
    for (const server of this.#servers.values()) {
      const { availabilityZone } = server.entry;
      if (evacuated.includes(availabilityZone)) server.setEvacuated(true, now);
      if (restored.includes(availabilityZone)) server.setEvacuated(false, now);
      if (missed.includes(availabilityZone)) server.mayHaveRestarted(now);
    }
  }

  /**
   * Applies new and changed `entries`, `removed` server ids, and ids of servers
   * whose entry became `unreadable`. Returns the resulting changes to the list.
   */
  apply(
    entries: readonly BackendServer[],
    removed: readonly string[],
    now: number,
    unreadable: readonly string[] = [],
  ): FleetChange[] {
    const changes: FleetChange[] = [];
    for (const id of unreadable) this.#removeLater(id, now);
    for (const id of removed) {
      this.#deferredEntries.delete(id);
      this.#removeOrDefer(id, now, changes);
    }
    for (const entry of entries) {
      this.#deferredEntries.delete(entry.id);
      this.#upsert(entry, now, changes);
    }
    return changes;
  }

  /**
   * Applies entries that another VM sent without a position in the registry.
   *
   * Without a position, the order of two incarnations is unknown. An entry of
   * another incarnation than the listed one is therefore ignored: if it were
   * older, the state of the newer one would be discarded; if it is newer, the
   * next read of the registry finds it. It is also unknown whether the server
   * was removed in the meantime. A deferred removal therefore stays in force,
   * and a server that was not listed has to be confirmed by
   * {@linkcode confirmPeerEntries}.
   */
  applyPeerEntries(
    entries: readonly BackendServer[],
    now: number,
  ): FleetChange[] {
    const isSameIncarnation = ({ id, incarnation }: BackendServer) =>
      (this.get(id)?.entry.incarnation ?? incarnation) === incarnation;
    const usable = entries.filter((entry) =>
      isSameIncarnation(entry) && !this.#deferredRemovals.has(entry.id)
    );
    for (const { id } of usable) {
      if (!this.#servers.has(id)) this.#unconfirmed.add(id);
    }
    return this.apply(usable, [], now);
  }

  /**
   * Checks the servers that are known only from other VMs, once the registry
   * has been read again. Those that the registry does not list are removed
   * after a delay, unless an entry is read by then.
   */
  confirmPeerEntries(isListed: (id: string) => boolean, now: number): void {
    for (const id of this.#unconfirmed) {
      if (!isListed(id)) this.#removeLater(id, now);
    }
    this.#unconfirmed.clear();
  }

  /** Applies a complete list: servers that it does not contain are removed. */
  replace(
    entries: readonly BackendServer[],
    now: number,
    unreadable: readonly string[] = [],
  ): FleetChange[] {
    const listed = new Set([
      ...entries.map((entry) => entry.id),
      ...unreadable,
    ]);
    const missing = [...this.#servers.keys()].filter((id) => !listed.has(id));
    this.#deferredEntries.clear();
    return this.apply(entries, missing, now, unreadable);
  }

  /**
   * Applies a complete list from a copy of the registry that may be older than
   * what is known. Servers that it does not contain get time to register again.
   * An entry of a server that was removed, or of another incarnation than the
   * known one, may be from the past: it applies only after
   * {@linkcode COPY_TIMEOUT}, unless another one is read before.
   */
  replaceFromCopy(
    entries: readonly BackendServer[],
    now: number,
    unreadable: readonly string[] = [],
  ): FleetChange[] {
    const deferred: BackendServer[] = [];
    const current = entries.flatMap((entry) => {
      const known = this.get(entry.id)?.entry;
      if (known === undefined) {
        if (!this.#removedIds.has(entry.id)) return [entry];
        deferred.push(entry);
        return [];
      }
      const isSame = known.incarnation === entry.incarnation;
      if (!isSame) deferred.push(entry);
      const isDraining = known.isDraining || (isSame && entry.isDraining);
      return [{ ...known, isDraining }];
    });
    const changes = this.replace(current, now, unreadable);
    const at = now + COPY_TIMEOUT;
    for (const entry of deferred) {
      this.#deferredEntries.set(entry.id, { entry, at });
    }
    return changes;
  }

  /**
   * Records that this process has stalled for `duration` milliseconds until
   * now.
   */
  processStalled(duration: number): void {
    for (const server of this.#servers.values()) {
      server.processStalled(duration);
    }
  }

  /**
   * Resets the failures of all servers, which were failures of this VM's links.
   */
  clearFailures(): void {
    for (const server of this.#servers.values()) server.clearFailures();
  }

  /** Applies deferred entries and carries out deferred removals that are due. */
  expire(now: number): FleetChange[] {
    const changes: FleetChange[] = [];
    for (const [id, { entry, at }] of this.#deferredEntries) {
      if (at > now) continue;
      this.#deferredEntries.delete(id);
      this.#upsert(entry, now, changes);
    }
    for (const [id, at] of this.#deferredRemovals) {
      if (at <= now) this.#remove(id, now, changes);
    }
    return changes;
  }

  /** Number of listed servers. */
  get size(): number {
    return this.#servers.size;
  }

  /** All listed servers. */
  all(): TrackedServer[] {
    return [...this.#servers.values()];
  }

  /** Returns a listed server, or undefined. */
  get(id: string): TrackedServer | undefined {
    return this.#servers.get(id);
  }

  /** All servers of a service. */
  serversOf(service: string): readonly TrackedServer[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Returns this VM's latency samples of a service's servers since the last
   * call, or only those that the term holder needs soon.
   */
  takeSamples(
    service: string,
    now: number,
    mustBeUrgent = false,
  ): ServerSamples[] {
    return this.serversOf(service).flatMap((server) => {
      if (mustBeUrgent && !server.hasUrgentSamples(now)) return [];
      const samples = server.takeSamples(now);
      return samples === null ? [] : [{ server: server.id, ...samples }];
    });
  }

  /** Returns the samples of the servers of all services since the last call. */
  takeAllSamples(now: number): ServerSamples[] {
    return [...this.#byService.keys()].flatMap((service) =>
      this.takeSamples(service, now)
    );
  }

  /**
   * Applies the paces that the term holder has sent. Servers that it does not
   * name have their full pace, unless it may not have listed them yet.
   */
  applyPaces(
    paces: readonly { server: string; pace: number }[],
    now: number,
  ): void {
    const byServer = new Map(paces.map(({ server, pace }) => [server, pace]));
    for (const server of this.#servers.values()) {
      const pace = byServer.get(server.id);
      if (pace !== undefined) server.pace.apply(pace, now);
      else if (now - server.listedAt > LISTING_DELAY) server.pace.apply(1, now);
    }
  }

  /** Adds latency samples that the VM at `vm` measured. */
  addPeerSamples(
    samples: readonly ServerSamples[],
    vm: string,
    now: number,
  ): void {
    for (const { server, ...each } of samples) {
      this.#servers.get(server)?.addPeerSamples(each, vm, now);
    }
  }

  /** Applies loads that servers reported to other VMs. */
  applyPeerLoads(loads: readonly ServerLoad[], now: number): void {
    for (const { server, ...load } of loads) {
      this.#servers.get(server)?.applyLoadReport(load, now);
    }
  }

  /**
   * Returns the rate limits that servers reported to this VM since the last
   * call.
   */
  takeUnsentRateLimits(now: number): ServerRateLimit[] {
    return this.all().flatMap(({ id, rateLimit }) => {
      const report = rateLimit.takeUnsent(now);
      return report === null ? [] : [{ server: id, ...report }];
    });
  }

  /**
   * Returns all recent rate limit reports, including reports that a limit
   * ended.
   */
  reportedRateLimits(now: number): ServerRateLimit[] {
    return this.all().flatMap(({ id, rateLimit }) => {
      const report = rateLimit.latestReport(now);
      return report === null ? [] : [{ server: id, ...report }];
    });
  }

  /**
   * Applies rate limits that servers reported to other VMs. Returns those that
   * came into force or ended.
   */
  applyPeerRateLimits(
    rateLimits: readonly ServerRateLimit[],
    now: number,
  ): ServerRateLimitChange[] {
    return rateLimits.flatMap(({ server: id, ...report }) => {
      const server = this.#servers.get(id);
      const change = server?.rateLimit.applyPeerReport(report, now) ?? null;
      return change === null ? [] : [{ server: server!, change }];
    });
  }

  /**
   * Applies statements of leaving servers to other VMs. Those about another
   * incarnation than the listed one are ignored. Returns the servers that this
   * VM did not know to be leaving.
   */
  applyPeerLeaving(
    leaving: readonly LeavingServer[],
    now: number,
  ): TrackedServer[] {
    return leaving.flatMap(({ server: id, incarnation }) => {
      const server = this.#servers.get(id);
      const isNew = server?.entry.incarnation === incarnation &&
        server.statements.leavingSince === null;
      if (!isNew) return [];
      this.stated.recordLeaving(server, now);
      return [server];
    });
  }

  /**
   * Applies refusals of keys that another VM has received. Those by another
   * incarnation than the listed one are ignored.
   */
  applyPeerRefusals(refusing: readonly RefusingServer[], now: number): void {
    for (const { server: id, incarnation, remaining } of refusing) {
      const server = this.#servers.get(id);
      if (server?.entry.incarnation !== incarnation) continue;
      this.stated.recordPeerRefusal(server, now + remaining);
    }
  }

  /**
   * Returns when a server last joined a service, or -Infinity. A restarted
   * server counts as newly joined, since it holds no keys.
   */
  joinedAt(service: string): number {
    return this.#joinedAt.get(service) ?? -Infinity;
  }

  /**
   * Whether a server other than `id` is listed at `address`. That server may
   * have ended already, since entries remain listed for a while.
   */
  isAddressReused(address: string, id: string): boolean {
    for (const server of this.#servers.values()) {
      if (server.entry.address === address && server.id !== id) return true;
    }
    return false;
  }

  /**
   * Returns the mean of the known latencies of a service's servers, in
   * milliseconds; 0 if none is known.
   */
  meanLatency(service: string, now: number): number {
    const known = this.#meanLatencies.get(service);
    if (known !== undefined && now < known.until) return known.latency;
    const latency = this.#computeMeanLatency(service);
    const until = now + MEAN_LATENCY_LIFETIME;
    this.#meanLatencies.set(service, { latency, until });
    return latency;
  }

  #computeMeanLatency(service: string): number {
    let sum = 0;
    let count = 0;
    for (const { latency } of this.serversOf(service)) {
      if (latency === null) continue;
      sum += latency;
      count += 1;
    }
    return count === 0 ? 0 : sum / count;
  }

  #upsert(entry: BackendServer, now: number, changes: FleetChange[]): void {
    const known = this.#servers.get(entry.id);
    if (known === undefined) {
      this.#add(entry, now);
      changes.push({ kind: "joined", server: entry });
      return;
    }
    if (!mayBeFrom(known.entry, entry)) return this.#removeLater(entry.id, now);
    this.#deferredRemovals.delete(entry.id);
    if (entry.incarnation !== known.entry.incarnation) {
      // Observations of the previous incarnation do not apply to this one.
      this.#unlist(known, now);
      this.#add(entry, now);
      changes.push({ kind: "restarted", server: entry });
      return;
    }
    const wasDraining = known.entry.isDraining;
    // A process never stops draining. An entry that states otherwise is a
    // delayed heartbeat; with it, requests would be sent to a server that is
    // shutting down.
    const isDraining = entry.isDraining || wasDraining;
    known.update({ ...entry, isDraining }, now);
    if (isDraining && !wasDraining) {
      changes.push({ kind: "draining", server: entry });
    }
  }

  #add(entry: BackendServer, now: number): void {
    const statements = this.stated.statementsOf(entry, now);
    const server = TrackedServer.create(entry, statements);
    this.stated.listed(server);
    server.listedAt = now;
    this.#removedIds.delete(entry.id);
    server.update(entry, now);
    server.setEvacuated(this.evacuations.has(entry.availabilityZone), now);
    this.#servers.set(entry.id, server);
    this.#joinedAt.set(entry.service, now);
    const others = this.#byService.get(entry.service) ?? [];
    this.#byService.set(entry.service, [...others, server]);
  }

  #unlist(server: TrackedServer, now: number): void {
    const { id, entry: { service } } = server;
    this.stated.unlisted(server, now);
    this.#servers.delete(id);
    this.#unconfirmed.delete(id);
    const others = this.serversOf(service).filter((each) => each.id !== id);
    if (others.length > 0) this.#byService.set(service, others);
    else this.#byService.delete(service);
  }

  #removeOrDefer(id: string, now: number, changes: FleetChange[]): void {
    const until = this.#registryRecoveredAt + REWRITE_TIME;
    if (until <= now) return this.#remove(id, now, changes);
    if (this.#servers.has(id)) this.#deferredRemovals.set(id, until);
  }

  /**
   * Schedules the removal of a server without a usable entry. An entry that is
   * read by then cancels it.
   */
  #removeLater(id: string, now: number): void {
    if (!this.#servers.has(id) || this.#deferredRemovals.has(id)) return;
    this.#deferredRemovals.set(id, now + UNREADABLE_ENTRY_TIMEOUT);
  }

  #remove(id: string, now: number, changes: FleetChange[]): void {
    this.#deferredRemovals.delete(id);
    const server = this.#servers.get(id);
    if (server === undefined) return;
    this.#unlist(server, now);
    this.#removedIds.add(id);
    const [oldest] = this.#removedIds;
    if (this.#removedIds.size > MAXIMUM_REMOVED) {
      this.#removedIds.delete(oldest);
    }
    changes.push({ kind: "removed", server: server.entry });
  }
}

/**
 * Whether the server that wrote the entry `known` may also have written `next`.
 * A server never changes its service, and always reports its incarnation if it
 * has done so once; a different entry comes from another writer.
 */
function mayBeFrom(known: BackendServer, next: BackendServer): boolean {
  const hasIncarnation = next.incarnation !== 0 || known.incarnation === 0;
  return hasIncarnation && next.service === known.service;
}
