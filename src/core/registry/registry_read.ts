/**
 * The request for a read of the registry of backend servers, and its result.
 *
 * @module
 */
import type { BackendServer } from "../fleet/index.ts";

/** The result of a read of the registry. */
export interface RegistryRead {
  /** New and changed entries, or all entries. */
  entries: BackendServer[];
  /** Ids of servers whose entries were removed. */
  removed: string[];
  /**
   * Ids of servers whose entries cannot be decoded; only these ids are known.
   */
  unreadable: string[];
  /** Whether `entries` is the complete list rather than the changes. */
  isWhole: boolean;
  /**
   * Position at the end of the registry, from which the next read continues.
   */
  position: number;
}

/** Requests a read of the registry. */
export interface RegistryFetch {
  kind: "servers.fetch";
  /** Position after which changes are read; null for the complete list. */
  from: number | null;
}
