/**
 * This VM's local copy of the cluster's state: configuration, servers, key
 * assignments and the term holder. Every change is logged.
 *
 * @module
 */
import { AdmissionPolicy, DemandMeter } from "./admission/index.ts";
import { Catalog, type Configuration, NamedVersions } from "./catalog/index.ts";
import type { EntryEffect } from "./entry_effect.ts";
import {
  type EvacuationChange,
  type EvacuationRead,
  type EvacuationSnapshot,
  Fleet,
  type FleetChange,
  type LeavingServer,
  type ServerRateLimit,
  type ServerRateLimitChange,
  type ServerStatement,
  type TrackedServer,
} from "./fleet/index.ts";
import { type Assignment, KeyDirectory, KeyLimits } from "./keyspace/index.ts";
import { type Features, NO_FEATURES } from "./features.ts";
import type { HolderAddress, SenderState } from "./peers/index.ts";
import {
  type CrashAttribution,
  CrashDetector,
  Quarantine,
} from "./quarantine/index.ts";
import { INITIAL_PACE } from "./pace/index.ts";
import { RegistryReplica } from "./registry/index.ts";
import { ReturnPolicy } from "./returns/index.ts";

/** Queues effects for the runtime to carry out. */
export type Emit = (...effects: EntryEffect[]) => void;

/** Further fields of a log line. */
type Detail = Record<string, string | number | boolean | null>;

