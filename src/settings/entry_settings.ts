/**
 * Settings of one entry process. A process learns its addresses and its
 * availability zone from here and nowhere else. Durations are milliseconds.
 *
 * @module
 */
import * as z from "zod";
import { retryLimitsSchema } from "../core/dispatch/retry_budget.ts";
import { leaseTimingSchema } from "../core/keyspace/lease_timing.ts";
import { addressSchema } from "./address.ts";

/** Schema of {@linkcode EntrySettings}; unknown fields are ignored. */
export const entrySettingsSchema = z.object({
  vm: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Where callers connect. */
  listen: addressSchema,
  /** Where the balancer asks whether this VM takes connections. */
  readiness: addressSchema,
  /** Where the other entry processes connect. */
  peer: addressSchema,
  /** Peers to ask while the store cannot be reached; some may be gone. */
  seeds: z.array(addressSchema).default([]),
  /** Where operators ask for metrics. */
  admin: addressSchema,
  store: z.object({
    address: addressSchema,
    /** Time after which the store takes a silent member out of its group; the
     * shortest that it allows or longer. */
    memberTimeToLive: z.number().int().positive().default(1_300),
    minimumTimeToLive: z.number().int().nonnegative().default(0),
  }),
  /** What this VM has; among VMs that differ, fitter ones hold the term. */
  capacity: z.object({
    /** Share of each core's time. */
    cpuShare: z.number().positive().default(1),
    cores: z.number().positive().default(1),
    /** Bandwidth of its link, in Mbit/s. */
    linkMegabits: z.number().positive().default(1_000),
  }).prefault({}),
  leases: leaseTimingSchema.prefault({}),
  retries: retryLimitsSchema.prefault({}),
  /** Time within which a leaving server gets no more new work. */
  drainTime: z.number().positive().default(2_000),
  /** Time between the request to stop and the process's end by force. */
  shutdownTimeoutSeconds: z.number().positive().default(6),
  logging: z.object({
    level: z.enum(["error", "warn", "info"]).default("info"),
  }).prefault({}),
});

/** See {@linkcode entrySettingsSchema}. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
