/**
 * The backend servers that the registry lists.
 *
 * @module
 */
import type { BackendServer } from "./backend_server.ts";
import { type EvacuationChange, Evacuations } from "./evacuations.ts";
import type { RateChange, RateStatement } from "./stated_rate.ts";
import {
  type LatencySamples,
  type StatedLoad,
  TrackedServer,
} from "./tracked_server.ts";

/**
 * Time after the registry is back within which entries that lapsed during its
 * outage are written again, in milliseconds; as the platform's operators state
 * it. Removals that are read in this time take effect at its end, if the entry
 * has not come back.
 */
const RETURN_TIME = 2_000;

/**
 * Time for which a server whose entry cannot be read any more is still used, in
 * milliseconds: one heartbeat, with which a living server writes its entry anew,
 * and one read of the registry. Another writer then costs no request, and a
 * server that has ended is found out by its failures as before.
 */
const UNREADABLE_TIME = 1_500;

/** Time for which a mean over a service's servers is kept, in milliseconds:
 * requests look at it several times each, and it changes slowly. */
const MEAN_LIFETIME = 50;

/** Answer times of one server, by its id. */
export interface ServerSamples extends LatencySamples {
  server: string;
}

/** Load that a server stated, by its id. */
export interface ServerLoad extends StatedLoad {
  server: string;
}

/** Rate limit that a server has stated, by its id. */
export interface ServerRate extends RateStatement {
  server: string;
}

/** The rate limit of a server has begun or ended. */
export interface ServerRateChange {
  server: TrackedServer;
  change: RateChange;
}

/** A change of the list of servers. */
export interface FleetChange {
  /** `restarted`: its id is listed with another incarnation than before. */
  kind: "joined" | "restarted" | "draining" | "removed";
  server: BackendServer;
}

/** See the module's comment. */
export class Fleet {
  /** Zones whose servers get nothing. */
  readonly evacuations = Evacuations.create();
  readonly #servers = new Map<string, TrackedServer>();
  readonly #byService = new Map<string, TrackedServer[]>();
  readonly #joinedAt = new Map<string, number>();
  /** Ids that only words without a position have listed. */
  readonly #unconfirmed = new Set<string>();
  /** Ids whose removal waits, and until when. */
  readonly #doubtful = new Map<string, number>();
  readonly #usualLatencies = new Map<
    string,
    { latency: number; until: number }
  >();
  #regainedAt = -Infinity;

  private constructor() {}

  /** An empty list. */
  static create(): Fleet {
    return new Fleet();
  }

  /** The registry answers again after an outage. */
  regained(now: number): void {
    this.#regainedAt = now;
  }

  /** Zones were evacuated or taken back. */
  evacuate({ evacuated, restored }: EvacuationChange, now: number): void {
    for (const server of this.#servers.values()) {
      const { availabilityZone } = server.entry;
      if (evacuated.includes(availabilityZone)) server.evacuate(true, now);
      if (restored.includes(availabilityZone)) server.evacuate(false, now);
    }
  }

  /** Takes new or changed entries, removals, and servers whose entry cannot be
   * read any more. */
  apply(
    entries: readonly BackendServer[],
    removed: readonly string[],
    now: number,
    unreadable: readonly string[] = [],
  ): FleetChange[] {
    const changes: FleetChange[] = [];
    for (const id of unreadable) this.#doubt(id, now);
    for (const id of removed) this.#withdraw(id, now, changes);
    for (const entry of entries) this.#put(entry, now, changes);
    return changes;
  }

  /**
   * Takes entries that another VM knows, by a word without a position in the
   * registry. Such a word cannot tell which of two runs is the newer, so a
   * server that is listed stays the run that it is: a wrong step back would
   * forget what the newer run holds, while one that is late is made up for by
   * the next read. Nor can it tell whether a server has been removed since: one
   * that is doubted stays so, and one that is not listed has to be confirmed.
   */
  learn(entries: readonly BackendServer[], now: number): FleetChange[] {
    const isOfSameRun = ({ id, incarnation }: BackendServer) =>
      (this.get(id)?.entry.incarnation ?? incarnation) === incarnation;
    const usable = entries.filter((entry) =>
      isOfSameRun(entry) && !this.#doubtful.has(entry.id)
    );
    for (const { id } of usable) {
      if (!this.#servers.has(id)) this.#unconfirmed.add(id);
    }
    return this.apply(usable, [], now);
  }

  /** The registry is known again, by a position: a server that only other VMs
   * told of and that is not listed there goes, unless an entry of it comes. */
  confirm(isListed: (id: string) => boolean, now: number): void {
    for (const id of this.#unconfirmed) {
      if (!isListed(id)) this.#doubt(id, now);
    }
    this.#unconfirmed.clear();
  }

  /** Takes a whole list: servers that it does not hold are removed. */
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
    return this.apply(entries, missing, now, unreadable);
  }

  /** Carries out removals whose time has come. */
  expire(now: number): FleetChange[] {
    const changes: FleetChange[] = [];
    for (const [id, at] of this.#doubtful) {
      if (at <= now) this.#remove(id, changes);
    }
    return changes;
  }

