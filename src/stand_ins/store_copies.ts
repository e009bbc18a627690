/**
 * State of the stand-in store, and copies of it from which it can return.
 *
 * @module
 */
import { ProducerTable } from "./producer_table.ts";

/** Time for which copies are kept, in milliseconds. */
const RETENTION = 12_000;

/** A record with its offset and, in Unix milliseconds, when it was written. */
export interface NewestRecord {
  value: Buffer;
  offset: number;
  at: number;
}

/** One topic of the store. */
export interface Topic {
  /** Offset of the oldest record that is retained. */
  first: number;
  /** Contents of the retained records, oldest first. */
  records: Buffer[];
  /** Newest record of each key. */
  newest: Map<string, NewestRecord>;
  producers: ProducerTable;
  /** Called after each append, to end long polls. */
  waiters: Set<() => void>;
}

/** One group of the store. */
export interface Group {
  /** Number that grows with each change of the members. */
  generation: number;
  /** When each membership expires, in Unix milliseconds, by the member's id. */
  members: Map<string, number>;
}

/** All that the store keeps. */
export interface StoreState {
  topics: Map<string, Topic>;
  groups: Map<string, Group>;
}

/** Creates a topic without records. */
export function createTopic(): Topic {
  return {
    first: 0,
    records: [],
    newest: new Map(),
    producers: ProducerTable.create(),
    waiters: new Set(),
  };
}

/**
 * Returns a copy of a state that does not change with it. Times of memberships
 * and records are `delay` milliseconds later in the copy.
 */
function copyState({ topics, groups }: StoreState, delay: number): StoreState {
  const copyTopic = ({ first, records, newest, producers }: Topic): Topic => ({
    first,
    records: [...records],
    newest: new Map(
      [...newest].map(([key, { at, ...rest }]) => [
        key,
        { ...rest, at: at + delay },
      ]),
    ),
    producers: producers.copy(),
    waiters: new Set(),
  });
  const copyGroup = ({ generation, members }: Group): Group => ({
    generation,
    members: new Map([...members].map(([id, at]) => [id, at + delay])),
  });
  return {
    topics: new Map([...topics].map(([name, each]) => [name, copyTopic(each)])),
    groups: new Map([...groups].map(([name, each]) => [name, copyGroup(each)])),
  };
}

/** See the module's comment. Times are Unix milliseconds. */
export class StoreCopies {
  /** Oldest first. */
  #copies: { at: number; state: StoreState }[] = [];

  private constructor() {}

  /** Starts without copies. */
  static create(): StoreCopies {
    return new StoreCopies();
  }

  /** Copies a state, and discards old copies. */
  add(state: StoreState, now: number): void {
    this.#copies.push({ at: now, state: copyState(state, 0) });
    this.#copies = this.#copies.filter(({ at }) => at >= now - RETENTION);
  }

  /**
   * Returns the state at time `at`, or the oldest copy. Memberships and entries
   * have as long left as they had then.
   */
  stateAt(at: number, now: number): StoreState {
    const copy = this.#copies.findLast((each) => each.at <= at) ??
      this.#copies[0];
    return copyState(copy.state, now - copy.at);
  }
}
