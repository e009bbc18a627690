/**
 * Schemas of a configuration: routes, services and limits for callers. A
 * configuration from any source is converted to these types. Durations are
 * milliseconds.
 *
 * @module
 */
import * as z from "zod";

const duration = z.number().nonnegative();
const name = z.string().min(1);

/** A service that a route sends requests to, and its share of them. */
export const destinationSchema = z.object({
  service: name,
  /** Share of the requests, relative to the route's other destinations. */
  weight: z.number().nonnegative(),
});

/** See {@linkcode destinationSchema}. */
export type Destination = z.infer<typeof destinationSchema>;

/** A rule for requests to one host whose path begins with a prefix. */
export const routeSchema = z.object({
  name,
  host: name,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  /** Whether a request may be run more than once. */
  isIdempotent: z.boolean(),
  destinations: z.array(destinationSchema).min(1),
  /** Maximum time until a caller receives a response. */
  timeout: duration,
  /**
   * Time within which callers should receive a response; a later one is worth
   * less.
   */
  targetLatency: duration,
  /** Maximum number of servers that one request is sent to. */
  maximumAttempts: z.number().int().positive(),
  /** Priority among routes; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
});

/** See {@linkcode routeSchema}. */
export type Route = z.infer<typeof routeSchema>;

/**
 * Timeout of a request if neither its caller nor its route specifies one, in
 * milliseconds.
 */
export const DEFAULT_TIMEOUT = 30_000;

/** Timeout of a route in milliseconds; the default if it is 0. */
export function timeoutOf({ timeout }: Route): number {
  return timeout > 0 ? timeout : DEFAULT_TIMEOUT;
}

/**
 * A group of backend servers. They are either interchangeable, or each of them
 * owns its keys exclusively.
 */
export const serviceSchema = z.object({
  name,
  /** Maximum connections that one server accepts from all VMs combined. */
  maximumConnections: z.number().int().positive(),
  /** Whether each key is owned by exactly one server. */
  isKeyed: z.boolean(),
  /**
   * Warm-up of servers that have just started; without it, they receive their
   * full load from the start.
   */
  warmUp: z.object({
    /** Time for which a server counts as cold after its start. */
    duration,
    /**
     * Maximum requests per second that a cold server can run, from all VMs
     * combined.
     */
    requestsPerSecond: z.number().positive(),
  }).optional(),
});

/** See {@linkcode serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;

/**
 * Limits on the size of callers' requests in bytes, and timeouts for slow or
 * idle callers.
 */
export const callerLimitsSchema = z.object({
  maximumHeaderBytes: z.number().int().positive(),
  maximumBodyBytes: z.number().int().nonnegative(),
  headerTimeout: duration,
  idleTimeout: duration,
});

/** See {@linkcode callerLimitsSchema}. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** A complete configuration of one version. */
export const configurationSchema = z.object({
  /** Increases with each accepted version, not always by 1. */
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
});

/** See {@linkcode configurationSchema}. */
export type Configuration = z.infer<typeof configurationSchema>;
