/**
 * What operators declare: one base file and one overlay for each site. Types
 * are inferred from the schemas here; every default stands in a schema and
 * nowhere else. All durations are milliseconds.
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

/** What callers may send, and how long they may take or stay idle. */
export const limitsSchema = z.strictObject({
  maximumHeaderBytes: count.default(16 * 1024),
  maximumBodyBytes: count.default(64 * 1024 * 1024),
  headerTimeout: milliseconds.default(3_000),
  idleTimeout: milliseconds.default(15_000),
});

/** One service as the base file declares it. */
export const declaredServiceSchema = z.strictObject({
  /** Whether each key belongs to one server. */
  keyed: z.boolean().default(false),
  /** Connections that one backend server accepts, over all VMs. */
  connections: count.default(100),
});

/** Shares of a route's requests by service. */
const splitSchema = z.record(identifier, z.number().nonnegative());

/** One route as the base file declares it. */
export const declaredRouteSchema = z.strictObject({
  host: z.string().min(1),
  /** Begins and ends with a slash. */
  path: z.string().startsWith("/").endsWith("/"),
  /** The service, or several with their shares. */
  to: z.union([identifier, splitSchema]),
  /** Whether a request may run more than once. */
  idempotent: z.boolean().default(false),
  /** Longest time that a caller is kept waiting. */
  timeout: milliseconds.default(2_000),
  /** Time within which an answer is worth most. */
  targetLatency: milliseconds.default(500),
  /** Servers to which one request may be sent. */
  attempts: count.default(2),
  /** Rank; 0 comes first. */
  priority: z.number().int().nonnegative().default(1),
});

/** See {@linkcode declaredRouteSchema}. */
export type DeclaredRoute = z.infer<typeof declaredRouteSchema>;

/** The base file. */
export const baseSchema = z.strictObject({
  cluster: identifier,
  limits: limitsSchema.prefault({}),
  services: z.record(identifier, declaredServiceSchema),
  routes: z.record(identifier, declaredRouteSchema),
});

/** See {@linkcode baseSchema}. */
export type Base = z.infer<typeof baseSchema>;

/** The overlay of one site: what differs there. */
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
