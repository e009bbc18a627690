/**
 * The configuration that is in force: routes, services and limits of callers.
 * Every source of configuration ends in these types. Durations are
 * milliseconds.
 *
 * @module
 */
import * as z from "zod";

const duration = z.number().nonnegative();
const name = z.string().min(1);

/** One service that a route leads to, and its share of the requests. */
export const destinationSchema = z.object({
  service: name,
  /** Share relative to the other destinations of the route. */
  weight: z.number().nonnegative(),
});

/** See {@linkcode destinationSchema}. */
export type Destination = z.infer<typeof destinationSchema>;

/** Requests of one host whose path begins with a prefix. */
export const routeSchema = z.object({
  name,
  host: name,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  /** Whether a request may run more than once. */
  isIdempotent: z.boolean(),
  destinations: z.array(destinationSchema).min(1),
  /** Longest time that a caller is kept waiting. */
  timeout: duration,
  /** Time within which an answer is worth most to its caller. */
  targetLatency: duration,
  /** Servers to which one request may be sent. */
  maximumAttempts: z.number().int().positive(),
  /** Rank among routes; 0 comes first. */
  priority: z.number().int().nonnegative(),
});

/** See {@linkcode routeSchema}. */
export type Route = z.infer<typeof routeSchema>;

/** A group of interchangeable backend servers, or one divided by key. */
export const serviceSchema = z.object({
  name,
  /** Connections that one server accepts from all callers together. */
  maximumConnections: z.number().int().positive(),
  /** Whether each key belongs to one server. */
  isKeyed: z.boolean(),
  /** How servers begin that have just started; without it they bear full load from
   * the start on. */
  warmUp: z.object({
    /** Time for which they stay cold. */
    duration,
    /** Requests that a cold one bears in a second, from all callers together. */
    requestsPerSecond: z.number().positive(),
  }).optional(),
});

/** See {@linkcode serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;

/** What a caller may send, and how long it may take or stay idle. */
export const callerLimitsSchema = z.object({
  maximumHeaderBytes: z.number().int().positive(),
  maximumBodyBytes: z.number().int().nonnegative(),
  headerTimeout: duration,
  idleTimeout: duration,
});

/** See {@linkcode callerLimitsSchema}. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** One version of the configuration, whole. */
export const configurationSchema = z.object({
  /** Grows with each accepted version, in uneven steps. */
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
});

/** See {@linkcode configurationSchema}. */
export type Configuration = z.infer<typeof configurationSchema>;
