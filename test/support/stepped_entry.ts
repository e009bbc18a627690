/**
 * Creates the core of an entry, without input and output, that a test advances
 * step by step.
 *
 * @module
 */
import { Entry } from "../../src/core/entry.ts";
import type { EntryEffect } from "../../src/core/entry_effect.ts";
import type { UntimedEvent } from "../../src/core/entry_event.ts";
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
  drainTime: 2_000,
  registryTiming: { interval: 450, maximumAge: 1_200 },
  seed: 1,
};

/**
 * Creates a core that has not received any event yet. `overrides` replaces
 * default options.
 */
export function createSteppedEntry(overrides: Partial<EntryOptions> = {}) {
  const entry = Entry.create({ ...OPTIONS, ...overrides });
  /**
   * Processes an event at time `now`, in milliseconds, and returns the effects.
   */
  const step = (now: number, event: UntimedEvent): EntryEffect[] =>
    entry.step({ ...event, now });
  return { entry, step };
}
