/**
 * Keys of a server that holds them are never freed early. What frees them before
 * their lease has run out is a sign that the server has ended: another entry at
 * its address, or an order that another server refused. Each test brings a sign
 * that proves nothing about the run that holds the keys. By the registry's
 * contract entries may come from other writers, and then say anything: a service
 * that nobody has named, an address that is another server's.
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

/** A holder of two servers, of which `a` has both halves of the keys; no order
 * of older holders is left. */
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
  const none = { remaining: 0, ordersRemaining: 0 };
  const all = { first: 0, last: KEY_COUNT - 1 };
  holder.relieve([{ service: "s", ...all, ...none }], 0);
  /** Orders that are due, by the first key; the store's silence keeps keys from
   * being moved for balance. */
  const orderAt = (now: number) =>
    new Map(
      holder.advance(["s"], now, Infinity, 800, true).flatMap((each) =>
        "order" in each ? [[each.first, each.order] as const] : []
      ),
    );
  const end = (order: number | undefined, outcome: OrderOutcome, now: number) =>
    holder.ordered(order!, outcome, now);
  const owners = () =>
    holder.ranges("s").map(({ first, server, state }) =>
      `${first} ${server} ${state}`
    );
  return { holder, fleet, orderAt, end, owners };
}

/** Both halves are granted at 5; then the lower one's orders stay unanswered,
 * while the upper one is renewed, until the lower one has to wait for its lease. */
function loseOrdersOfLowerHalf() {
  const world = createHolder();
  const { orderAt, end } = world;
  const first = orderAt(0);
  end(first.get(0), ACCEPTED, 5);
  end(first.get(HALF), ACCEPTED, 5);
  for (const now of [600, 1_300]) {
    const orders = orderAt(now);
    end(orders.get(HALF), ACCEPTED, now + 5);
    end(orders.get(0), FAILED, now + 500);
  }
  // Looks once at the loss of the lower half; its last hold goes on to 4,344.
  const orders = orderAt(1_950);
  end(orders.get(HALF), ACCEPTED, 1_955);
  return world;
}

test("server end: keys wait for their lease once their server leaves orders unanswered", (t) => {
  const { orderAt, owners } = loseOrdersOfLowerHalf();
  orderAt(2_000);
  t.deepEqual(owners(), ["0 a expiring", `${HALF} a held`]);
});

test("server end: an entry that copies a server's frees none of its keys", (t) => {
  const { fleet, orderAt, owners } = loseOrdersOfLowerHalf();
  // As another writer leaves it: all as in the server's own, but for the service.
  const { address } = fleet.get("a")!.entry;
  fleet.apply([entry("copy", { address, service: "not named" })], [], 2_000);
  orderAt(2_000);
  t.deepEqual(owners(), ["0 a expiring", `${HALF} a held`]);
});

test("server end: an older entry at its address says nothing once its own is gone", (t) => {
  const { fleet, orderAt, owners } = loseOrdersOfLowerHalf();
  fleet.replace([], 1_900);
  const former = entry("former", { address: "a:1", incarnation: 50 });
  fleet.apply([former, entry("a"), entry("b")], [], 1_960);
  // Its own entry lapses; by the registry's contract it serves on for a while.
  fleet.apply([], ["a"], 1_990);
  orderAt(2_000);
  t.is(owners()[0], "0 a expiring");
});

test("server end: a refusal of an order to an earlier run leaves a later run its keys", (t) => {
  const { fleet, orderAt, end, owners } = createHolder();
  const first = orderAt(0);
  end(first.get(0), ACCEPTED, 5);
  end(first.get(HALF), ACCEPTED, 5);
  // Sent to the run of incarnation 100; its answer, of a server that had the
  // address in between, comes when the next run of `a` is listed and has keys.
  const late = orderAt(610);
  end(late.get(HALF), FAILED, 620);
  fleet.apply([entry("a", { incarnation: 200 })], [], 700);
  const renewal = orderAt(780);
  end(renewal.get(HALF), ACCEPTED, 785);
  end(late.get(0), MISDIRECTED, 800);
  t.is(owners()[1], `${HALF} a held`);
});

test("server end: a refusal at a new address says nothing of the run at the old one", (t) => {
  const { fleet, orderAt, end, owners } = createHolder();
  const first = orderAt(0);
  end(first.get(0), ACCEPTED, 5);
  end(first.get(HALF), ACCEPTED, 5);
  // The same run by its incarnation: the address is another writer's word.
  fleet.apply([entry("a", { address: "b:1" })], [], 300);
  const orders = orderAt(610);
  end(orders.get(0), MISDIRECTED, 615);
  t.false(owners().some((each) => each.includes("null")), owners().join());
});
