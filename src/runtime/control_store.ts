/**
 * The store that outlives every process: configuration, the registry of backend
 * servers, assignments of keys, and the group of entry processes.
 *
 * @module
 */
import type { Configuration } from "../core/catalog/index.ts";
import type { Occurrence } from "../core/entry_event.ts";
import type { Assignment, Group, Records } from "../core/keyspace/index.ts";
import type { CrashRecord } from "../core/quarantine/index.ts";
import type { RegistryRead } from "../core/registry/index.ts";

/** What is followed in the store. */
export type Feed = "configuration" | "holder";

/** A record that did not decode. */
export interface RecordFault {
  /** Its key; empty where that cannot be read either. */
  key: string;
  reason: string;
}

/** How the records of a read decoded. */
export interface DecodedRead {
  faults: RecordFault[];
  /** Keys of the records that decoded or were removed. */
  sound: string[];
  /** Whether the read holds all that is current. */
  isWhole: boolean;
}

/** What a read brought. */
export interface StoreRead extends DecodedRead {
  occurrences: Occurrence[];
  /** Position to read on from. */
  next: number;
}

/** What a read of the registry brought. */
export interface ServersRead extends RegistryRead, DecodedRead {}

/** What term holders have recorded. */
export interface RecordsRead extends DecodedRead {
  records: Records;
  /** Whether `records` names the newest term, so that the next may be claimed. */
  isTermKnown: boolean;
}

/** The answer to a membership call. */
export interface GroupMembership {
  generation: number;
  isElected: boolean;
}

/** The configuration that operators published last. */
export interface PublishedConfiguration {
  configuration: Configuration | null;
  end: number;
}

/** See the module's comment. All calls reject with an error that carries step
 * and peer. */
export abstract class ControlStore {
  /** Reads all that is current. */
  abstract readAll(feed: Feed): Promise<StoreRead>;
  /**
   * Reads what was written from a position on; with `wait` milliseconds, waits
   * that long for the next record.
   */
  abstract readOn(feed: Feed, from: number, wait: number): Promise<StoreRead>;
  /** Reads the registry from a position on, or the whole of it (null). */
  abstract readServers(from: number | null): Promise<ServersRead>;
  /** Joins a group, or stays in it for `timeToLive` milliseconds. */
  abstract join(
    group: Group,
    generation: number,
    timeToLive: number,
  ): Promise<GroupMembership>;
  /** Leaves a group at once. */
  abstract leave(group: Group): Promise<void>;
  /** Reads all that term holders have recorded; assignments that do not decode
   * stand in `records` as ones that give all keys to servers unknown. */
  abstract readRecords(): Promise<RecordsRead>;
  /** Claims a term if the record ends at `end` and no newer one was claimed. */
  abstract claimTerm(term: number, end: number): Promise<void>;
  /** Records assignments; refused when a newer term was claimed. */
  abstract writeAssignments(
    term: number,
    sequence: number,
    assignments: readonly Assignment[],
  ): Promise<void>;
  /** Tells all VMs that this one holds `term` and is reached at `address`;
   * `fitness` is that of the fittest VM it hears of. */
  abstract announceHolder(
    term: number,
    address: string,
    fitness: number,
  ): Promise<void>;
  /** Keeps what is held back, for VMs that start. */
  abstract writeQuarantine(records: readonly CrashRecord[]): Promise<void>;
  /** Resolves once the store has answered a short call after one that failed, at
   * the latest after `patience` milliseconds; at once while none has failed. */
  abstract reached(patience: number): Promise<void>;
  /** Reads the configuration in force, and where its record ends. */
  abstract readConfiguration(): Promise<PublishedConfiguration>;
  /** Publishes a configuration if its record still ends at `end`. */
  abstract publish(configuration: Configuration, end: number): Promise<void>;
  /** Asks to evacuate an availability zone, or takes that back. */
  abstract evacuate(zone: string, isEvacuated: boolean): Promise<void>;
  /** Whether a read failed since its records are no longer kept. */
  abstract isExpired(error: unknown): boolean;
  /** Whether a condition of a call did not hold, so that it was not done. */
  abstract isConflict(error: unknown): boolean;
  /** Ends all connections. */
  abstract close(): void;
}
