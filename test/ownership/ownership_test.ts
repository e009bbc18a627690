import test from "ava";
import fc from "fast-check";
import {
  foreignEntrySchedules,
  isolatedHolderSchedules,
  mixedFaultSchedules,
  serverRestartSchedules,
  staleHolderSchedules,
} from "./schedule.ts";
import type { LoadOptions } from "./request_load.ts";
import { type SimulationOptions, World } from "./world.ts";

const SEED = 7;

/** Load concentrated on a narrow interval of keys, which splits the keys into several
 * ranges per server. */
const SKEWED_LOAD: LoadOptions = {
  from: 4_000,
  until: 14_000,
  rate: 300,
  work: 400,
  speeds: [0.7, 0.7, 1.6],
  slots: 6,
  queue: 24,
  target: 1_200,
  timeout: 3_000,
  keyOf: (draw) =>
    Math.floor(draw() < 0.6 ? 30_000 + 2_000 * draw() : 65_536 * draw()),
};

/** Worlds of `arbitrary`, of which the first with a violation is returned. */
function findViolation(
  arbitrary: fc.Arbitrary<SimulationOptions>,
  runs: number,
  weakness: Partial<SimulationOptions>,
): string | null {
  for (const options of fc.sample(arbitrary, { numRuns: runs, seed: SEED })) {
    const { violations } = World.play({ ...options, ...weakness });
    if (violations.length > 0) return violations[0];
  }
  return null;
}

test("a key has at most one server, whatever fails", (t) => {
  fc.assert(
    fc.property(mixedFaultSchedules, (options) => {
      const { violations } = World.play(options);
      if (violations.length > 0) throw new Error(violations[0]);
    }),
    { numRuns: 150, seed: SEED },
  );
  t.pass();
});

test("without faults every key is held once the servers are known", (t) => {
  const report = World.play({
    vms: 3,
    servers: 4,
    faults: [],
    duration: 20_000,
    seed: 1,
  });
  t.deepEqual(report.violations, []);
  t.true(report.heldShare > 0.85, `${report.heldShare}`);
});

test("a successor that does not wait for older grants is found out", (t) => {
  const weakness = { otherTiming: { longHold: 1 } };
  t.not(findViolation(staleHolderSchedules, 60, weakness), null);
});

test("a holder that looks at no authority is found out", (t) => {
  const weakness = { firstTiming: { authority: 60_000 } };
  t.not(findViolation(staleHolderSchedules, 60, weakness), null);
});

test("a holder that lives tells its successor what it has granted", (t) => {
  const options: SimulationOptions = {
    vms: 2,
    servers: 3,
    duration: 16_000,
    seed: 5,
    faults: [
      { kind: "server.crash", at: 6_000, duration: 1, target: 1 },
      { kind: "store.rebalance", at: 6_050, duration: 1, target: 0 },
      { kind: "store.rebalance", at: 6_100, duration: 1, target: 0 },
      { kind: "store.rebalance", at: 6_150, duration: 1, target: 0 },
    ],
  };
  const cut: SimulationOptions = {
    ...options,
    faults: [
      ...options.faults,
      { kind: "vm.cut_from_peers", at: 5_000, duration: 3_000, target: 0 },
    ],
  };
  const told = World.play(options);
  const untold = World.play(cut);
  t.deepEqual([...told.violations, ...untold.violations], []);
  t.true(
    told.heldShare > untold.heldShare + 0.05,
    `${told.heldShare}, ${untold.heldShare}`,
  );
});

test("a record that is not kept is found out", (t) => {
  t.not(
    findViolation(mixedFaultSchedules, 150, { isStoreVolatile: true }),
    null,
  );
});

test("a server keeps its longest hold though a newer grant is shorter", (t) => {
  // A long hold from an outage is granted again for a shorter time by the next
  // holder, and the server is then lost to its orders.
  const { violations } = World.play({
    vms: 1,
    servers: 3,
    faults: [
      { kind: "orders.late", at: 13329, duration: 2486, target: 4 },
      { kind: "server.drain", at: 14016, duration: 4103, target: 15 },
      { kind: "orders.late", at: 12041, duration: 4822, target: 2 },
      { kind: "orders.late", at: 16341, duration: 2576, target: 8 },
      { kind: "store.down", at: 7159, duration: 3755, target: 4 },
      { kind: "server.cut", at: 18993, duration: 4403, target: 8 },
      { kind: "vm.shutdown", at: 26924, duration: 2620, target: 0 },
      { kind: "vm.shutdown", at: 23942, duration: 7812, target: 14 },
    ],
    duration: 40_000,
    seed: 2067970969,
  });
  t.deepEqual(violations, []);
});

