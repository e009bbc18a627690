import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { type BackendServer, Fleet } from "../fleet/index.ts";
import type { PendingOrder } from "./order_tracker.ts";
import { RangeServers } from "./range_servers.ts";
import { RangeTable } from "./range_table.ts";
import { vacantRange } from "./tracked_range.ts";

const ENTRY: BackendServer = backendServer("a", {
  incarnation: 100,
  availabilityZone: "z",
});

/** Creates an order to server `a` that another server has refused. */
function refusedOrder(address: string): PendingOrder {
  const range = vacantRange({ first: 0, last: 9 }, 0);
  range.server = "a";
  return {
    table: RangeTable.create("s"),
    range,
    kind: "grant",
    sentAt: 0,
    hold: 1,
    token: 1,
    address,
    incarnation: 100,
  };
}

test("range servers: the end of a process does not apply to another address or incarnation", (t) => {
  const fleet = Fleet.create();
  fleet.apply([ENTRY], [], 0);
  const servers = RangeServers.create(fleet);
  servers.recordEnd(refusedOrder("a:1"));
  t.true(servers.hasEnded("a"));
  t.deepEqual([...servers.suspectedServers([])], ["a"]);
  // The entry had a wrong address, which is corrected.
  fleet.apply([{ ...ENTRY, address: "a:2" }], [], 1);
  t.false(servers.hasEnded("a"));
  fleet.apply([{ ...ENTRY, incarnation: 200 }], [], 2);
  t.false(servers.hasEnded("a"));
  t.deepEqual([...servers.suspectedServers([])], []);
});

test("range servers: keys of an evacuated zone are released gradually, adjacent keys at different times", (t) => {
  const fleet = Fleet.create();
  fleet.apply([ENTRY], [], 0);
  const servers = RangeServers.create(fleet);
  const ranges = Array.from({ length: 16 }, (_, i) => {
    const range = vacantRange({ first: i, last: i }, 0);
    range.server = "a";
    return range;
  });
  const countDue = (now: number) =>
    ranges.filter((range) => servers.isReleaseDue(range, now)).length;
  t.is(countDue(0), 0);
  fleet.applyEvacuations({ evacuated: ["z"], restored: [] }, 1_000);
  t.false(servers.isAvailable("a"));
  t.true(countDue(1_010) <= 1);
  const half = countDue(2_000);
  t.true(half >= 6 && half <= 10, `${half}`);
  t.is(countDue(3_000), 16);
  fleet.applyEvacuations({ evacuated: [], restored: ["z"] }, 4_000);
  t.is(countDue(4_000), 0);
  fleet.apply([{ ...ENTRY, isDraining: true }], [], 5_000);
  t.is(countDue(5_000), 16);
});
