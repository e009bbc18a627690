/**
 * What one VM tells another of the registry, so that not every VM reads it.
 *
 * @module
 */
import * as z from "zod";
import { backendServerSchema } from "../fleet/index.ts";

const position = z.number().int().nonnegative();

/** Schema of {@linkcode RegistryNews}. */
export const registryNewsSchema = z.object({
  /** The changes are all that came after this position. */
  since: position,
  /** Position that they lead to. */
  position,
  entries: z.array(backendServerSchema),
  removed: z.array(z.string()),
  /** Servers whose entry cannot be read any more. */
  unreadable: z.array(z.string()).default([]),
  /** When the registry stood so at the latest, by the clock of the VM that is
   * told, in milliseconds; null where that VM did not ask. */
  knownAt: z.number().nullable(),
});

/** See the module's comment. */
export type RegistryNews = z.infer<typeof registryNewsSchema>;
