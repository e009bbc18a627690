/**
 * Everything that the core wants done, as data.
 *
 * @module
 */
import type { CallerLimits } from "./catalog/index.ts";
import type { DispatchEffect } from "./dispatch/index.ts";
import type { KeyspaceEffect } from "./keyspace/index.ts";
import type { AssignmentFetch, PeerSend } from "./peers/index.ts";
import type { QuarantineWrite } from "./exchange/index.ts";
import type { RegistryFetch } from "./registry/index.ts";

/** See the module's comment. */
export type EntryEffect =
  | DispatchEffect
  | KeyspaceEffect
  | PeerSend
  | AssignmentFetch
  | RegistryFetch
  | QuarantineWrite
  /** A newer configuration than the one in force exists: read it now. */
  | { kind: "configuration.fetch" }
  /** The store's feeds are followed here, or left to the term holder, which tells
   * what is new. */
  | { kind: "feeds.follow"; isOn: boolean }
  /** Callers are held to these limits from now on. */
  | { kind: "limits.apply"; limits: CallerLimits }
  /** The idle connections to a server, or to its older run, that is gone are of
   * no more use; those in use end with their answer. */
  | { kind: "connections.close"; server: string }
  /** What the balancer's readiness check is told. */
  | { kind: "readiness.set"; isReady: boolean }
  /** Connections of callers end with their next answer. */
  | { kind: "callers.drain" }
  /** Idle connections of callers are closed and no new ones taken; answered by
   * `callers.closed`. */
  | { kind: "callers.close" }
  /** Nothing is left to do. */
  | { kind: "process.stop" };
