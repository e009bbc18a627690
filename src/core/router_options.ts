/**
 * What a router is given when it is made, and what it shows of itself.
 *
 * @module
 */
import type { SiteLedger } from "./ledger/index.ts";
import type { OwnershipTiming, View } from "./ownership/index.ts";
import type { Balancer, WatchedServer } from "./routing/index.ts";

/** Who this process is, and how it behaves. */
export interface RouterOptions {
  cluster: string;
  site: string;
  vm: string;
  availabilityZone: string;
  peerAddress: string;
  /** Peers to ask for the log's state while the log cannot be read. */
  seeds: string[];
  /** Tells this run of the process from every other. */
  nonce: string;
  /** Seed of all random choices. */
  seed: number;
  /** Milliseconds since the epoch at which the monotonic clock read zero. */
  clockOrigin: number;
  /** Milliseconds since the epoch at which the process started. */
  startedAt: number;
  /** Hashes text to an unsigned number of 32 bits. */
  hash(text: string): number;
  timing: OwnershipTiming;
  /**
   * Time between two checkpoints, in milliseconds: a small part of the time for
   * which the log keeps records.
   */
  checkpointInterval: number;
  balancer: Balancer;
}

/** What one VM sees, for operators. */
export interface RouterStatus {
  vm: string;
  incarnation: number;
  revision: number;
  ledgerNext: number;
  term: SiteLedger["term"];
  holds: boolean;
  member: boolean;
  leaseRemaining: number;
  view: View;
  logReachable: boolean;
  inFlight: number;
  servers: WatchedServer[];
}
