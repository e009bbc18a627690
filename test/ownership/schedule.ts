/**
 * Random schedules of faults.
 *
 * @module
 */
import fc from "fast-check";
import type { Fault, WorldOptions } from "./world.ts";

const KINDS: Fault["kind"][] = [
  "vm.freeze",
  "vm.kill",
  "vm.cut_from_store",
  "vm.cut_from_servers",
  "vm.cut_from_peers",
  "vm.shutdown",
  "server.crash",
  "server.drain",
  "server.cut",
  "server.join",
  "server.secluded",
  "server.restart",
  "server.replaced",
  "store.down",
  "store.loses_answers",
  "store.rebalance",
  "orders.late",
  "orders.lost",
];

/** Length of a run, in milliseconds. */
const DURATION = 40_000;
/** Faults end early enough for their effects to show. */
const LAST_FAULT = 28_000;

const fault = fc.record({
  kind: fc.constantFrom(...KINDS),
  at: fc.integer({ min: 1_500, max: LAST_FAULT }),
  duration: fc.integer({ min: 300, max: 12_000 }),
  target: fc.nat(15),
});

/** Worlds with up to ten faults, which may overlap. */
export const worlds: fc.Arbitrary<WorldOptions> = fc.record({
  vms: fc.integer({ min: 1, max: 4 }),
  servers: fc.integer({ min: 1, max: 5 }),
  faults: fc.array(fault, { maxLength: 10 }),
  duration: fc.constant(DURATION),
  seed: fc.nat(),
});

/** Worlds made to catch a holder that outlives its authority. */
export const rivalries: fc.Arbitrary<WorldOptions> = fc.record({
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
        kind: "server.secluded",
        at: at - 200 * target,
        duration: 6_000,
        target,
      }
    )),
    { kind: "server.cut", at: at + delay / 4, duration, target: 0 },
  ]),
  duration: fc.constant(DURATION),
  seed: fc.nat(),
});

/** Faults that cross the restart of a server. */
const CROSSING: Fault["kind"][] = [
  "vm.freeze",
  "vm.kill",
  "vm.cut_from_store",
  "vm.cut_from_servers",
  "server.crash",
  "server.drain",
  "server.cut",
  "server.join",
  "server.secluded",
  "store.down",
  "store.loses_answers",
  "store.rebalance",
  "orders.late",
  "orders.lost",
];

const crossing = fc.record({
  kind: fc.constantFrom(...CROSSING),
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

/** A holder that goes on for as long as it may while others elect another. */
const estrangement = fc.integer({ min: 4_000, max: 16_000 }).map(
  (at): Fault[] => [
    { kind: "vm.cut_from_store", at, duration: 3_000, target: 0 },
    { kind: "vm.cut_from_peers", at, duration: 3_000, target: 0 },
  ],
);

/** Worlds in which servers start again, under their id or another, at any moment
 * of a grant, a renewal, a release, a change of term and a silence. */
export const restarts: fc.Arbitrary<WorldOptions> = fc.record({
  vms: fc.integer({ min: 1, max: 3 }),
  servers: fc.integer({ min: 1, max: 4 }),
  faults: fc.tuple(
    fc.array(restart, { minLength: 1, maxLength: 12 }),
    fc.array(crossing, { maxLength: 6 }),
    fc.option(estrangement, { nil: [] }),
  ).map((faults) => faults.flat()),
  duration: fc.constant(26_000),
  seed: fc.nat(),
});

/** Worlds in which a holder loses store and peers, and servers start again while
 * it still has authority and its successor gives orders. */
export const estrangements: fc.Arbitrary<WorldOptions> = fc.record({
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

/** Worlds in which orders are lost and the registry holds entries of others. */
export const forgeries: fc.Arbitrary<WorldOptions> = fc.record({
  vms: fc.integer({ min: 1, max: 3 }),
  servers: fc.integer({ min: 2, max: 4 }),
  faults: fc.tuple(
    fc.array(
      fc.record({
        kind: fc.constant<Fault["kind"]>("registry.copied"),
        at: fc.integer({ min: 3_000, max: 20_000 }),
        duration: fc.integer({ min: 1_000, max: 20_000 }),
        target: fc.nat(15),
      }),
      { minLength: 1, maxLength: 3 },
    ),
    fc.array(crossing, { maxLength: 6 }),
  ).map((faults) => faults.flat()),
  duration: fc.constant(26_000),
  seed: fc.nat(),
});

const suspension = fc.record({
  kind: fc.constant<Fault["kind"]>("vm.suspend"),
  at: fc.integer({ min: 3_000, max: 22_000 }),
  duration: fc.integer({ min: 300, max: 9_000 }),
  target: fc.nat(15),
});

/** Worlds in which VMs are suspended, at any moment of a term, an order and an
 * election, while other things fail. */
export const suspensions: fc.Arbitrary<WorldOptions> = fc.record({
  vms: fc.integer({ min: 2, max: 4 }),
  servers: fc.integer({ min: 2, max: 4 }),
  faults: fc.tuple(
    fc.array(suspension, { minLength: 1, maxLength: 8 }),
    fc.array(crossing, { maxLength: 5 }),
  ).map((faults) => faults.flat()),
  duration: fc.constant(30_000),
  seed: fc.nat(),
});

/** Worlds in which the time of day of VMs is set ahead and back, while servers cannot
 * be reached. */
export const clockSteps: fc.Arbitrary<WorldOptions> = fc.record({
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
    fc.array(crossing, { minLength: 2, maxLength: 8 }),
  ).map((faults) => faults.flat()),
  duration: fc.constant(30_000),
  seed: fc.nat(),
});

/** A request that ends its servers, and what fails around it. */
export interface Ending {
  vms: number;
  faults: Fault[];
  seed: number;
  isKeyed: boolean;
  isIdempotent: boolean;
  /** Pause between two repeats, in milliseconds. */
  pause: number;
}

/** Schedules in which VMs, servers and the store fail while a request is repeated
 * that ends its servers. */
export const endings: fc.Arbitrary<Ending> = fc.record({
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
  pause: fc.integer({ min: 300, max: 3_600 }),
});
