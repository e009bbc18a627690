/**
 * Random schedules of faults.
 *
 * @module
 */
import fc from "fast-check";
import type { Fault, SimulationOptions } from "./simulation.ts";

const FAULT_KINDS: Fault["kind"][] = [
  "vm.freeze",
  "vm.kill",
  "vm.cut_from_store",
  "vm.cut_from_servers",
  "vm.cut_from_peers",
  "vm.shutdown",
  "server.crash",
  "server.drain",
  "server.cut_from_store",
  "server.join",
  "server.cut_from_vms",
  "server.restart",
  "server.replaced",
  "store.down",
  "store.loses_answers",
  "store.rebalance",
  "orders.late",
  "orders.lost",
];

/** Length of a simulation, in milliseconds. */
const DURATION = 40_000;
/**
 * Latest start of a fault, in milliseconds, so that its effects appear before
 * the simulation ends.
 */
const LAST_FAULT_AT = 28_000;

const fault = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  at: fc.integer({ min: 1_500, max: LAST_FAULT_AT }),
  duration: fc.integer({ min: 300, max: 12_000 }),
  target: fc.nat(15),
});

/** Simulations with up to ten faults, which may overlap. */
export const mixedFaultSchedules: fc.Arbitrary<SimulationOptions> = fc.record({
  vms: fc.integer({ min: 1, max: 4 }),
  servers: fc.integer({ min: 1, max: 5 }),
  faults: fc.array(fault, { maxLength: 10 }),
  duration: fc.constant(DURATION),
  seed: fc.nat(),
});

/**
 * Simulations with a term holder that loses the store and all peers, so that
 * another VM takes over the term. They detect a holder that acts after the end
 * of its authority.
 */
export const staleHolderSchedules: fc.Arbitrary<SimulationOptions> = fc.record({
  vms: fc.integer({ min: 2, max: 3 }),
  servers: fc.integer({ min: 2, max: 4 }),
  faults: fc.tuple(
    fc.integer({ min: 4_000, max: 8_000 }),
    fc.integer({ min: 8_000, max: 16_000 }),
    fc.integer({ min: 100, max: 5_000 }),
  ).map(([at, duration, delay]): Fault[] => [
    { kind: "vm.cut_from_store", at, duration, target: 0 },
    { kind: "vm.cut_from_peers", at, duration, target: 0 },
    ...[0, 1, 2, 3].map((target): Fault => (
      {
        kind: "server.cut_from_vms",
        at: at - 200 * target,
        duration: 6_000,
        target,
      }
    )),
    { kind: "server.cut_from_store", at: at + delay / 4, duration, target: 0 },
  ]),
  duration: fc.constant(DURATION),
  seed: fc.nat(),
});

/** Kinds of faults that occur in addition to the faults under test. */
const BACKGROUND_KINDS: Fault["kind"][] = [
  "vm.freeze",
  "vm.kill",
  "vm.cut_from_store",
  "vm.cut_from_servers",
  "server.crash",
  "server.drain",
  "server.cut_from_store",
  "server.join",
  "server.cut_from_vms",
  "store.down",
  "store.loses_answers",
  "store.rebalance",
  "orders.late",
  "orders.lost",
];

const backgroundFault = fc.record({
  kind: fc.constantFrom(...BACKGROUND_KINDS),
  at: fc.integer({ min: 3_000, max: 20_000 }),
  duration: fc.integer({ min: 300, max: 6_000 }),
  target: fc.nat(15),
});

const restart = fc.record({
  kind: fc.constantFrom<Fault["kind"]>("server.restart", "server.replaced"),
  at: fc.integer({ min: 3_000, max: 22_000 }),
  duration: fc.integer({ min: 0, max: 6_000 }),
  target: fc.nat(15),
});

/**
 * A term holder that loses the store and all peers, so that another VM is
 * elected while it still has authority.
 */
const holderIsolation = fc.integer({ min: 4_000, max: 16_000 }).map(
  (at): Fault[] => [
    { kind: "vm.cut_from_store", at, duration: 3_000, target: 0 },
    { kind: "vm.cut_from_peers", at, duration: 3_000, target: 0 },
  ],
);

/**
 * Simulations in which servers restart, under the same id or another one, at
 * any moment of a grant, a renewal, a release, a change of term and a loss of
 * connectivity.
 */
export const serverRestartSchedules: fc.Arbitrary<SimulationOptions> = fc
  .record({
    vms: fc.integer({ min: 1, max: 3 }),
    servers: fc.integer({ min: 1, max: 4 }),
    faults: fc.tuple(
      fc.array(restart, { minLength: 1, maxLength: 12 }),
      fc.array(backgroundFault, { maxLength: 6 }),
      fc.option(holderIsolation, { nil: [] }),
    ).map((faults) => faults.flat()),
    duration: fc.constant(26_000),
    seed: fc.nat(),
  });

/**
 * Simulations in which a term holder loses the store and all peers, and servers
 * restart while it still has authority and its successor already sends orders.
 */
export const isolatedHolderSchedules: fc.Arbitrary<SimulationOptions> = fc
  .record({
    vms: fc.integer({ min: 2, max: 3 }),
    servers: fc.integer({ min: 1, max: 4 }),
    faults: fc.tuple(
      fc.integer({ min: 4_000, max: 8_000 }),
      fc.integer({ min: 0, max: 1 }),
      fc.array(
        fc.record({
          after: fc.integer({ min: 1_000, max: 2_800 }),
          duration: fc.integer({ min: 0, max: 250 }),
          target: fc.nat(15),
        }),
        { minLength: 2, maxLength: 8 },
      ),
    ).map(([at, target, restarts]): Fault[] => [
      { kind: "vm.cut_from_store", at, duration: 4_000, target },
      { kind: "vm.cut_from_peers", at, duration: 4_000, target },
      ...restarts.map(({ after, ...each }): Fault => ({
        kind: "server.restart",
        at: at + after,
        ...each,
      })),
    ]),
    duration: fc.constant(16_000),
    seed: fc.nat(),
  });

