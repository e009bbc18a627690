/**
 * Changes to the registry that one VM sends to another, so that not every VM
 * has to read the registry.
 *
 * @module
 */
import * as z from "zod";
import { backendServerSchema } from "../fleet/index.ts";

const position = z.number().int().nonnegative();

/** Schema of {@linkcode RegistryUpdate}. */
export const registryUpdateSchema = z.object({
  /** Position after which the changes begin. */
  since: position,
  /**
   * Position of the registry after the changes. All changes between the two
   * positions are included.
   */
  position,
  /** New and changed entries. */
  entries: z.array(backendServerSchema),
  /** Ids of servers whose entry was removed. */
  removed: z.array(z.string()),
  /** Ids of servers whose entry became unreadable. */
  unreadable: z.array(z.string()).default([]),
  /**
   * Latest time at which the registry is known to be at `position`, in
   * milliseconds of the receiver's clock; null if the receiver did not request
   * the changes.
   */
  knownAt: z.number().nullable(),
});

/** Changes to the registry; see the module's comment. */
export type RegistryUpdate = z.infer<typeof registryUpdateSchema>;
