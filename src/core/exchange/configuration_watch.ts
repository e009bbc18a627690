/**
 * Fetches the configuration from the store when other VMs' messages have named
 * a newer version for some time. Otherwise a VM would keep the old one after a
 * long poll whose response was lost without an error.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";

/**
 * Time in which a newer configuration may still arrive through the long poll or
 * from the term holder before it is fetched, in milliseconds.
 */
const GRACE_PERIOD = 600;
/**
 * The same for a VM that receives store updates from the term holder instead of
 * the store. They arrive with the answer to its next report, which can take up
 * to 750 ms on an otherwise idle VM.
 */
const HOLDER_UPDATE_GRACE_PERIOD = 1_000;
/** Minimum time between two fetches, in milliseconds. */
const FETCH_INTERVAL = 400;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ConfigurationWatch {
  #fetchedAt = -Infinity;
  /**
   * Since when every message from another VM has named a newer version;
   * Infinity if the last one did not.
   */
  #behindSince = Infinity;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly emit: Emit,
  ) {}

  /** Creates a watch that knows of no newer configuration. */
  static create(clusterState: ClusterState, emit: Emit): ConfigurationWatch {
    return new ConfigurationWatch(clusterState, emit);
  }

  /**
   * Compares the configuration version of another VM with this VM's and fetches
   * the configuration if this VM's has been older for too long.
   * `hasHolderUpdates` is true while this VM receives store updates from the
   * term holder.
   */
  compare(peerVersion: number, hasHolderUpdates: boolean, now: number): void {
    const { version } = this.clusterState.catalog;
    const { namedVersions } = this.clusterState;
    namedVersions.name(peerVersion, version, now);
    if (peerVersion <= version) {
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
    this.clusterState.logDecision("configuration.behind", {
      version,
      newest: namedVersions.newest,
      missingFor: Math.round(now - namedVersions.missingSince),
      hasHolderUpdates,
    });
    this.emit({ kind: "configuration.fetch" });
  }
}
