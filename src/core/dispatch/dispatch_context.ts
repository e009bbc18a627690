/**
 * What requests are dispatched upon.
 *
 * @module
 */
import type { Catalog } from "../catalog/index.ts";
import type { Fleet, ServerRateChange } from "../fleet/index.ts";
import type { KeyDirectory, KeyLimits } from "../keyspace/index.ts";
import type {
  CrashWatch,
  Quarantine,
  RunPermits,
} from "../quarantine/index.ts";
import type { ColdAdmission } from "./cold_admission.ts";
import type { RateTokens } from "../rates/index.ts";
import type { RetryLimits } from "./retry_budget.ts";

/** See the module's comment. */
export interface DispatchContext {
  catalog: Catalog;
  fleet: Fleet;
  directory: KeyDirectory;
  keyLimits: KeyLimits;
  quarantine: Quarantine;
  crashes: CrashWatch;
  permits: RunPermits;
  cold: ColdAdmission;
  tokens: RateTokens;
  availabilityZone: string;
  retryLimits: RetryLimits;
  /** When this process started. */
  startedAt(): number;
  /** Number of VMs, or null when unknown. */
  vms(): number | null;
  /** A server refused a key that it holds by what the directory says. */
  keyRefused(): void;
  /** The rate limit that a server states has begun or ended. */
  rateLimitChanged(change: ServerRateChange, now: number): void;
  /** A number in [0, 1). */
  draw(): number;
}
