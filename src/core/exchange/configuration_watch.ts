/**
 * Fetches the configuration when a peer has had a newer one for some time. This covers
 * a long poll of the store whose response was lost without an error.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";

/** How long to wait for a newer configuration to arrive from the store or with the
 * term holder's next answer before fetching it, in milliseconds. */
const GRACE_PERIOD = 600;
/** The same for a VM that receives store updates from the term holder instead of the
 * store. They arrive with the answer to its next report, which can take up to 750 ms
 * on an otherwise idle VM. */
const HOLDER_UPDATE_GRACE_PERIOD = 1_000;
/** Minimum time between two fetches, in milliseconds. */
const FETCH_INTERVAL = 400;

/** Compares the configuration versions of peers with this VM's own. Times are in
 * milliseconds on this VM's clock. */
export class ConfigurationWatch {
  #fetchedAt = -Infinity;
  /** When a peer was first seen with a newer configuration; Infinity if none. */
  #behindSince = Infinity;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly emit: Emit,
  ) {}

  /** Creates a watch that has seen no newer configuration. */
  static create(clusterState: ClusterState, emit: Emit): ConfigurationWatch {
    return new ConfigurationWatch(clusterState, emit);
  }

  /** Compares a peer's configuration version, `newest`, with the one in force here and
   * requests a fetch if this VM has been behind for too long. `hasHolderUpdates` is
   * true while this VM receives store updates from the term holder. */
  compare(newest: number, hasHolderUpdates: boolean, now: number): void {
    const { version } = this.clusterState.catalog;
    if (newest <= version) {
      this.#behindSince = Infinity;
      return;
    }
    this.#behindSince = Math.min(this.#behindSince, now);
    const gracePeriod = hasHolderUpdates
      ? HOLDER_UPDATE_GRACE_PERIOD
      : GRACE_PERIOD;
    if (now - this.#behindSince < gracePeriod) return;
    if (now - this.#fetchedAt < FETCH_INTERVAL) return;
    this.#fetchedAt = now;
    this.clusterState.logDecision("configuration.behind", { version, newest });
    this.emit({ kind: "configuration.fetch" });
  }
}
