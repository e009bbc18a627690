/**
 * Keys are never freed while a server may hold them. Before the lease has
 * expired they are freed only on proof that the server has ended. The tests
 * guard against events that look like such a proof but say nothing about the
 * process that holds the keys: another entry at its address, or an order that
 * another server refused.
 *
 * By the registry's contract, entries may come from other writers and contain
 * anything, such as an unknown service or the address of another server.
 *
 * @module
 */
import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { type BackendServer, Fleet } from "../fleet/index.ts";
import { KEY_COUNT } from "./assignment.ts";
import { KeyLoads } from "./key_load.ts";
import type { OrderOutcome } from "./keyspace_effect.ts";
import { leaseTimingSchema } from "./lease_timing.ts";
import { TermHolder } from "./term_holder.ts";

const HALF = KEY_COUNT / 2;
const FAILED: OrderOutcome = { kind: "failed", cause: "no answer" };
const ACCEPTED: OrderOutcome = { kind: "accepted", handover: null };
const MISDIRECTED: OrderOutcome = { kind: "misdirected" };

function entry(id: string, change: Partial<BackendServer> = {}): BackendServer {
  return backendServer(id, {
    incarnation: 100,
    availabilityZone: "z",
    ...change,
  });
}

/**
 * Creates a term holder with two servers, of which `a` is recorded for both
 * halves of the keys. No lease of an older term holder is outstanding.
 */
function createHolder() {
  const fleet = Fleet.create();
  fleet.apply([entry("a"), entry("b")], [], 0);
  const halves = [
    { first: 0, last: HALF - 1 },
    { first: HALF, last: KEY_COUNT - 1 },
  ].map((each) => ({ ...each, server: "a", address: "a:1", isOpen: true }));
  const recorded = [{ service: "s", term: 1, version: 1, ranges: halves }];
  const timing = leaseTimingSchema.parse({});
  let orders = 0;
  const next = () => orders += 1;
  const loads = KeyLoads.create();
  const holder = TermHolder.create(2, recorded, timing, fleet, loads, next, 0);
  const noRemainder = { remaining: 0, ordersRemaining: 0 };
  const all = { first: 0, last: KEY_COUNT - 1 };
  holder.applyOutstandingLeases([{ service: "s", ...all, ...noRemainder }], 0);
  /**
   * Returns the numbers of the due orders by their first key. The store has not
   * answered for so long that no moves for load balance start.
   */
  const ordersAt = (now: number) =>
    new Map(
      holder.advance(["s"], now, Infinity, 800, true).flatMap((each) =>
        "order" in each ? [[each.first, each.order] as const] : []
      ),
    );
  const complete = (
    order: number | undefined,
    outcome: OrderOutcome,
    now: number,
  ) => holder.onOrderEnded(order!, outcome, now);
  const owners = () =>
    holder.ranges("s").map(({ first, server, state }) =>
      `${first} ${server} ${state}`
    );
  return { holder, fleet, ordersAt, complete, owners };
}

/**
 * Grants both halves at 5 ms, then lets the orders for the lower half fail
 * while the upper half is renewed, until the lease of the lower half has to
 * expire.
 */
function failOrdersOfLowerHalf() {
  const context = createHolder();
  const { ordersAt, complete } = context;
  const first = ordersAt(0);
  complete(first.get(0), ACCEPTED, 5);
  complete(first.get(HALF), ACCEPTED, 5);
  for (const now of [600, 1_300]) {
    const orders = ordersAt(now);
    complete(orders.get(HALF), ACCEPTED, now + 5);
    complete(orders.get(0), FAILED, now + 500);
  }
  // This step detects that the server of the lower half is lost. The last lease
  // of that half ends at 4,344 ms.
  const orders = ordersAt(1_950);
  complete(orders.get(HALF), ACCEPTED, 1_955);
  return context;
}

test("server end: after unanswered orders the lease of the keys has to expire", (t) => {
  const { ordersAt, owners } = failOrdersOfLowerHalf();
  ordersAt(2_000);
  t.deepEqual(owners(), ["0 a expiring", `${HALF} a held`]);
});

test("server end: a copy of a server's entry frees none of its keys", (t) => {
  const { fleet, ordersAt, owners } = failOrdersOfLowerHalf();
  // Another writer may store such an entry. It has the address of the server's
  // own entry, but another id and service.
  const { address } = fleet.get("a")!.entry;
  fleet.apply([entry("copy", { address, service: "not named" })], [], 2_000);
  ordersAt(2_000);
  t.deepEqual(owners(), ["0 a expiring", `${HALF} a held`]);
});

test("server end: an older entry at the address frees no keys after the server's own has expired", (t) => {
  const { fleet, ordersAt, owners } = failOrdersOfLowerHalf();
  fleet.replace([], 1_900);
  const former = entry("former", { address: "a:1", incarnation: 50 });
  fleet.apply([former, entry("a"), entry("b")], [], 1_960);
  // The entry of `a` expires. By the registry's contract the server may
  // continue to handle requests for a while.
  fleet.apply([], ["a"], 1_990);
  ordersAt(2_000);
  t.is(owners()[0], "0 a expiring");
});

test("server end: a refused order to an earlier process does not free the keys of a later one", (t) => {
  const { fleet, ordersAt, complete, owners } = createHolder();
  const first = ordersAt(0);
  complete(first.get(0), ACCEPTED, 5);
  complete(first.get(HALF), ACCEPTED, 5);
  // These orders were sent to the process of incarnation 100. The refusal comes
  // from a server that had the address in between, and arrives when the next
  // process of `a` is listed and holds keys.
  const late = ordersAt(610);
  complete(late.get(HALF), FAILED, 620);
  fleet.apply([entry("a", { incarnation: 200 })], [], 700);
  const renewal = ordersAt(780);
  complete(renewal.get(HALF), ACCEPTED, 785);
  complete(late.get(0), MISDIRECTED, 800);
  t.is(owners()[1], `${HALF} a held`);
});

test("server end: a refusal at a new address does not free the keys of the process at the old one", (t) => {
  const { fleet, ordersAt, complete, owners } = createHolder();
  const first = ordersAt(0);
  complete(first.get(0), ACCEPTED, 5);
  complete(first.get(HALF), ACCEPTED, 5);
  // The incarnation is unchanged, so this is the same process. Another writer
  // has changed the address.
  fleet.apply([entry("a", { address: "b:1" })], [], 300);
  const orders = ordersAt(610);
  complete(orders.get(0), MISDIRECTED, 615);
  t.false(owners().some((each) => each.includes("null")), owners().join());
});
