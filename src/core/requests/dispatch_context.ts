/**
 * What the dispatcher reads of its process at one moment.
 *
 * @module
 */
import type { SiteConfiguration } from "../configuration/index.ts";
import type { OwnershipTiming, View } from "../ownership/index.ts";
import type { ServerWatch, WatchedServer } from "../routing/index.ts";
import type { ClaimContext } from "./claim_registry.ts";

/** See the module's comment. Times are monotonic milliseconds. */
export interface DispatchContext {
  now: number;
  availabilityZone: string;
  configuration: SiteConfiguration;
  servers: ServerWatch;
  view: View;
  /** Until when keyed servers may be sent to. */
  leaseUntil: number;
  timing: OwnershipTiming;
  claims(): ClaimContext;
  /** A number in [0, 1). */
  draw(): number;
  /** Called when a server's conduct speaks against it. */
  suspect(server: WatchedServer, cause: string): void;
}
