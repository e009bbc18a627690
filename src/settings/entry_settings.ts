/**
 * Settings of one entry process. They are the only source of the process's
 * addresses and availability zone. Durations are in milliseconds unless the
 * name says otherwise.
 *
 * @module
 */
import * as z from "zod";
import { retryLimitsSchema } from "../core/dispatch/retry_budget.ts";
import { leaseTimingSchema } from "../core/keyspace/lease_timing.ts";
import { addressSchema } from "./address.ts";

/** Schema of a number in a range, whose error message names the range. */
function numberBetween(minimum: number, maximum: number) {
  return z.number().refine(
    (value) => value >= minimum && value <= maximum,
    `a number from ${minimum} to ${maximum}`,
  );
}

/** Schema of {@linkcode EntrySettings}; unknown fields are ignored. */
export const entrySettingsSchema = z.object({
  vm: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Address that callers connect to. */
  listen: addressSchema,
  /** Address that the load balancer's readiness checks are sent to. */
  readiness: addressSchema,
  /** Address that the other entry processes connect to. */
  peer: addressSchema,
  /**
   * Peer addresses to contact when the store or the term holder is unreachable:
   * the process requests a configuration from them while it has none, and sends
   * them its crash records while no message from the term holder arrives. Some
   * may be out of date.
   */
  seeds: z.array(addressSchema).default([]),
  /** Address that serves metrics and status to operators. */
  admin: addressSchema,
  store: z.object({
    address: addressSchema,
    /**
     * Time without a renewal after which the store removes a member from its
     * group; the longer of this and `minimumTimeToLive` is used.
     */
    memberTimeToLive: z.number().int().positive().default(1_300),
    /** Shortest time to live that the store accepts. */
    minimumTimeToLive: z.number().int().nonnegative().default(0),
  }),
  /**
   * Resources of this VM; VMs with more resources are preferred as term holder.
   */
  capacity: z.object({
    /** Share of each core's time that this VM may use. */
    cpuShare: z.number().positive().default(1),
    cores: z.number().positive().default(1),
    /** Bandwidth of the network link, in Mbit/s. */
    linkMegabits: z.number().positive().default(1_000),
  }).prefault({}),
  leases: leaseTimingSchema.prefault({}),
  retries: retryLimitsSchema.prefault({}),
  /**
   * Maximum time from the start of the draining of a server until it receives
   * no new requests.
   */
  drainTime: z.number().positive().default(2_000),
  /** Time from a shutdown request until the process is terminated forcibly. */
  shutdownTimeoutSeconds: z.number().positive().default(6),
  /** What callers are admitted if servers cannot run all requests. */
  admission: z.object({
    /** Whether the most urgent requests are admitted first, on all VMs alike. */
    byPriority: z.boolean().default(false),
    /**
     * Whether refused callers receive a time at which room is expected; needs
     * `byPriority`.
     */
    scheduleReturns: z.boolean().default(false),
    /**
     * Both apply only to routes whose callers wait at least this many times the
     * route's timeout; 0 for all. Others cannot return and be served in time.
     */
    minimumTimeRatio: z.number().min(0).max(10).default(0),
  }).prefault({}).refine(
    ({ byPriority, scheduleReturns }) => byPriority || !scheduleReturns,
    { path: ["scheduleReturns"], message: "needs admission.byPriority" },
  ),
  /** How requests and keys are divided among servers. */
  balancing: z.object({
    /** Whether started and recovered servers receive few requests at first. */
    startPace: z.boolean().default(false),
  }).prefault({}),
  /** Memory held for callers and servers that are slow. */
  memory: z.object({
    /**
     * Memory that the process may use; without it, held bytes are counted but
     * not limited.
     */
    processMegabytes: numberBetween(64, 65_536).optional(),
    /** Part of it that bytes held for callers and servers may take. */
    heldShare: numberBetween(0.05, 0.8).default(0.25),
    /** Bytes that are held for one connection. */
    connectionKilobytes: numberBetween(64, 1_048_576).default(4_096),
  }).prefault({}),
  /** Longest responses of servers; longer ones are cut off. */
  responses: z.object({
    maximumHeadKilobytes: numberBetween(1, 1_024).default(64),
    maximumBodyMegabytes: numberBetween(1, 1_024).default(64),
  }).prefault({}),
  logging: z.object({
    level: z.enum(["error", "warn", "info"]).default("info"),
  }).prefault({}),
});

/** See {@linkcode entrySettingsSchema}. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