/** See the module's comment. */
export class ClusterState {
  readonly catalog = Catalog.create();
  /** Versions of the configuration that only other VMs are known to have. */
  readonly namedVersions = NamedVersions.create();
  readonly directory = KeyDirectory.create();
  readonly keyLimits = KeyLimits.create();
  readonly registry = RegistryReplica.create();
  /** Requests that this VM has received since its last report. */
  readonly demand = DemandMeter.create();
  /** Planned returns of refused callers, as the term holder has stated them. */
  readonly returns = ReturnPolicy.create();
  /** Which requests of services above their capacity this VM admits. */
  readonly admission = AdmissionPolicy.create();
  readonly quarantine = Quarantine.create(({ kind, crashes }) =>
    this.logDecision(`quarantine.${kind}`, {
      fingerprint: crashes.request,
      target: crashes.target,
      round: crashes.round,
      runs: crashes.runs.join(" "),
    })
  );
  readonly crashDetector = CrashDetector.create(
    this.quarantine,
    (crash) => this.#reportCrash(crash),
  );
  /** Era of the store that this VM knows, or null. */
  era: number | null = null;
  /** Whether the store has returned from a copy since this process started. */
  #hasSeenRestoration = false;
  #isConfigurationLost = false;
  #storedConfiguration: { version: number | null; at: number } = {
    version: null,
    at: -Infinity,
  };
  #holder: HolderAddress | null = null;

  private constructor(
    private readonly emit: Emit,
    private readonly onCrash: (crash: CrashAttribution) => void,
    readonly fleet: Fleet,
    /** Optional behaviour of this VM. */
    readonly features: Features,
  ) {}

  /**
   * Creates an empty state that passes its effects to `emit`. `onCrash` is
   * called for each request that a server was running when it crashed. Leaving
   * servers get no requests after `drainTime` milliseconds. `features` is the
   * optional behaviour of this VM.
   */
  static create(
    emit: Emit,
    onCrash: (crash: CrashAttribution) => void = () => {},
    drainTime?: number,
    features: Features = NO_FEATURES,
  ): ClusterState {
    return new ClusterState(emit, onCrash, Fleet.create(drainTime), features);
  }

  /** The announced term holder with the highest term, or null. */
  get holder(): HolderAddress | null {
    return this.#holder;
  }

  /**
   * The part of this VM's state that every message to another VM includes.
   * `position` is that of the assignments.
   */
  senderState(position = this.directory.position): SenderState {
    const { term, version } = position;
    const evacuation = this.fleet.evacuations.snapshot;
    return {
      term,
      version,
      configuration: this.catalog.version,
      ...(this.era === null ? {} : { era: this.era }),
      ...(evacuation === null ? {} : { evacuation }),
    };
  }

  /**
   * Applies a configuration if its version is higher than that of the active
   * one. It was received from `source`.
   */
  configure(
    configuration: Configuration,
    source: "store" | "vm",
    now: number,
  ): void {
    if (source === "store") {
      this.#configurationStored(configuration.version, now);
    }
    if (!this.catalog.apply(configuration)) return;
    const { version } = this.catalog;
    const { missingSince } = this.namedVersions;
    this.namedVersions.applied(version);
    this.logDecision("configuration.applied", {
      version,
      routes: configuration.routes.length,
      source,
      missingFor: missingSince === Infinity
        ? null
        : Math.round(now - missingSince),
    });
    this.emit({ kind: "limits.apply", limits: configuration.limits });
  }

  /**
   * Whether the store has returned from a copy and lacks the active
   * configuration, which its operators have to publish again.
   */
  get isConfigurationLost(): boolean {
    return this.#isConfigurationLost;
  }

  /**
   * Version of the configuration that the store contained when it was last read,
   * or null, and when the answer arrived.
   */
  get storedConfiguration(): { version: number | null; at: number } {
    return this.#storedConfiguration;
  }

  /** Records that the store contains no configuration. */
  configurationAbsent(now: number): void {
    this.#configurationStored(null, now);
  }

  /** Records the version of the configuration that the store contains. */
  #configurationStored(stored: number | null, now: number): void {
    this.#storedConfiguration = { version: stored, at: now };
    const { version } = this.catalog;
    const isLost = this.#hasSeenRestoration && (stored ?? -1) < version;
    if (isLost === this.#isConfigurationLost) return;
    this.#isConfigurationLost = isLost;
    this.emit({
      kind: "note",
      level: isLost ? "warn" : "info",
      decision: isLost ? "configuration.lost" : "configuration.regained",
      detail: { version, stored },
    });
  }

  /**
   * Handles that the store has returned from a copy. What this VM knows of the
   * registry and of evacuations stays in force until the store has been read
   * again, and what it then lacks may still be written again.
   */
  storeRestored(now: number): void {
    this.#hasSeenRestoration = true;
    this.registry.storeRestored();
    this.fleet.recovered(now);
  }

  /** Applies evacuated zones that were read from the store. */
  applyStoredEvacuations(read: EvacuationRead, now: number): void {
    const { evacuations } = this.fleet;
    this.#applyEvacuation(evacuations.applyRead(read, this.era), now);
  }

  /** Applies evacuated zones that were received from another VM. */
  applyPeerEvacuations(snapshot: EvacuationSnapshot, now: number): void {
    this.#applyEvacuation(this.fleet.evacuations.applySnapshot(snapshot), now);
  }

  #applyEvacuation(change: EvacuationChange, now: number): void {
    const { position } = this.fleet.evacuations;
    this.fleet.applyEvacuations(change, now);
    for (const zone of change.evacuated) {
      this.logDecision("zone.evacuated", { zone, position });
    }
    for (const zone of change.restored) {
      this.logDecision("zone.restored", { zone, position });
    }
    for (const zone of change.missed ?? []) {
      this.logDecision("zone.restored", { zone, position, isMissed: true });
    }
  }

  /** Applies rate limits that other VMs have received from servers. */
  applyPeerRates(rates: readonly ServerRateLimit[], now: number): void {
    const changes = this.fleet.applyPeerRateLimits(rates, now);
    for (const each of changes) this.#logRateLimitChange(each, now);
  }

  /**
   * Applies what a server has stated of itself with the response to a request
   * or an order that was sent at `sentAt`. Returns whether the term holder
   * should learn of it.
   */
  applyStatement(
    server: TrackedServer,
    statement: ServerStatement,
    sentAt: number,
    now: number,
  ): boolean {
    const { rateLimit, isLeaving, isBackoff } = server.statements.apply(
      statement,
      sentAt,
      now,
    );
    if (rateLimit !== null) {
      this.#logRateLimitChange({ server, change: rateLimit }, now);
    }
    if (isLeaving) {
      this.fleet.stated.recordLeaving(server, now);
      this.#reportLeaving(server, "server", now);
    }
    if (isBackoff) this.#reportBackoff(server, now);
    for (const { name, value } of statement.ignored) {
      this.#logIgnored(server, name, value, "invalid", now);
    }
    const refusesKeys = isBackoff && server.statements.ownRefusalEnd > now;
    return rateLimit !== null || isLeaving || refusesKeys;
  }

  /** Logs a statement that was ignored since `server` may not have made it. */
  ignoreStatement(
    server: TrackedServer,
    { isLeaving, backoff, rateLimit }: ServerStatement,
    reason: string,
    now: number,
  ): void {
    const isEmpty = !isLeaving && backoff === null &&
      (rateLimit ?? null) === null;
    if (isEmpty) return;
    const value = JSON.stringify({ isLeaving, backoff, rateLimit });
    this.#logIgnored(server, "statement", value, reason, now);
  }

  /** Applies statements of leaving servers that other VMs have received. */
  applyPeerLeaving(leaving: readonly LeavingServer[], now: number): void {
    for (const server of this.fleet.applyPeerLeaving(leaving, now)) {
      this.#reportLeaving(server, "vm", now);
    }
  }

  /** Handles a server that is leaving, as `source` has stated. */
  #reportLeaving(
    { entry }: TrackedServer,
    source: "server" | "vm",
    now: number,
  ): void {
    // The exit of a server that is leaving is not a crash.
    this.crashDetector.applyServerChanges(
      [{ kind: "draining", server: entry }],
      now,
    );
    const { id, service, address, incarnation } = entry;
    const detail = { server: id, service, address, incarnation, source };
    this.logDecision("server.leaving", detail);
  }

  /** Handles the start of a backoff that a server has requested. */
  #reportBackoff(server: TrackedServer, now: number): void {
    const { id, entry: { service }, statements } = server;
    this.fleet.stated.recordBackoff(server);
    if (!statements.mayLogBackoff(now)) return;
    this.logDecision("server.backed_off", {
      server: id,
      service,
      duration: Math.round(statements.backoffUntil - now),
      refusesKeys: statements.ownRefusalEnd > now,
    });
  }

  /** Logs an ignored header, at a limited frequency. */
  #logIgnored(
    { id, statements }: TrackedServer,
    header: string,
    value: string,
    reason: string,
    now: number,
  ): void {
    if (!statements.mayLogIgnored(header, now)) return;
    const detail = { server: id, header, value, reason };
    this.logDecision("server.header_ignored", detail);
  }

  /** Logs the start or the end of a server's rate limit. */
  #logRateLimitChange(
    { server, change }: ServerRateLimitChange,
    now: number,
  ): void {
    this.logDecision(`server.${change}`, {
      server: server.id,
      service: server.entry.service,
      requestsPerSecond: server.rateLimit.current(now),
    });
  }

  /**
   * Handles changes of the fleet: passes them to the crash detector, closes
   * connections to servers that were removed or have restarted, and logs each
   * change.
   */
  applyServerChanges(changes: readonly FleetChange[], now: number): void {
    this.crashDetector.applyServerChanges(changes, now);
    for (const { kind, server } of changes) {
      if (kind === "removed" || kind === "restarted") {
        this.emit({ kind: "connections.close", server: server.id });
      }
      const isNew = kind === "joined" || kind === "restarted";
      if (isNew && this.features.pacesStarts) {
        this.fleet.get(server.id)?.pace.apply(INITIAL_PACE, now);
      }
      this.logDecision(`server.${kind}`, {
        server: server.id,
        service: server.service,
        address: server.address,
        zone: server.availabilityZone,
        incarnation: server.incarnation,
        warmUp: server.warmUp,
      });
    }
  }

  /**
   * Handles the end of an outage of the store: servers whose registry entries
   * expired during the outage get time to register again.
   */
  storeRegained(now: number): void {
    this.fleet.recovered(now);
    this.logDecision("store.regained", {});
  }

  /** Applies those assignments that are newer than the known ones. */
  assign(assignments: readonly Assignment[]): void {
    for (const assignment of assignments) {
      if (!this.directory.apply(assignment)) continue;
      this.logDecision("assignment.read", {
        service: assignment.service,
        term: assignment.term,
        version: assignment.version,
        ranges: assignment.ranges.length,
        open: assignment.ranges.filter((each) => each.isOpen).length,
      });
    }
  }

  /**
   * Applies changes of the assignments since version `since`. They are ignored
   * if this VM's version is another one; the next report to the term holder
   * then shows that this VM lacks them.
   */
  applyAssignmentChanges(changes: readonly Assignment[], since: number): void {
    for (const change of changes) {
      if (!this.directory.applyChanges(change, since)) continue;
      if (change.ranges.length === 0) continue;
      this.logDecision("assignment.changed", {
        service: change.service,
        term: change.term,
        version: change.version,
        ranges: change.ranges.length,
        open: change.ranges.filter((each) => each.isOpen).length,
      });
    }
  }

  /**
   * Accepts an announced term holder if its term is newer; returns whether it
   * is.
   */
  acceptHolder(holder: HolderAddress): boolean {
    if (holder.term <= (this.#holder?.term ?? -1)) return false;
    this.#holder = holder;
    this.logDecision("holder.announced", { ...holder });
    return true;
  }

  /**
   * Passes on a crash that was attributed to a request, and logs it if it is
   * new.
   */
  #reportCrash(crash: CrashAttribution): void {
    const { request, server, isNew } = crash;
    this.onCrash(crash);
    if (!isNew) return;
    this.logDecision("request.accused", {
      request: request.id,
      server,
      fingerprint: request.fingerprint,
      ends: this.quarantine.crashCountOf(request.fingerprint),
    });
  }

  /** Emits a log line named `decision`, of level `info`. */
  logDecision(decision: string, detail: Detail): void {
    this.emit({ kind: "note", level: "info", decision, detail });
  }
}
