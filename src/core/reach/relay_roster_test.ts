import test from "ava";
import { RelayRoster } from "./relay_roster.ts";

/** Creates a roster of `count` VMs in zones `a`, `b` and `c` in turn. */
function createRoster(count: number): RelayRoster {
  const roster = RelayRoster.create();
  for (let i = 0; i < count; i++) {
    roster.reported(`vm-${i}`, "abc"[i % 3], 0);
  }
  return roster;
}

test("relay roster: VMs of all zones are named, and never the receiver", (t) => {
  const roster = createRoster(12);
  for (let i = 0; i < 12; i++) {
    const relays = roster.relaysFor(`vm-${i}`, 10);
    t.is(relays.length, 4);
    t.false(relays.includes(`vm-${i}`));
    const zones = new Set(relays.map((each) => Number(each.slice(3)) % 3));
    t.is(zones.size, 3);
  }
});

// Guards against a few VMs that carry the load of all that are cut.
test("relay roster: different VMs get different ones", (t) => {
  const roster = createRoster(60);
  const counts = new Map<string, number>();
  for (let i = 0; i < 60; i++) {
    for (const relay of roster.relaysFor(`vm-${i}`, 10)) {
      counts.set(relay, (counts.get(relay) ?? 0) + 1);
    }
  }
  t.true(counts.size > 40, `${counts.size}`);
  t.true(Math.max(...counts.values()) <= 16);
});

test("relay roster: a VM that is cut, stops or does not report is not named", (t) => {
  const roster = createRoster(3);
  roster.reported("vm-1", undefined, 20);
  t.deepEqual(roster.relaysFor("vm-0", 21), ["vm-2"]);
  roster.reported("vm-0", "a", 2_000);
  t.deepEqual(roster.relaysFor("vm-9", 2_000), ["vm-0"]);
});

test("relay roster: without VMs none is named", (t) => {
  t.deepEqual(RelayRoster.create().relaysFor("vm-0", 0), []);
});