  /** All servers. */
  all(): TrackedServer[] {
    return [...this.#servers.values()];
  }

  /** A server by id. */
  get(id: string): TrackedServer | undefined {
    return this.#servers.get(id);
  }

  /** All servers of a service. */
  of(service: string): readonly TrackedServer[] {
    return this.#byService.get(service) ?? [];
  }

  /** What this VM has measured of a service's servers since it was asked last. */
  takeSamples(service: string, now: number): ServerSamples[] {
    return this.of(service).flatMap((server) => {
      const samples = server.takeSamples(now);
      return samples === null ? [] : [{ server: server.id, ...samples }];
    });
  }

  /** Takes in what another VM has measured. */
  observe(samples: readonly ServerSamples[], now: number): void {
    for (const { server, ...each } of samples) {
      this.#servers.get(server)?.observe(each, now);
    }
  }

  /** Takes in what other VMs were told of servers' load. */
  hearLoads(loads: readonly ServerLoad[], now: number): void {
    for (const { server, ...load } of loads) {
      this.#servers.get(server)?.hearLoad(load, now);
    }
  }

  /** Takes the rate limits that servers have stated to this VM since the last call. */
  takeRates(now: number): ServerRate[] {
    return this.all().flatMap(({ id, rate }) => {
      const statement = rate.takeUnreported(now);
      return statement === null ? [] : [{ server: id, ...statement }];
    });
  }

  /** All rate limits that were stated recently, including those that have ended. */
  statedRates(now: number): ServerRate[] {
    return this.all().flatMap(({ id, rate }) => {
      const statement = rate.statement(now);
      return statement === null ? [] : [{ server: id, ...statement }];
    });
  }

  /** Applies rate limits that servers have stated to other VMs; returns the changes. */
  hearRates(rates: readonly ServerRate[], now: number): ServerRateChange[] {
    return rates.flatMap(({ server: id, ...statement }) => {
      const server = this.#servers.get(id);
      const change = server?.rate.heard(statement, now) ?? null;
      return change === null ? [] : [{ server: server!, change }];
    });
  }

  /** When a server of a service was listed last that was not before; one that
   * has started again counts, since it holds nothing. */
  joinedAt(service: string): number {
    return this.#joinedAt.get(service) ?? -Infinity;
  }

  /** Whether another server than `id` is listed at `address`. It may have been
   * there before: entries of servers that are gone stay for a while. */
  isReused(address: string, id: string): boolean {
    for (const server of this.#servers.values()) {
      if (server.entry.address === address && server.id !== id) return true;
    }
    return false;
  }

  /** Mean of the known latencies of a service's servers, in milliseconds. */
  usualLatency(service: string, now: number): number {
    const known = this.#usualLatencies.get(service);
    if (known !== undefined && now < known.until) return known.latency;
    const latency = this.#meanLatency(service);
    const until = now + MEAN_LIFETIME;
    this.#usualLatencies.set(service, { latency, until });
    return latency;
  }

  #meanLatency(service: string): number {
    let sum = 0;
    let count = 0;
    for (const { latency } of this.of(service)) {
      if (latency === null) continue;
      sum += latency;
      count += 1;
    }
    return count === 0 ? 0 : sum / count;
  }

  #put(entry: BackendServer, now: number, changes: FleetChange[]): void {
    const known = this.#servers.get(entry.id);
    if (known === undefined) {
      this.#add(entry, now);
      changes.push({ kind: "joined", server: entry });
      return;
    }
    if (!mayBeOf(known.entry, entry)) return this.#doubt(entry.id, now);
    this.#doubtful.delete(entry.id);
    if (entry.incarnation !== known.entry.incarnation) {
      // Nothing that was seen of the older run holds for this one.
      this.#forget(known);
      this.#add(entry, now);
      changes.push({ kind: "restarted", server: entry });
      return;
    }
    const wasDraining = known.entry.isDraining;
    // No run goes back from draining: an entry that says so is an old heartbeat
    // that came late, and what is sent there would reach a server that leaves.
    const isDraining = entry.isDraining || wasDraining;
    known.update({ ...entry, isDraining }, now);
    if (isDraining && !wasDraining) {
      changes.push({ kind: "draining", server: entry });
    }
  }

  #add(entry: BackendServer, now: number): void {
    const server = TrackedServer.create(entry);
    server.update(entry, now);
    server.evacuate(this.evacuations.has(entry.availabilityZone), now);
    this.#servers.set(entry.id, server);
    this.#joinedAt.set(entry.service, now);
    const others = this.#byService.get(entry.service) ?? [];
    this.#byService.set(entry.service, [...others, server]);
  }

  #forget({ id, entry: { service } }: TrackedServer): void {
    this.#servers.delete(id);
    this.#unconfirmed.delete(id);
    const others = this.of(service).filter((each) => each.id !== id);
    if (others.length > 0) this.#byService.set(service, others);
    else this.#byService.delete(service);
  }

  #withdraw(id: string, now: number, changes: FleetChange[]): void {
    const until = this.#regainedAt + RETURN_TIME;
    if (until <= now) return this.#remove(id, changes);
    if (this.#servers.has(id)) this.#doubtful.set(id, until);
  }

  /** The newest entry of a server names none to use: it goes, unless a good one
   * comes in time. */
  #doubt(id: string, now: number): void {
    if (!this.#servers.has(id) || this.#doubtful.has(id)) return;
    this.#doubtful.set(id, now + UNREADABLE_TIME);
  }

  #remove(id: string, changes: FleetChange[]): void {
    this.#doubtful.delete(id);
    const server = this.#servers.get(id);
    if (server === undefined) return;
    this.#forget(server);
    changes.push({ kind: "removed", server: server.entry });
  }
}

/**
 * Whether `next` may be an entry of the server that wrote `known`. A server keeps
 * its service, and one that tells its incarnation always does: an entry without
 * is another writer's.
 */
function mayBeOf(known: BackendServer, next: BackendServer): boolean {
  const isTold = next.incarnation !== 0 || known.incarnation === 0;
  return isTold && next.service === known.service;
}
