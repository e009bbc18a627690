/**
 * The backend servers that the registry lists.
 *
 * @module
 */
import type { BackendServer } from "./backend_server.ts";
import { type LatencySamples, TrackedServer } from "./tracked_server.ts";

/**
 * Time after the registry is back within which entries that lapsed during its
 * outage are written again, in milliseconds; as the platform's operators state
 * it. Removals that are read in this time take effect at its end, if the entry
 * has not come back.
 */
const RETURN_TIME = 2_000;

/** Time for which a mean over a service's servers is kept, in milliseconds:
 * requests look at it several times each, and it changes slowly. */
const MEAN_LIFETIME = 50;

/** Answer times of one server, by its id. */
export interface ServerSamples extends LatencySamples {
  server: string;
}

/** A change of the list of servers. */
export interface FleetChange {
  /** `restarted`: its id is listed with another incarnation than before. */
  kind: "joined" | "restarted" | "draining" | "removed";
  server: BackendServer;
}

/** See the module's comment. */
export class Fleet {
  readonly #servers = new Map<string, TrackedServer>();
  readonly #byService = new Map<string, TrackedServer[]>();
  readonly #joinedAt = new Map<string, number>();
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

  /** Takes new or changed entries and removals. */
  apply(
    entries: readonly BackendServer[],
    removed: readonly string[],
    now: number,
  ): FleetChange[] {
    const changes: FleetChange[] = [];
    for (const id of removed) this.#withdraw(id, now, changes);
    for (const entry of entries) this.#put(entry, now, changes);
    return changes;
  }

  /**
   * Takes entries that another VM knows, by a word without a position in the
   * registry. Such a word cannot tell which of two runs is the newer, so a
   * server that is listed stays the run that it is: a wrong step back would
   * forget what the newer run holds, while one that is late is made up for by
   * the next read.
   */
  learn(entries: readonly BackendServer[], now: number): FleetChange[] {
    const isOfSameRun = ({ id, incarnation }: BackendServer) =>
      (this.get(id)?.entry.incarnation ?? incarnation) === incarnation;
    return this.apply(entries.filter(isOfSameRun), [], now);
  }

  /** Takes a whole list: servers that it does not hold are removed. */
  replace(entries: readonly BackendServer[], now: number): FleetChange[] {
    const listed = new Set(entries.map((entry) => entry.id));
    const missing = [...this.#servers.keys()].filter((id) => !listed.has(id));
    return this.apply(entries, missing, now);
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
  takeSamples(service: string): ServerSamples[] {
    return this.of(service).flatMap((server) => {
      const samples = server.takeSamples();
      return samples === null ? [] : [{ server: server.id, ...samples }];
    });
  }

  /** Takes in what another VM has measured. */
  observe(samples: readonly ServerSamples[], now: number): void {
    for (const { server, ...each } of samples) {
      this.#servers.get(server)?.observe(each, now);
    }
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
    this.#doubtful.delete(entry.id);
    const known = this.#servers.get(entry.id);
    if (known === undefined) {
      this.#add(entry, now);
      changes.push({ kind: "joined", server: entry });
      return;
    }
    if (entry.incarnation !== known.entry.incarnation) {
      // Nothing that was seen of the older run holds for this one.
      this.#forget(known);
      this.#add(entry, now);
      changes.push({ kind: "restarted", server: entry });
      return;
    }
    if (entry.service !== known.entry.service) {
      this.#remove(entry.id, changes);
      this.#add(entry, now);
      changes.push({ kind: "joined", server: entry });
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
    this.#servers.set(entry.id, server);
    this.#joinedAt.set(entry.service, now);
    const others = this.#byService.get(entry.service) ?? [];
    this.#byService.set(entry.service, [...others, server]);
  }

  #forget({ id, entry: { service } }: TrackedServer): void {
    this.#servers.delete(id);
    const others = this.of(service).filter((each) => each.id !== id);
    if (others.length > 0) this.#byService.set(service, others);
    else this.#byService.delete(service);
  }

  #withdraw(id: string, now: number, changes: FleetChange[]): void {
    const until = this.#regainedAt + RETURN_TIME;
    if (until <= now) return this.#remove(id, changes);
    if (this.#servers.has(id)) this.#doubtful.set(id, until);
  }

  #remove(id: string, changes: FleetChange[]): void {
    this.#doubtful.delete(id);
    const server = this.#servers.get(id);
    if (server === undefined) return;
    this.#forget(server);
    changes.push({ kind: "removed", server: server.entry });
  }
}
