/**
 * One key that is asked for more than its server can do. Only the term holder, which
 * hears all VMs, sees that: each VM has a request for it every few seconds.
 */
import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Fleet } from "../fleet/index.ts";
import { vacantRange } from "./held_range.ts";
import { KeyLimits, limitsOf } from "./key_limits.ts";

const WINDOW = 1_000;
/** Requests a second of a server here: two slots, 100 ms of work. */
const CAPACITY = 20;

/** Servers `a` and `b` that answer in 100 ms, of which `a` has two ranges. */
function createServers() {
  const fleet = Fleet.create();
  const entries = ["a", "b"].map((id) =>
    backendServer(id, { availabilityZone: "z", slots: 2 })
  );
  fleet.apply(entries, [], 0);
  const samples = { mean: 100, count: 20 };
  fleet.observe(entries.map(({ id }) => ({ server: id, ...samples })), 0);
  const ranges = [[0, 9, "a"], [10, 19, "a"], [20, 29, "b"]] as const;
  const held = ranges.map(([first, last, server]) => ({
    ...vacantRange({ first, last }, 0),
    server,
  }));
  return { fleet, held };
}

/** The limits while each key is asked for as often as `counts` says. */
function limits(counts: Record<number, number>) {
  const { fleet, held } = createServers();
  const keys = Object.entries(counts).flatMap(([key, count]) =>
    Array.from({ length: count }, () => Number(key))
  );
  return limitsOf("s", held, keys, WINDOW, fleet, 0);
}

test("key limits: none while servers can do all that is asked", (t) => {
  t.deepEqual(limits({ 1: CAPACITY, 21: CAPACITY }), []);
  t.deepEqual(limits({}), []);
  // What chance alone brings is no overload.
  t.deepEqual(limits({ 21: CAPACITY + 9 }), []);
  t.is(limits({ 21: CAPACITY + 12 }).length, 1);
});

test("key limits: a busy key gets what its server can do, others there get all", (t) => {
  t.deepEqual(limits({ 1: 6, 12: 165 }), [
    { service: "s", first: 10, last: 19, share: (0.85 * CAPACITY - 6) / 165 },
  ]);
});

test("key limits: ranges that all ask for too much share alike", (t) => {
  const shares = limits({ 1: 40, 12: 80 }).map((
    { first, share },
  ) => [first, share]);
  t.deepEqual(shares, [
    [0, 0.85 * CAPACITY / 2 / 40],
    [10, 0.85 * CAPACITY / 2 / 80],
  ]);
});

test("key limits: they hold for their keys until no word has come for a while", (t) => {
  const known = KeyLimits.create();
  known.take([{ service: "s", first: 10, last: 19, share: 0.25 }], 1_000);
  t.deepEqual(
    [9, 10, 19, 20].map((key) => known.share("s", key, 1_100)),
    [1, 0.25, 0.25, 1],
  );
  t.is(known.share("other", 10, 1_100), 1);
  t.is(known.share("s", 10, 2_200), 0.25);
  t.is(known.share("s", 10, 2_201), 1);
  known.take([], 2_300);
  t.is(known.share("s", 10, 2_300), 1);
});
