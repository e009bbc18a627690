/**
 * Effects: all output of the core, as data. The runtime carries them out.
 *
 * @module
 */
import type { CallerLimits } from "./catalog/index.ts";
import type { DispatchEffect } from "./dispatch/index.ts";
import type { KeyspaceEffect } from "./keyspace/index.ts";
import type { AssignmentFetch, PeerSend } from "./peers/index.ts";
import type { QuarantineWrite } from "./exchange/index.ts";
import type { RegistryFetch } from "./registry/index.ts";
import type { RelayOpen, RelayRefuse } from "./reach/index.ts";

/** See the module's comment. */
export type EntryEffect =
  | DispatchEffect
  | KeyspaceEffect
  | PeerSend
  | AssignmentFetch
  | RegistryFetch
  | QuarantineWrite
  /** Use no more answers of the store from an era before this one. */
  | { kind: "store.learn_era"; era: number }
  /**
   * Read the configuration from the store now: another VM has a newer version.
   */
  | { kind: "configuration.fetch" }
  /**
   * Read the store's feeds (its records and, by long polls, their updates), or
   * stop reading them while the term holder sends the updates.
   */
  | { kind: "feeds.follow"; isOn: boolean }
  /** Enforce these limits on callers from now on. */
  | { kind: "limits.apply"; limits: CallerLimits }
  /**
   * Close the connections to a server that was removed or has restarted: idle
   * ones now, those in use after their response.
   */
  | { kind: "connections.close"; server: string }
  /**
   * Fail the attempts whose direct connections are not established yet. Unless
   * established connections are usable, also close the idle ones to all
   * servers, and those in use after their response, and end the orders in
   * flight there as failed.
   */
  | { kind: "connections.abandon"; isEstablishedUsable: boolean }
  | RelayOpen
  | RelayRefuse
  /** Reset all connections that other VMs have through this VM. */
  | { kind: "relay.abort" }
  /**
   * Close the connections through the VM at `relay`, which is about to stop:
   * idle ones now, those in use after their response.
   */
  | { kind: "relay.retire"; relay: string }
  /** Set the result of the load balancer's readiness checks. */
  | { kind: "readiness.set"; isReady: boolean }
  /** Close each caller connection after its last pending response. */
  | { kind: "callers.drain" }
  /**
   * Close idle caller connections and accept no new ones. The event
   * `callers.closed` follows when all responses have been sent.
   */
  | { kind: "callers.close" }
  /**
   * Stop the process: the shutdown is complete or has reached its time limit.
   */
  | { kind: "process.stop" };
