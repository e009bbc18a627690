/**
 * The core of an entry process on its own, stepped by a test.
 *
 * @module
 */
import { Entry } from "../../src/core/entry.ts";
import type { EntryEffect } from "../../src/core/entry_effect.ts";
import type { Occurrence } from "../../src/core/entry_event.ts";
import type { EntryOptions } from "../../src/core/entry_options.ts";
import { leaseTimingSchema } from "../../src/core/keyspace/index.ts";

const OPTIONS: EntryOptions = {
  peerAddress: "vm:1",
  seeds: [],
  availabilityZone: "a",
  leaseTiming: leaseTimingSchema.parse({}),
  fitness: 1,
  retryLimits: { ratio: 0.1, windowSeconds: 10, minimum: 10 },
  shutdown: { closeAfter: 3_600, stopAfter: 5_750 },
  registryTiming: { interval: 450, maximumAge: 1_200 },
  seed: 1,
};

/** A core that knows nothing yet, with options that differ as `change` says. */
export function createSteppedEntry(change: Partial<EntryOptions> = {}) {
  const entry = Entry.create({ ...OPTIONS, ...change });
  /** Takes an occurrence at `now`, in milliseconds. */
  const step = (now: number, occurrence: Occurrence): EntryEffect[] =>
    entry.step({ ...occurrence, now });
  return { entry, step };
}
