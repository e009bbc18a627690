/**
 * Options of the core of one entry process.
 *
 * @module
 */
import type { RetryLimits } from "./dispatch/index.ts";
import type { LeaseTiming } from "./keyspace/index.ts";

/** Times of a shutdown, in milliseconds after it was requested. */
export interface ShutdownTiming {
  /** New connections of callers are accepted until then: the load balancer needs two
   * failed readiness checks, one second apart, to route to other VMs. */
  closeAfter: number;
  /** The process stops then, even with requests in flight. */
  stopAfter: number;
}

/** Maximum ages of the local copy of the registry, in milliseconds. */
export interface RegistryTiming {
  /** Interval between two reads by the term holder. */
  interval: number;
  /** Age at which any other VM stops relying on the term holder's updates and reads the
   * registry itself. It exceeds the holder's interval plus the time that a follower's
   * report and its answer take. */
  maximumAge: number;
}

/** See the module's comment. */
export interface EntryOptions {
  /** Address at which other VMs reach this one. */
  peerAddress: string;
  /** Addresses of VMs to contact while the store is unreachable. */
  seeds: readonly string[];
  availabilityZone: string;
  leaseTiming: LeaseTiming;
  /** Fitness of this VM to hold the term; VMs of higher fitness are preferred. */
  fitness: number;
  retryLimits: RetryLimits;
  shutdown: ShutdownTiming;
  registryTiming: RegistryTiming;
  /** Seed of all random numbers that the core draws. */
  seed: number;
}
