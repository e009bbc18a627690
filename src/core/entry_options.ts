/**
 * Options of the core of one entry process.
 *
 * @module
 */
import type { RetryLimits } from "./dispatch/index.ts";
import type { Features } from "./features.ts";
import type { LeaseTiming } from "./keyspace/index.ts";

/** Times of a shutdown, in milliseconds after it was requested. */
export interface ShutdownTiming {
  /**
   * Until then, new connections of callers are accepted: the load balancer
   * routes to other VMs only after two failed readiness checks, one second
   * apart.
   */
  closeAfter: number;
  /** Time limit, at which the process stops even with requests in flight. */
  stopAfter: number;
}

/** Maximum ages of the local copy of the registry, in milliseconds. */
export interface RegistryTiming {
  /** Interval between two reads by the term holder. */
  interval: number;
  /**
   * Age at which any other VM reads the registry itself because the term
   * holder's updates are missing. It must exceed the holder's interval plus the
   * time that a follower's report and its answer take.
   */
  maximumAge: number;
}

/** See the module's comment. */
export interface EntryOptions {
  /** Address at which other VMs reach this one. */
  peerAddress: string;
  /** Addresses of VMs to contact while the store is unreachable. */
  seeds: readonly string[];
  /** Availability zone of this VM. */
  availabilityZone: string;
  leaseTiming: LeaseTiming;
  /**
   * Fitness of this VM to hold the term; VMs of higher fitness are preferred.
   */
  fitness: number;
  retryLimits: RetryLimits;
  /**
   * Bytes of request bodies that all VMs together may have in flight to a
   * server for each of its slots; unlimited if omitted.
   */
  bodyBytesPerSlot?: number;
  shutdown: ShutdownTiming;
  registryTiming: RegistryTiming;
  /**
   * Time within which a server that is leaving stops receiving new requests, in
   * milliseconds.
   */
  drainTime: number;
  /** Optional behaviour; none if left out. */
  features?: Features;
  /** Seed of all random numbers that the core draws. */
  seed: number;
}
