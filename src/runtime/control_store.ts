/**
 * Interface of the persistent store: configuration, the registry of backend
 * servers, assignments of keys, and membership of the groups of entry
 * processes.
 *
 * @module
 */
import type { Configuration } from "../core/catalog/index.ts";
import type { UntimedEvent } from "../core/entry_event.ts";
import type {
  ClaimedTerm,
  ElectionGroup,
  RecordedAssignment,
  TermRecords,
} from "../core/keyspace/index.ts";
import type { CrashRecord } from "../core/quarantine/index.ts";
import type { RegistryRead } from "../core/registry/index.ts";
import type { StoreEra } from "./store_era.ts";

/**
 * Feeds of the store that a process follows: `configuration` has the
 * configuration and the evacuated availability zones, `holder` the announcement
 * of the term holder and the quarantined requests.
 */
export type Feed = "configuration" | "holder";

/** A record that could not be decoded. */
export interface RecordFault {
  /** Key of the record; empty if the key cannot be decoded either. */
  key: string;
  reason: string;
}

/** Result of decoding the records of a read. */
export interface DecodedRead {
  faults: RecordFault[];
  /** Keys of records that were decoded or removed. */
  sound: string[];
  /** Whether the read contains all current records. */
  isWhole: boolean;
}

/** Result of a read of a feed. */
export interface FeedRead extends DecodedRead {
  events: UntimedEvent[];
  /** Position of the next read. */
  next: number;
}

/** Result of a read of the registry. */
export interface ServersRead extends RegistryRead, DecodedRead {}

/** Result of a read of the term holders' records: terms and assignments. */
export interface RecordsRead extends DecodedRead {
  records: TermRecords;
  /**
   * Whether `records` contains the newest term, so that the next one may be
   * claimed.
   */
  isTermKnown: boolean;
}

/** Answer to a membership call. */
export interface GroupMembership {
  /** Number that grows with each change of the group. */
  generation: number;
  /** Whether this VM is the elected member. */
  isElected: boolean;
}

/** The most recently published configuration. */
export interface PublishedConfiguration {
  /** Null if none has been published yet. */
  configuration: Configuration | null;
  /** Position at which the log of the configuration ended when it was read. */
  end: number;
}

/**
 * See the module's comment. Calls that fail reject with an error that names the
 * step and the peer.
 */
export abstract class ControlStore {
  /** Era of the store, as its answers state it. */
  abstract get era(): StoreEra;
  /** Reads all current records of a feed. */
  abstract readAll(feed: Feed): Promise<FeedRead>;
  /**
   * Reads the records of a feed from a position on. If there are none yet,
   * waits up to `wait` milliseconds for the next one.
   */
  abstract readFrom(feed: Feed, from: number, wait: number): Promise<FeedRead>;
  /** Reads the registry from a position on, or all of it if `from` is null. */
  abstract readServers(from: number | null): Promise<ServersRead>;
  /**
   * Joins a group or renews the membership, which expires after `timeToLive`
   * milliseconds.
   */
  abstract join(
    group: ElectionGroup,
    generation: number,
    timeToLive: number,
  ): Promise<GroupMembership>;
  /** Leaves a group immediately. */
  abstract leave(group: ElectionGroup): Promise<void>;
  /**
   * Reads all records of term holders. An assignment that cannot be decoded is
   * replaced in `records` by one that assigns all keys to unknown servers.
   */
  abstract readRecords(): Promise<RecordsRead>;
  /**
   * Claims a term if the log of the term holders' records still ends at `end`
   * and no newer term was claimed.
   */
  abstract claimTerm(claim: ClaimedTerm, end: number): Promise<void>;
  /** Records assignments; rejects if a newer term was claimed. */
  abstract writeAssignments(
    term: number,
    sequence: number,
    assignments: readonly RecordedAssignment[],
  ): Promise<void>;
  /**
   * Announces to all VMs that this one holds `term` and is reachable at
   * `address`. `fitness` is the highest fitness among the VMs known to it.
   */
  abstract announceHolder(
    term: number,
    address: string,
    fitness: number,
  ): Promise<void>;
  /** Records quarantined requests, for VMs that start later. */
  abstract writeQuarantine(records: readonly CrashRecord[]): Promise<void>;
  /**
   * Resolves when a call other than a long poll succeeds again, at the latest
   * after `timeout` milliseconds; immediately if the last one did not fail.
   */
  abstract waitUntilReachable(timeout: number): Promise<void>;
  /** Reads the current configuration. */
  abstract readConfiguration(): Promise<PublishedConfiguration>;
  /** Publishes a configuration if the log still ends at `end`. */
  abstract publish(configuration: Configuration, end: number): Promise<void>;
  /** Evacuates an availability zone, or restores it. */
  abstract evacuate(zone: string, isEvacuated: boolean): Promise<void>;
  /** Whether a read failed because its records have expired. */
  abstract isExpired(error: unknown): boolean;
  /**
   * Whether the store has returned from a copy since the call was made, so that
   * its result cannot be used and what it has written may be lost.
   */
  abstract isRestored(error: unknown): boolean;
  /** Whether a call was not executed because its condition did not hold. */
  abstract isConflict(error: unknown): boolean;
  /** Closes all connections. */
  abstract close(): void;
}
