/**
 * A backend server's entry in the registry.
 *
 * @module
 */
import * as z from "zod";

/**
 * The registry entry of one process of a backend server, written by that
 * process.
 */
export const backendServerSchema = z.object({
  /**
   * Identifies the server across restarts; id and incarnation together identify
   * one process of it.
   */
  id: z.string().min(1),
  /**
   * When this process started, in Unix milliseconds of the server's clock; 0 if
   * the server does not report it. Compared for equality only, since clocks can
   * step back.
   */
  incarnation: z.number().int().nonnegative(),
  service: z.string().min(1),
  address: z.string().min(1),
  availabilityZone: z.string(),
  /** Maximum number of requests that it runs concurrently. */
  slots: z.number().int().positive(),
  /** Whether it is shutting down and accepts no new requests. */
  isDraining: z.boolean(),
  /**
   * Remaining time of its warm-up, during which it is slow, in milliseconds.
   */
  warmUp: z.number().nonnegative(),
});

/** See {@linkcode backendServerSchema}. */
export type BackendServer = z.infer<typeof backendServerSchema>;