/**
 * Simulations in which the registry contains entries of another writer, in
 * addition to other faults.
 */
export const foreignEntrySchedules: fc.Arbitrary<SimulationOptions> = fc.record(
  {
    vms: fc.integer({ min: 1, max: 3 }),
    servers: fc.integer({ min: 2, max: 4 }),
    faults: fc.tuple(
      fc.array(
        fc.record({
          kind: fc.constant<Fault["kind"]>("registry.foreign_entry"),
          at: fc.integer({ min: 3_000, max: 20_000 }),
          duration: fc.integer({ min: 1_000, max: 20_000 }),
          target: fc.nat(15),
        }),
        { minLength: 1, maxLength: 3 },
      ),
      fc.array(backgroundFault, { maxLength: 6 }),
    ).map((faults) => faults.flat()),
    duration: fc.constant(26_000),
    seed: fc.nat(),
  },
);

/** A return of the store from a copy. */
const restoration = fc.record({
  kind: fc.constant<Fault["kind"]>("store.restored"),
  at: fc.integer({ min: 5_000, max: 20_000 }),
  duration: fc.oneof(
    fc.integer({ min: 50, max: 1_000 }),
    fc.integer({ min: 1_000, max: 8_000 }),
  ),
  target: fc.constant(0),
  age: fc.integer({ min: 300, max: 6_000 }),
});

/**
 * Simulations in which the store returns from an older copy, once or several
 * times, in addition to other faults.
 */
export const restorationSchedules: fc.Arbitrary<SimulationOptions> = fc.record({
  vms: fc.integer({ min: 1, max: 4 }),
  servers: fc.integer({ min: 2, max: 5 }),
  faults: fc.tuple(
    fc.array(restoration, { minLength: 1, maxLength: 3 }),
    fc.array(fault, { maxLength: 7 }),
    fc.array(restart, { maxLength: 2 }),
    fc.option(holderIsolation, { nil: [] }),
  ).map((faults) => faults.flat()),
  duration: fc.constant(36_000),
  seed: fc.nat(),
});

const suspension = fc.record({
  kind: fc.constant<Fault["kind"]>("vm.suspend"),
  at: fc.integer({ min: 3_000, max: 22_000 }),
  duration: fc.integer({ min: 300, max: 9_000 }),
  target: fc.nat(15),
});

/**
 * Simulations in which VMs are suspended, at any moment of a term, an order and
 * an election, in addition to other faults.
 */
export const suspensionSchedules: fc.Arbitrary<SimulationOptions> = fc.record({
  vms: fc.integer({ min: 2, max: 4 }),
  servers: fc.integer({ min: 2, max: 4 }),
  faults: fc.tuple(
    fc.array(suspension, { minLength: 1, maxLength: 8 }),
    fc.array(backgroundFault, { maxLength: 5 }),
  ).map((faults) => faults.flat()),
  duration: fc.constant(30_000),
  seed: fc.nat(),
});

/**
 * Simulations in which the time of day of VMs is set forward and back while
 * servers are unreachable.
 */
export const clockStepSchedules: fc.Arbitrary<SimulationOptions> = fc.record({
  vms: fc.integer({ min: 1, max: 3 }),
  servers: fc.integer({ min: 2, max: 4 }),
  faults: fc.tuple(
    fc.array(
      fc.record({
        kind: fc.constantFrom<Fault["kind"]>("vm.clock_step", "vm.suspend"),
        at: fc.integer({ min: 5_000, max: 20_000 }),
        duration: fc.integer({ min: 300, max: 9_000 }),
        target: fc.nat(15),
      }),
      { minLength: 1, maxLength: 4 },
    ),
    fc.array(backgroundFault, { minLength: 2, maxLength: 8 }),
  ).map((faults) => faults.flat()),
  duration: fc.constant(30_000),
  seed: fc.nat(),
});

/** A request that crashes its servers, and other faults. */
export interface CrashSchedule {
  vms: number;
  faults: Fault[];
  seed: number;
  isKeyed: boolean;
  isIdempotent: boolean;
  /** Time between two repeats, in milliseconds. */
  interval: number;
}

/**
 * Schedules in which VMs, servers and the store fail while a request that
 * crashes its servers is repeated.
 */
export const crashSchedules: fc.Arbitrary<CrashSchedule> = fc.record({
  vms: fc.constantFrom(3, 6, 11, 20),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom<Fault["kind"]>(
        "vm.freeze",
        "vm.suspend",
        "vm.kill",
        "vm.cut_from_store",
        "vm.cut_from_servers",
        "vm.cut_from_peers",
        "vm.shutdown",
        "server.lost",
        "server.drain",
        "server.restart",
        "store.down",
        "store.loses_answers",
        "store.rebalance",
      ),
      at: fc.integer({ min: 8_000, max: 30_000 }),
      duration: fc.integer({ min: 300, max: 8_000 }),
      target: fc.nat(40),
    }),
    { maxLength: 14 },
  ),
  seed: fc.nat(),
  isKeyed: fc.boolean(),
  isIdempotent: fc.boolean(),
  interval: fc.integer({ min: 300, max: 3_600 }),
});
