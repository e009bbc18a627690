/**
 * Settings of one entry process. A process learns its addresses and its
 * availability zone from here and nowhere else.
 *
 * @module
 */
import { z } from "zod";
import { ownershipTimingSchema } from "../core/ownership/timing.ts";
import { addressSchema } from "./address.ts";

const name = z.string().min(1).max(63);

/** Schema of {@linkcode VmSettings}. Durations are milliseconds. */
export const vmSettingsSchema = z.strictObject({
  cluster: name,
  site: name,
  vm: name,
  availabilityZone: name,
  /** Where callers connect. */
  listen: addressSchema,
  /** Where operators ask for status and metrics. */
  admin: addressSchema,
  /** Where the other entry processes connect. */
  peer: addressSchema,
  log: z.strictObject({
    url: z.url(),
    stream: name.default("plumloft"),
    /** A small part of the time for which the log keeps records. */
    checkpointInterval: z.number().int().positive().default(60_000),
  }),
  vmList: z.strictObject({
    url: z.url(),
    interval: z.number().int().positive().default(500),
  }),
  /** Peers to ask for the log's state when the log is out at the start. */
  seeds: z.array(addressSchema).default([]),
  timing: ownershipTimingSchema.prefault({}),
  /** Bounds on what callers may take. */
  callers: z.strictObject({
    /** Time in which a caller must send its headers. */
    headersTimeout: z.number().int().positive().default(10_000),
    /** Time in which a caller must send its whole request. */
    requestTimeout: z.number().int().positive().default(60_000),
  }).prefault({}),
  logging: z.strictObject({
    level: z.enum(["error", "warn", "info"]).default("info"),
    /** Whether each routing decision gets a line. */
    requests: z.boolean().default(true),
  }).prefault({}),
  /**
   * Time for which a VM that is leaving still takes requests, so that the
   * platform's balancer can turn to others.
   */
  drainDelay: z.number().int().nonnegative().default(1_000),
  /** Time that a shutdown then gives to requests in flight. */
  shutdownTimeout: z.number().int().positive().default(30_000),
});

/** See {@linkcode vmSettingsSchema}. */
export type VmSettings = z.infer<typeof vmSettingsSchema>;
