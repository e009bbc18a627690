/**
 * Runs on the term holder: detects servers that have started or recovered, and
 * controls their pace from the reports of all VMs.
 *
 * @module
 */
import type { ClusterState } from "../cluster_state.ts";
import type { ServerSamples, TrackedServer } from "../fleet/index.ts";
import { PaceControl } from "../pace/index.ts";
import type { ServerState } from "../peers/index.ts";

/** Time between two checks, in milliseconds. */
const CHECK_INTERVAL = 100;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class StartPacing {
  #control = PaceControl.create();
  /** When each server has last started or recovered, by its id. */
  readonly #startedAt = new Map<string, number>();
  #term: number | null = null;
  #checkedAt = -Infinity;

  private constructor(private readonly clusterState: ClusterState) {}

  /** Creates a control without paces. */
  static create(clusterState: ClusterState): StartPacing {
    return new StartPacing(clusterState);
  }

  /** Number of servers with a pace below 1. */
  get count(): number {
    return this.#control.count;
  }

  /** Servers with a pace below 1, for the followers. */
  get states(): ServerState[] {
    return this.#control.paces();
  }

  /** Adds what a VM has measured of servers. */
  observe(samples: readonly ServerSamples[], now: number): void {
    if (!this.clusterState.features.pacesStarts) return;
    for (const { server: id, mean, count, load, failures = 0 } of samples) {
      const slots = this.clusterState.fleet.get(id)?.entry.slots;
      if (slots === undefined) continue;
      const requestsPerSlot = load === undefined ? null : load.requests / slots;
      const observation = { mean, count, failures, requestsPerSlot };
      this.#control.observe(id, observation, now);
    }
  }

  /** Performs what is due in `term`, of which this VM is the holder. */
  advance(term: number, now: number): void {
    const { features, fleet } = this.clusterState;
    if (!features.pacesStarts || now - this.#checkedAt < CHECK_INTERVAL) return;
    this.#checkedAt = now;
    if (term !== this.#term) this.#startTerm(term, now);
    this.#detectStarts(now);
    this.observe(fleet.takeAllSamples(now), now);
    const changes = this.#control.advance((id) => this.#usualLatency(id), now);
    for (const { server: id, pace, reason } of changes) {
      const detail = { server: id, pace: Number(pace.toFixed(3)), reason };
      this.clusterState.logDecision("server.paced", detail);
    }
    for (const server of fleet.all()) {
      const pace = this.#control.paceOf(server.id);
      if (pace < 1 || server.pace.at(now) < 1) server.pace.apply(pace, now);
    }
  }

  /** Continues with the paces that this VM knows as a follower. */
  #startTerm(term: number, now: number): void {
    this.#term = term;
    this.#control = PaceControl.create();
    this.#startedAt.clear();
    for (const server of this.clusterState.fleet.all()) {
      this.#startedAt.set(server.id, startOf(server, now));
      const pace = server.pace.at(now);
      if (pace < 1) this.#control.started(server.id, now, pace);
    }
  }

  #detectStarts(now: number): void {
    const { fleet } = this.clusterState;
    for (const id of this.#startedAt.keys()) {
      if (fleet.get(id) !== undefined) continue;
      this.#startedAt.delete(id);
      this.#control.removed(id);
    }
    for (const server of fleet.all()) {
      const startedAt = startOf(server, now);
      if (startedAt <= (this.#startedAt.get(server.id) ?? -Infinity)) continue;
      this.#startedAt.set(server.id, startedAt);
      this.#control.started(server.id, now);
    }
  }

  /** Mean latency of the server's service, in milliseconds; 0 if unknown. */
  #usualLatency(id: string): number {
    const { fleet } = this.clusterState;
    const service = fleet.get(id)?.entry.service;
    return service === undefined
      ? 0
      : fleet.meanLatency(service, this.#checkedAt);
  }
}

/**
 * When a server has last started or recovered: it was listed, became cold, or a
 * backoff of it has ended.
 */
function startOf(
  { listedAt, coldSince, statements: { backoffUntil } }: TrackedServer,
  now: number,
): number {
  const backoffEnd = backoffUntil <= now ? backoffUntil : -Infinity;
  return Math.max(listedAt, coldSince, backoffEnd);
}
