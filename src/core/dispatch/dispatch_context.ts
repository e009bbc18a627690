/**
 * Dependencies of the dispatcher: state of this VM that other modules maintain,
 * and functions that the dispatcher calls.
 *
 * @module
 */
import type { AdmissionPolicy, DemandMeter } from "../admission/index.ts";
import type { Catalog } from "../catalog/index.ts";
import type { Fleet, ServerStatement, TrackedServer } from "../fleet/index.ts";
import type { KeyDirectory, KeyLimits } from "../keyspace/index.ts";
import type {
  CrashDetector,
  Quarantine,
  RunPermits,
} from "../quarantine/index.ts";
import type { Features } from "../features.ts";
import type { ServerPaths } from "../reach/index.ts";
import type { ReturnPolicy } from "../returns/index.ts";
import type { RateTokens } from "../rates/index.ts";
import type { RetryLimits } from "./retry_budget.ts";

/** See the module's comment. */
export interface DispatchContext {
  catalog: Catalog;
  fleet: Fleet;
  directory: KeyDirectory;
  keyLimits: KeyLimits;
  quarantine: Quarantine;
  detector: CrashDetector;
  permits: RunPermits;
  /** Paths of the connections to servers. */
  paths: ServerPaths;
  tokens: RateTokens;
  /** Counts the requests that this VM receives. */
  demand: DemandMeter;
  /** Decides when refused callers return, with `schedulesReturns`. */
  returns: ReturnPolicy;
  /** Which requests of services above their capacity are admitted. */
  admission: AdmissionPolicy;
  /** Optional behaviour of this VM. */
  features: Features;
  /** Availability zone of this VM. */
  availabilityZone: string;
  retryLimits: RetryLimits;
  /**
   * Bytes of request bodies that all VMs together may have in flight to a
   * server for each of its slots; unlimited if omitted.
   */
  bodyBytesPerSlot?: number;
  /** Time at which this process started, in milliseconds of its clock. */
  startedAt(): number;
  /**
   * Time at which this VM, which is stopping, ends all requests in flight;
   * Infinity if it is not stopping.
   */
  responsesEndAt(): number;
  /** Number of VMs, or null when unknown. */
  vms(): number | null;
  /**
   * Part of the minimum of the retry budget that the term holder grants to this
   * VM now, from 0 to 1.
   */
  minimumShare(now: number): number;
  /**
   * Called when a server refused a key that is assigned to it in `directory`:
   * the assignment may be outdated.
   */
  keyRefused(): void;
  /**
   * Applies what a server has stated of itself with the response to a request
   * that was sent at `sentAt`.
   */
  applyStatement(
    server: TrackedServer,
    statement: ServerStatement,
    sentAt: number,
    now: number,
  ): void;
  /**
   * Records that a statement in a response was ignored, for `reason`, because
   * `server` may not have made it.
   */
  ignoreStatement(
    server: TrackedServer,
    statement: ServerStatement,
    reason: string,
    now: number,
  ): void;
  /** Returns a random number in [0, 1). */
  draw(): number;
}
