/**
 * Fetches the configuration from the store when another VM's message has named
 * a newer version some time ago. Otherwise a VM would keep the old one after a
 * long poll whose response was lost without an error.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";
import type { PeerMessage } from "../peers/index.ts";

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
/**
 * Minimum time between two requests for a version that the store has lost, in
 * milliseconds. A large configuration takes seconds over a small link.
 */
const REQUEST_INTERVAL = 2_000;
/** Minimum time between two fetches, in milliseconds. */
const FETCH_INTERVAL = 400;

/** See the module's comment. Times are milliseconds of this VM's clock. */
export class ConfigurationWatch {
  #fetchedAt = -Infinity;
  #requestedAt = -Infinity;
  /** Address of the VM that has named the newest missing version, or null. */
  #namedBy: string | null = null;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly emit: Emit,
  ) {}

  /** Creates a watch for the configuration in `clusterState`. */
  static create(clusterState: ClusterState, emit: Emit): ConfigurationWatch {
    return new ConfigurationWatch(clusterState, emit);
  }

  /**
   * Records the configuration version that a message of the VM at `address`
   * names.
   */
  observe(address: string, peerVersion: number, now: number): void {
    const { catalog, namedVersions } = this.clusterState;
    const { newest } = namedVersions;
    namedVersions.name(peerVersion, catalog.version, now);
    if (namedVersions.newest > newest) this.#namedBy = address;
  }

  /**
   * Fetches the configuration if this VM has lacked a version for too long.
   * Messages that name older versions do not change since when it lacks one.
   * `hasHolderUpdates` is true while this VM receives store updates from the
   * term holder.
   */
  advance(hasHolderUpdates: boolean, now: number): void {
    const { catalog, namedVersions } = this.clusterState;
    const gracePeriod = hasHolderUpdates
      ? HOLDER_UPDATE_GRACE_PERIOD
      : GRACE_PERIOD;
    const missingFor = now - namedVersions.missingSince;
    if (missingFor < gracePeriod) return;
    if (now - this.#fetchedAt < FETCH_INTERVAL) return;
    this.#fetchedAt = now;
    this.clusterState.logDecision("configuration.behind", {
      version: catalog.version,
      newest: namedVersions.newest,
      missingFor: Math.round(missingFor),
      hasHolderUpdates,
    });
    this.emit({ kind: "configuration.fetch" });
    if (this.#isMissingInStore(now)) this.#requestFromPeer(now);
  }

  /**
   * Whether the store has lost the newest version: it was read since the version
   * was named, and returned an older one.
   */
  #isMissingInStore(now: number): boolean {
    const { namedVersions, storedConfiguration } = this.clusterState;
    const { version, at } = storedConfiguration;
    return at >= namedVersions.missingSince + GRACE_PERIOD &&
      (version ?? -1) < namedVersions.newest &&
      now >= this.#requestedAt + REQUEST_INTERVAL;
  }

  /** Requests the newest version from the VM that has named it. */
  #requestFromPeer(now: number): void {
    const address = this.#namedBy;
    if (address === null) return;
    this.#requestedAt = now;
    const message: PeerMessage = {
      kind: "state.wanted",
      ...this.clusterState.senderState(),
      takesParts: true,
    };
    this.emit({ kind: "peer.send", address, message });
  }
}
