/**
 * Guards against one key with more requests than its server can answer. Only
 * the term holder, which knows the demand of all VMs, can detect this, because
 * each single VM has a request for the key only every few seconds.
 *
 * @module
 */
import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Fleet } from "../fleet/index.ts";
import { findOverloads, KeyLimits } from "./key_limits.ts";
import { vacantRange } from "./tracked_range.ts";

const WINDOW = 1_000;
/** Requests a second that a server can answer in two slots, 100 ms each. */
const CAPACITY = 20;

/**
 * Creates servers `a` and `b` that answer in 100 ms, with two ranges of `a` and
 * one of `b`.
 */
function createServers() {
  const fleet = Fleet.create();
  const entries = ["a", "b"].map((id) =>
    backendServer(id, { availabilityZone: "z", slots: 2 })
  );
  fleet.apply(entries, [], 0);
  const samples = { mean: 100, count: 20 };
  fleet.addPeerSamples(
    entries.map(({ id }) => ({ server: id, ...samples })),
    "vm-1",
    0,
  );
  const ranges = [[0, 9, "a"], [10, 19, "a"], [20, 29, "b"]] as const;
  const heldRanges = ranges.map(([first, last, server]) => ({
    ...vacantRange({ first, last }, 0),
    server,
  }));
  return { fleet, heldRanges };
}

/** Returns the limits for these numbers of requests by key. */
function limitsFor(counts: Record<number, number>) {
  const { fleet, heldRanges } = createServers();
  const keys = Object.entries(counts).flatMap(([key, count]) =>
    Array.from({ length: count }, () => Number(key))
  );
  return findOverloads("s", heldRanges, keys, WINDOW, fleet, 0)
    .flatMap(({ limits }) => limits);
}

test("key limits: there are none while capacity covers demand", (t) => {
  t.deepEqual(limitsFor({ 1: CAPACITY, 21: CAPACITY }), []);
  t.deepEqual(limitsFor({}), []);
  // An excess within random variation is no overload.
  t.deepEqual(limitsFor({ 21: CAPACITY + 9 }), []);
  t.is(limitsFor({ 21: CAPACITY + 12 }).length, 1);
});

test("key limits: a busy key gets the capacity that other keys of its server leave", (t) => {
  t.deepEqual(limitsFor({ 1: 6, 12: 165 }), [
    { service: "s", first: 10, last: 19, share: (0.85 * CAPACITY - 6) / 165 },
  ]);
});

test("key limits: overloaded ranges share the capacity equally", (t) => {
  const shares = limitsFor({ 1: 40, 12: 80 }).map((
    { first, share },
  ) => [first, share]);
  t.deepEqual(shares, [
    [0, 0.85 * CAPACITY / 2 / 40],
    [10, 0.85 * CAPACITY / 2 / 80],
  ]);
});

test("key limits: they apply to their keys and expire without updates", (t) => {
  const keyLimits = KeyLimits.create();
  keyLimits.replace(
    [{ service: "s", first: 10, last: 19, share: 0.25 }],
    1_000,
  );
  t.deepEqual(
    [9, 10, 19, 20].map((key) => keyLimits.admittedShare("s", key, 1_100)),
    [1, 0.25, 0.25, 1],
  );
  t.is(keyLimits.admittedShare("other", 10, 1_100), 1);
  t.is(keyLimits.admittedShare("s", 10, 2_200), 0.25);
  t.is(keyLimits.admittedShare("s", 10, 2_201), 1);
  keyLimits.replace([], 2_300);
  t.is(keyLimits.admittedShare("s", 10, 2_300), 1);
});
