/**
 * What a process believes of the system: configuration, servers, assignments
 * and who holds the term. Every change makes a line for the log.
 *
 * @module
 */
import { Catalog, type Configuration } from "./catalog/index.ts";
import type { EntryEffect } from "./entry_effect.ts";
import {
  type EvacuationChange,
  type EvacuationNews,
  type EvacuationRead,
  Fleet,
  type FleetChange,
  type ServerRate,
  type ServerRateChange,
} from "./fleet/index.ts";
import { type Assignment, KeyDirectory, KeyLimits } from "./keyspace/index.ts";
import type { HolderAddress, Knowledge } from "./peers/index.ts";
import { type Accusation, CrashWatch, Quarantine } from "./quarantine/index.ts";
import { RegistryReplica } from "./registry/index.ts";

/** Takes effects. */
export type Emit = (...effects: EntryEffect[]) => void;

/** Fields of a line for the log. */
type Detail = Record<string, string | number | boolean | null>;

/** See the module's comment. */
export class Beliefs {
  readonly catalog = Catalog.create();
  readonly fleet = Fleet.create();
  readonly directory = KeyDirectory.create();
  readonly keyLimits = KeyLimits.create();
  readonly registry = RegistryReplica.create();
  readonly quarantine = Quarantine.create(({ kind, crashes }) =>
    this.note(`quarantine.${kind}`, {
      fingerprint: crashes.request,
      target: crashes.target,
      round: crashes.round,
      runs: crashes.runs.join(" "),
    })
  );
  readonly crashes = CrashWatch.create(
    this.quarantine,
    (accusation) => this.#accused(accusation),
  );
  #holder: HolderAddress | null = null;

  private constructor(
    private readonly emit: Emit,
    private readonly serverEnded: (accusation: Accusation) => void,
  ) {}

  /** Knows nothing yet; passes effects to `emit`, and calls `serverEnded` for each
   * request that was at work on a server when that ended. */
  static create(
    emit: Emit,
    serverEnded: (accusation: Accusation) => void = () => {},
  ): Beliefs {
    return new Beliefs(emit, serverEnded);
  }

  /** The newest announced term holder, or null. */
  get holder(): HolderAddress | null {
    return this.#holder;
  }

  /** What other VMs are told that this one knows. */
  knowledge(position = this.directory.position): Knowledge {
    const { term, version } = position;
    const evacuation = this.fleet.evacuations.news;
    return {
      term,
      version,
      configuration: this.catalog.version,
      ...(evacuation === null ? {} : { evacuation }),
    };
  }

  /** Takes a configuration, if it is newer. */
  configure(configuration: Configuration): void {
    if (!this.catalog.apply(configuration)) return;
    this.note("configuration.applied", {
      version: this.catalog.version,
      routes: configuration.routes.length,
    });
    this.emit({ kind: "limits.apply", limits: configuration.limits });
  }

  /** Takes what the store tells of evacuated zones. */
  evacuationsRead(read: EvacuationRead, now: number): void {
    this.#evacuate(this.fleet.evacuations.read(read), now);
  }

  /** Takes what another VM tells of them. */
  evacuationsTold(news: EvacuationNews, now: number): void {
    this.#evacuate(this.fleet.evacuations.learn(news), now);
  }

  #evacuate(change: EvacuationChange, now: number): void {
    const { position } = this.fleet.evacuations;
    this.fleet.evacuate(change, now);
    for (const zone of change.evacuated) {
      this.note("zone.evacuated", { zone, position });
    }
    for (const zone of change.restored) {
      this.note("zone.restored", { zone, position });
    }
  }

  /** Applies rate limits that servers have stated to other VMs. */
  hearRates(rates: readonly ServerRate[], now: number): void {
    const changes = this.fleet.hearRates(rates, now);
    for (const each of changes) this.rateLimitChanged(each, now);
  }

  /** Logs that the rate limit of a server has begun or ended. */
  rateLimitChanged({ server, change }: ServerRateChange, now: number): void {
    this.note(`server.${change}`, {
      server: server.id,
      service: server.entry.service,
      requestsPerSecond: server.rate.current(now),
    });
  }

  /** Takes changes of the list of servers. */
  changeServers(changes: readonly FleetChange[], now: number): void {
    this.crashes.changed(changes, now);
    for (const { kind, server } of changes) {
      if (kind === "removed" || kind === "restarted") {
        this.emit({ kind: "connections.close", server: server.id });
      }
      this.note(`server.${kind}`, {
        server: server.id,
        service: server.service,
        address: server.address,
        zone: server.availabilityZone,
        incarnation: server.incarnation,
        warmUp: server.warmUp,
      });
    }
  }

  /** The store answers again after a loss: entries that lapsed meanwhile are given
   * the time to return. */
  storeRegained(now: number): void {
    this.fleet.regained(now);
    this.note("store.regained", {});
  }

  /** Takes assignments, those that are newer. */
  assign(assignments: readonly Assignment[]): void {
    for (const assignment of assignments) {
      if (!this.directory.apply(assignment)) continue;
      this.note("assignment.read", {
        service: assignment.service,
        term: assignment.term,
        version: assignment.version,
        ranges: assignment.ranges.length,
        open: assignment.ranges.filter((each) => each.isOpen).length,
      });
    }
  }

  /** Takes changes of the assignments that build on the version `since`; those
   * that do not follow on what is known here are asked for again. */
  changeAssignments(changes: readonly Assignment[], since: number): void {
    for (const change of changes) {
      if (!this.directory.change(change, since)) continue;
      if (change.ranges.length === 0) continue;
      this.note("assignment.changed", {
        service: change.service,
        term: change.term,
        version: change.version,
        ranges: change.ranges.length,
        open: change.ranges.filter((each) => each.isOpen).length,
      });
    }
  }

  /** Takes the announcement of a term holder, if its term is newer. */
  followHolder(holder: HolderAddress): boolean {
    if (holder.term <= (this.#holder?.term ?? -1)) return false;
    this.#holder = holder;
    this.note("holder.announced", { ...holder });
    return true;
  }

  #accused(accusation: Accusation): void {
    const { request, server, isNews } = accusation;
    this.serverEnded(accusation);
    if (!isNews) return;
    this.note("request.accused", {
      request: request.id,
      server,
      fingerprint: request.fingerprint,
      ends: this.quarantine.endsUnder(request.fingerprint),
    });
  }

  /** Writes a line for the log. */
  note(decision: string, detail: Detail): void {
    this.emit({ kind: "note", level: "info", decision, detail });
  }
}
