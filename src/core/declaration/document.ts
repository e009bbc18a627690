/**
 * Schemas of the declaration, the configuration files that operators write: one
 * base file, and one overlay for each site. Types are inferred from the
 * schemas, and defaults are set in the schemas only. All durations are
 * milliseconds.
 *
 * @module
 */
import * as z from "zod";

const identifier = z.string().regex(
  /^[a-z0-9][a-z0-9_.-]{0,62}$/i,
  "an identifier of up to 63 letters, digits, '.', '_' and '-'",
);
const milliseconds = z.number().int().positive();
const count = z.number().int().positive();

/**
 * Limits on the size of callers' requests in bytes, and timeouts for slow or
 * idle callers.
 */
export const limitsSchema = z.strictObject({
  maximumHeaderBytes: count.default(16 * 1024),
  maximumBodyBytes: count.default(64 * 1024 * 1024),
  headerTimeout: milliseconds.default(3_000),
  idleTimeout: milliseconds.default(15_000),
});

/** A service in the base file. */
export const declaredServiceSchema = z.strictObject({
  /** Whether each key is owned by exactly one server. */
  keyed: z.boolean().default(false),
  /**
   * Maximum connections that one backend server accepts from all VMs combined.
   */
  connections: count.default(100),
});

/**
 * Weights by service. The requests of a route are divided in proportion to
 * them.
 */
const splitSchema = z.record(identifier, z.number().nonnegative());

/** A route in the base file. */
export const declaredRouteSchema = z.strictObject({
  host: z.string().min(1),
  /** Begins and ends with a slash. */
  path: z.string().startsWith("/").endsWith("/"),
  /** The service that requests are sent to, or several with their weights. */
  to: z.union([identifier, splitSchema]),
  /** Whether a request may be run more than once. */
  idempotent: z.boolean().default(false),
  /** Maximum time until a caller receives a response. */
  timeout: milliseconds.default(2_000),
  /**
   * Time within which callers should receive a response; a later one is worth
   * less.
   */
  targetLatency: milliseconds.default(500),
  /** Maximum number of servers that one request is sent to. */
  attempts: count.default(2),
  /** Priority among routes; 0 is the most urgent. */
  priority: z.number().int().nonnegative().default(1),
});

/** See {@linkcode declaredRouteSchema}. */
export type DeclaredRoute = z.infer<typeof declaredRouteSchema>;

/** The base file, which applies to all sites. */
export const baseSchema = z.strictObject({
  cluster: identifier,
  limits: limitsSchema.prefault({}),
  services: z.record(identifier, declaredServiceSchema),
  routes: z.record(identifier, declaredRouteSchema),
});

/** See {@linkcode baseSchema}. */
export type Base = z.infer<typeof baseSchema>;

/** The overlay of one site: values that replace those of the base file. */
export const overlaySchema = z.strictObject({
  site: identifier,
  services: z.record(
    identifier,
    z.strictObject({ connections: count.optional() }),
  ).default({}),
  routes: z.record(
    identifier,
    z.strictObject({
      to: declaredRouteSchema.shape.to.optional(),
      timeout: milliseconds.optional(),
      targetLatency: milliseconds.optional(),
      attempts: count.optional(),
      priority: z.number().int().nonnegative().optional(),
    }),
  ).default({}),
});

/** See {@linkcode overlaySchema}. */
export type Overlay = z.infer<typeof overlaySchema>;

/** A base file with the overlays of all its sites. */
export const declarationSchema = z.strictObject({
  base: baseSchema,
  overlays: z.array(overlaySchema),
});

/** See {@linkcode declarationSchema}. */
export type Declaration = z.infer<typeof declarationSchema>;