test("the term goes to the fittest VM once and stays there", (t) => {
  const report = World.play({
    vms: 4,
    servers: 4,
    faults: [],
    duration: 20_000,
    seed: 3,
    fitness: [0.5, 0.5, 4, 0.5],
  });
  t.deepEqual(report.violations, []);
  t.is(report.holders.at(-1), "vm-2");
  t.true(report.holders.length <= 2, report.holders.join());
  t.true(report.heldShare > 0.8, `${report.heldShare}`);
});

test("a small VM holds the term while no fitter one lives, and passes it back", (t) => {
  const report = World.play({
    vms: 3,
    servers: 4,
    faults: [
      { kind: "vm.kill", at: 8_000, duration: 16_000, target: 1 },
    ],
    duration: 25_000,
    seed: 4,
    fitness: [0.5, 4, 0.5],
  });
  t.deepEqual(report.violations, []);
  const since = report.holders.indexOf("vm-1");
  t.is(report.holders.at(-1), "vm-1");
  t.true(report.holders.slice(since + 1, -1).every((each) => each !== "vm-1"));
  t.true(report.holders.length >= since + 3, report.holders.join());
});

// Seen on 74 VMs, of which 8 are fit: the store was out for 8 s, in which nobody
// had authority, so nobody told the small VMs that a fit one lives. All stood for
// election when the store was back, two small ones led in turn, and for 5 s four in
// five keyed requests were answered by servers that their keys had been let lapse.
test("after an outage of the store the term goes to a fit VM, not through small ones", (t) => {
  const fit = 4;
  const calm: SimulationOptions = {
    vms: 24,
    servers: 8,
    faults: [],
    duration: 20_000,
    seed: 5,
    fitness: Array.from({ length: 24 }, (_, i) => i < fit ? 6 : 0.35),
  };
  const report = World.play({
    ...calm,
    faults: [
      { kind: "store.down", at: 8_000, duration: 7_000, target: 0 },
      { kind: "vm.kill", at: 9_000, duration: 2_000, target: 20 },
    ],
  });
  t.deepEqual(report.violations, []);
  // The start of the world is not what is looked at.
  const before = World.play(calm).holders.length;
  const small = report.holders.slice(before).filter((each) =>
    Number(each.split("-")[1]) >= fit
  );
  t.deepEqual(small, []);
});

test("a fit VM that alone is cut off from the store keeps no other from the term", (t) => {
  const report = World.play({
    vms: 4,
    servers: 4,
    faults: [
      { kind: "vm.cut_from_store", at: 8_000, duration: 11_000, target: 1 },
    ],
    duration: 20_000,
    seed: 4,
    fitness: [0.5, 4, 0.5, 0.5],
  });
  t.deepEqual(report.violations, []);
  const others = report.holders.slice(report.holders.indexOf("vm-1") + 1)
    .filter((each) => each !== "vm-1");
  t.true(others.length > 0, report.holders.join());
});

// An order that is 30 ms old opens no connection any more, and the orders of one
// step are sent once all are made. A small VM that took the term over made 300 at
// once, which takes it 0.1 s and more: all were withheld, made again in the next
// step, and withheld again, for as long as it led.
test("a small VM that takes the term over gives all keys out", (t) => {
  const report = World.play({
    vms: 2,
    servers: 160,
    faults: [],
    duration: 12_000,
    seed: 1,
    // 0.36 ms of a whole core for one of the first 16, on 0.27 of a core.
    orderTime: 1.35,
  });
  t.deepEqual(report.violations, []);
  t.true(report.heldShare > 0.8, `${report.heldShare}`);
});

// Guards against a livelock: a new term holder that makes withheld orders again in the
// turn of the event loop in which they end sends them too old to open a connection, and
// grants no keys.
for (
  const [name, kind, targets] of [
    ["that takes the term over", "vm.cut_from_store", [1]],
    ["after a restart of all VMs", "vm.kill", indices(74)],
  ] as const
) {
  test(`a holder without connections ${name} gives all keys out`, (t) => {
    const report = World.play({
      vms: 74,
      servers: 160,
      faults: targets.map((target) => (
        { kind, at: 10_000, duration: 3_000, target }
      )),
      duration: 16_000,
      seed: 1,
      fitness: indices(74).map((i) => i < 2 ? 5 : 1),
      orderTime: 0.7,
      messageTime: 0.3,
      load: SKEWED_LOAD,
    });
    t.deepEqual(report.violations, []);
    t.true(
      report.withheldOrders < 16,
      `${report.withheldOrders} orders withheld`,
    );
  });
}

