/**
 * Effects: what the core asks the runtime to carry out, as data.
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
  /** Read the configuration now: a version newer than the active one exists. */
  | { kind: "configuration.fetch" }
  /** Follow the store's feeds, or stop following them while the term holder sends
   * the updates. */
  | { kind: "feeds.follow"; isOn: boolean }
  /** Enforce these limits on callers from now on. */
  | { kind: "limits.apply"; limits: CallerLimits }
  /** Close the idle connections to a server that was removed, or whose previous process
   * has ended; connections in use close after their response. */
  | { kind: "connections.close"; server: string }
  /** Set the result of the load balancer's readiness check. */
  | { kind: "readiness.set"; isReady: boolean }
  /** Close each caller connection after its next response. */
  | { kind: "callers.drain" }
  /** Close idle caller connections and accept no new ones; the event `callers.closed`
   * reports the end. */
  | { kind: "callers.close" }
  /** Stop the process: nothing is left to do. */
  | { kind: "process.stop" };
