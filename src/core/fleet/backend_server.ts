/**
 * Backend servers as the registry lists them, and what this VM has seen of each.
 *
 * @module
 */
import * as z from "zod";

/** A run of a backend server process, as it registered itself. */
export const backendServerSchema = z.object({
  /** Names the server, which keeps it when it is restarted; a run of it is
   * named by id and incarnation. */
  id: z.string().min(1),
  /** When this run started, in Unix milliseconds by the server's clock; 0 where
   * that is not told. Only equality says something: clocks step back. */
  incarnation: z.number().int().nonnegative(),
  service: z.string().min(1),
  address: z.string().min(1),
  availabilityZone: z.string(),
  /** Requests that it runs at a time. */
  slots: z.number().int().positive(),
  /** Whether it is about to leave and takes no new work. */
  isDraining: z.boolean(),
  /** Time for which it stays slow after its start, in milliseconds. */
  warmUp: z.number().nonnegative(),
});

/** See {@linkcode backendServerSchema}. */
export type BackendServer = z.infer<typeof backendServerSchema>;

/** Load that a server states with an answer. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
}