// Two servers had the same keys with the same token. A server's process ended and
// another run came up at its address, before the list of servers told; the next
// renewal, meant for the run before, was the first grant that the new run saw, so
// it took the keys, with the older run's token. Seen on a play in which a quarter
// of the servers went down for half a second, eight times: in all 23 cases the
// second server listened at the address of the first, and with a token of its own
// in every order there was none.
test("another run of a server takes keys only with a higher token", (t) => {
  t.is(findViolation(serverRestartSchedules, 150, {}), null);
});

test("renewals with the token of the grant before are found out", (t) => {
  t.not(
    findViolation(serverRestartSchedules, 60, { isTokenReused: true }),
    null,
  );
});

test("orders that name their server tell when it has ended", (t) => {
  const options: SimulationOptions = {
    vms: 2,
    servers: 4,
    faults: [0, 1, 2, 3, 4, 5, 6, 7].map((target) => (
      {
        kind: "server.replaced",
        at: 5_000 + 1_500 * target,
        duration: 100,
        target,
      }
    )),
    duration: 20_000,
    seed: 6,
  };
  const named = World.play(options);
  const nameless = World.play({ ...options, isServerUnnamed: true });
  t.deepEqual([...named.violations, ...nameless.violations], []);
  t.true(
    named.heldShare > nameless.heldShare + 0.05,
    `${named.heldShare}, ${nameless.heldShare}`,
  );
});

// The schedules of restarts broke in 6 of 3,000, all alike: a holder that hears
// neither store nor peers keeps its authority for 2 s, and its successor is elected
// after 1.3 s. A server that the successor has granted its keys starts again under
// its id, and the first order that the new run gets is one of the former holder.
test("a former holder gives no keys to a server that has started again", (t) => {
  t.is(findViolation(isolatedHolderSchedules, 200, {}), null);
});

test("a holder that opens connections when another may lead is found out", (t) => {
  const weakness = { mayAlwaysConnect: true };
  t.not(findViolation(isolatedHolderSchedules, 200, weakness), null);
});

// An entry that another writer has left names no server, so it does not prove
// either that the server at its address has ended.
test("an entry of another writer frees no keys of the server at its address", (t) => {
  t.is(findViolation(foreignEntrySchedules, 150, {}), null);
});

test("entries that are taken for the end of a server are found out", (t) => {
  t.not(
    findViolation(foreignEntrySchedules, 150, { isForeignEntryTrusted: true }),
    null,
  );
});

// A server's process ends, another server listens at its address for 172 ms, and
// the first one is back there. The other one's entry, read while it was up or
// after, was taken for the proof that the first had ended, and its keys went on
// while its new run had just been granted some of them.
test("a server that is back after another had its address keeps its keys", (t) => {
  const { violations } = World.play({
    vms: 1,
    servers: 2,
    faults: [
      { kind: "server.replaced", at: 3001, duration: 1032, target: 1 },
      { kind: "server.replaced", at: 19362, duration: 2, target: 8 },
      { kind: "server.restart", at: 8640, duration: 270, target: 1 },
      { kind: "server.replaced", at: 5360, duration: 4563, target: 12 },
      { kind: "server.replaced", at: 6705, duration: 5991, target: 15 },
      { kind: "server.replaced", at: 21995, duration: 711, target: 9 },
      { kind: "server.restart", at: 8157, duration: 1921, target: 2 },
      { kind: "server.replaced", at: 16153, duration: 964, target: 14 },
      { kind: "server.restart", at: 3007, duration: 5998, target: 1 },
      { kind: "server.replaced", at: 3005, duration: 339, target: 2 },
      { kind: "vm.cut_from_servers", at: 15506, duration: 4466, target: 6 },
      { kind: "vm.cut_from_servers", at: 13434, duration: 3625, target: 0 },
    ],
    duration: 26_000,
    seed: 493934156,
  });
  t.deepEqual(violations, []);
});

function indices(length: number): number[] {
  return Array.from({ length }, (_, i) => i);
}
