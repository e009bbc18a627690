/**
 * What a read of the registry brought.
 *
 * @module
 */
import type { BackendServer } from "../fleet/index.ts";

/** See the module's comment. */
export interface RegistryRead {
  /** New and changed entries, or all. */
  entries: BackendServer[];
  /** Ids whose entries were removed. */
  removed: string[];
  /** Ids whose entries cannot be read; what else such a server is, is not
   * known. */
  unreadable: string[];
  /** Whether `entries` is the whole list. */
  isWhole: boolean;
  /** Where the registry ended, to read on from. */
  position: number;
}

/** Asks for a read from a position on, or of the whole list (null). */
export interface RegistryFetch {
  kind: "servers.fetch";
  from: number | null;
}
