/**
 * Transfers state between VMs: one that cannot reach the store or has no
 * configuration requests the configuration, servers and key assignments from
 * other VMs.
 *
 * @module
 */
import type { ClusterState, Emit } from "../cluster_state.ts";
import {
  type HolderAddress,
  type MessageOf,
  type QuarantineUpdate,
  StateRequester,
} from "../peers/index.ts";
import type { StoreHealth } from "../store_health.ts";

/** Sends and answers state requests, and applies the answers. */
export class StateExchange {
  readonly #requester: StateRequester;

  private constructor(
    private readonly clusterState: ClusterState,
    private readonly store: StoreHealth,
    private readonly emit: Emit,
    seeds: readonly string[],
  ) {
    this.#requester = StateRequester.create(seeds);
  }

  /**
   * Creates an exchange that sends requests to the term holder and, until a
   * configuration is known, to the VMs at `seeds`.
   */
  static create(
    clusterState: ClusterState,
    store: StoreHealth,
    emit: Emit,
    seeds: readonly string[],
  ): StateExchange {
    return new StateExchange(clusterState, store, emit, seeds);
  }

  /**
   * Sends the requests that are due. They include `quarantineUpdate`. `holder`
   * is the address of the term holder, or null.
   */
  advance(
    quarantineUpdate: QuarantineUpdate,
    holder: string | null,
    now: number,
  ): void {
    const requests = this.#requester.advance(
      now,
      this.clusterState.senderState(),
      quarantineUpdate,
      holder,
      !this.clusterState.catalog.isLoaded,
      this.store.isLost,
    );
    this.emit(...requests);
  }

  /**
   * Sends this VM's state to a VM that requested it. Parts that the requester
   * already has are left out if it accepts partial state.
   */
  sendState(address: string, request: MessageOf<"state.wanted">): void {
    const { catalog, fleet, directory, holder } = this.clusterState;
    const { configuration } = catalog;
    if (configuration === null) return;
    const mayOmitParts = request.takesParts ?? false;
    const hasConfiguration = mayOmitParts &&
      request.configuration >= catalog.version;
    const { term, version } = directory.position;
    const hasAssignments = mayOmitParts && request.term === term &&
      request.version === version;
    this.emit({
      kind: "peer.send",
      address,
      message: {
        kind: "state.told",
        ...this.clusterState.senderState(),
        state: {
          ...(hasConfiguration ? {} : { configuration }),
          servers: fleet.all().map((each) => each.entry),
          assignments: hasAssignments ? [] : directory.assignments,
          holder,
        },
      },
    });
  }

  /**
   * Applies another VM's configuration, and the rest of its state if the store
   * is unreachable or no configuration was known. Returns the term holder that the state names, or null if it names
   * none or was ignored.
   */
  applyState(
    { state }: MessageOf<"state.told">,
    now: number,
  ): HolderAddress | null {
    const { clusterState } = this;
    const { configuration, servers, assignments, holder } = state;
    const wasLoaded = clusterState.catalog.isLoaded;
    // A newer version is in force elsewhere, even if the store has lost it.
    if (configuration !== undefined) {
      clusterState.configure(configuration, "vm", now);
    }
    if (!this.store.isLost && wasLoaded) return null;
    clusterState.applyServerChanges(
      clusterState.fleet.applyPeerEntries(servers, now),
      now,
    );
    clusterState.assign(assignments);
    return holder;
  }
}
