/**
 * What the core of one entry process is made with.
 *
 * @module
 */
import type { RetryLimits } from "./dispatch/index.ts";
import type { LeaseTiming } from "./keyspace/index.ts";

/** Times of a shutdown, in milliseconds after it was asked for. */
export interface ShutdownTiming {
  /** Until then callers' new connections are taken: the balancer needs two
   * readiness checks, a second apart, to turn to other VMs. */
  closeAfter: number;
  /** The process stops then whatever is in flight. */
  stopAfter: number;
}

/** How old knowledge of the registry may be, in milliseconds. */
export interface RegistryTiming {
  /** Pause between the reads of the term holder. */
  interval: number;
  /** Age at which another VM no longer relies on the holder's word and reads
   * itself: more than the holder's pause and a follower's report take. */
  maximumAge: number;
}

/** See the module's comment. */
export interface EntryOptions {
  /** Address at which other VMs reach this one. */
  peerAddress: string;
  /** Addresses of VMs to ask while the store cannot be reached. */
  seeds: readonly string[];
  availabilityZone: string;
  leaseTiming: LeaseTiming;
  /** How fit this VM is to hold the term. */
  fitness: number;
  retryLimits: RetryLimits;
  shutdown: ShutdownTiming;
  registryTiming: RegistryTiming;
  /** Seed of all random numbers. */
  seed: number;
}
