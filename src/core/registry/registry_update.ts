/**
 * Changes to the registry that one VM sends to another, so that not every VM has to read
 * the registry.
 *
 * @module
 */
import * as z from "zod";
import { backendServerSchema } from "../fleet/index.ts";

const position = z.number().int().nonnegative();

/** Schema of {@linkcode RegistryUpdate}. */
export const registryUpdateSchema = z.object({
  /** Position after which the changes begin; they are complete. */
  since: position,
  /** Position of the registry after the changes. */
  position,
  entries: z.array(backendServerSchema),
  removed: z.array(z.string()),
  /** Ids of servers whose entry became unreadable. */
  unreadable: z.array(z.string()).default([]),
  /** Latest time at which the registry is known to be at `position`, in milliseconds of
   * the receiver's clock; null if the receiver did not request the changes. */
  knownAt: z.number().nullable(),
});

/** See the module's comment. */
export type RegistryUpdate = z.infer<typeof registryUpdateSchema>;
