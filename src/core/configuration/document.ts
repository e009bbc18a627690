/**
 * The configuration that operators publish: one base file and one overlay for
 * each site. Types are inferred from the schemas here; every default stands in
 * a schema and nowhere else. All durations are milliseconds.
 *
 * @module
 */
import { z } from "zod";

const identifier = z.string().regex(
  /^[a-z0-9][a-z0-9_.-]{0,62}$/i,
  "an identifier of up to 63 letters, digits, '.', '_' and '-'",
);
const milliseconds = z.number().int().positive();
const address = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "an address of the form 127.0.0.1:8080",
);

/** Where the key of a request stands: a header or a part of the path. */
export const keySourceSchema = z.union([
  z.strictObject({ header: z.string().toLowerCase() }),
  z.strictObject({ pathPart: z.number().int().nonnegative() }),
]);

/** See {@linkcode keySourceSchema}. */
export type KeySource = z.infer<typeof keySourceSchema>;

/** What a service's backend servers verify on each request. */
export const checksSchema = z.strictObject({
  /** They refuse a fencing token older than one they have seen. */
  token: z.boolean().default(false),
  /** They refuse to start work after the lease time sent with a request. */
  lease: z.boolean().default(false),
  /** They repeat the exchange id of a request in its answer. */
  echo: z.boolean().default(false),
});

/** One service as the base file declares it. */
export const serviceSchema = z.strictObject({
  /** Present when the service is divided by key. */
  key: keySourceSchema.optional(),
  /** Number of hash ranges that the keys are divided into. */
  keySlots: z.number().int().min(1).max(65_536).default(256),
  checks: checksSchema.prefault({}),
  /** Requests that one backend server runs at a time. */
  slots: z.number().int().min(1).max(10_000).default(3),
  /** Connections that one backend server accepts, over all VMs. */
  connections: z.number().int().min(1).max(100_000).default(100),
  /** Deadline of a request whose caller names none. */
  timeout: milliseconds.default(2_000),
  /** Longest deadline that a caller may ask for. */
  maximumTimeout: milliseconds.default(10_000),
  /** Largest request body, in bytes. */
  maximumBody: z.number().int().positive().default(8 * 1024 * 1024),
  /** What placement avoids first when the two conflict. */
  prefer: z.enum(["availability", "stability"]).default("availability"),
});

/** See {@linkcode serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;

/** One backend server as a site overlay lists it. */
export const backendServerSchema = z.strictObject({
  id: identifier,
  address,
  availabilityZone: identifier,
});

/** See {@linkcode backendServerSchema}. */
export type BackendServer = z.infer<typeof backendServerSchema>;

/** The base file. */
export const baseSchema = z.strictObject({
  cluster: identifier,
  services: z.record(identifier, serviceSchema),
});

/** See {@linkcode baseSchema}. */
export type Base = z.infer<typeof baseSchema>;

/** What an overlay says of one service: its servers, and what differs here. */
export const serviceOverlaySchema = z.strictObject({
  backendServers: z.array(backendServerSchema).default([]),
  slots: serviceSchema.shape.slots.unwrap().optional(),
  connections: serviceSchema.shape.connections.unwrap().optional(),
  timeout: milliseconds.optional(),
  maximumTimeout: milliseconds.optional(),
  prefer: serviceSchema.shape.prefer.unwrap().optional(),
});

/** The overlay of one site. */
export const overlaySchema = z.strictObject({
  site: identifier,
  availabilityZones: z.array(identifier).min(1),
  services: z.record(identifier, serviceOverlaySchema).default({}),
});

/** See {@linkcode overlaySchema}. */
export type Overlay = z.infer<typeof overlaySchema>;

/** A base file with the overlays of all its sites. */
export const configurationSchema = z.strictObject({
  base: baseSchema,
  overlays: z.array(overlaySchema),
});

/** See {@linkcode configurationSchema}. */
export type Configuration = z.infer<typeof configurationSchema>;
