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
import { Simulation, type SimulationOptions } from "./simulation.ts";

const SEED = 7;

/**
 * Load concentrated on a narrow interval of keys, which splits the keys into
 * several ranges per server.
 */
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

/**
 * Simulates `runs` schedules of `arbitrary` with the options in `mutation`;
 * returns the first violation, or null.
 */
function findViolation(
  arbitrary: fc.Arbitrary<SimulationOptions>,
  runs: number,
  mutation: Partial<SimulationOptions>,
): string | null {
  for (const options of fc.sample(arbitrary, { numRuns: runs, seed: SEED })) {
    const { violations } = Simulation.runToEnd({ ...options, ...mutation });
    if (violations.length > 0) return violations[0];
  }
  return null;
}

test("a key has at most one server during any faults", (t) => {
  fc.assert(
    fc.property(mixedFaultSchedules, (options) => {
      const { violations } = Simulation.runToEnd(options);
      if (violations.length > 0) throw new Error(violations[0]);
    }),
    { numRuns: 150, seed: SEED },
  );
  t.pass();
});

test("without faults every key is held once the servers are known", (t) => {
  const report = Simulation.runToEnd({
    vms: 3,
    servers: 4,
    faults: [],
    duration: 20_000,
    seed: 1,
  });
  t.deepEqual(report.violations, []);
  t.true(report.heldShare > 0.85, `${report.heldShare}`);
});

test("a new holder that does not wait for older grants to expire is detected", (t) => {
  const mutation = { otherTiming: { longHold: 1 } };
  t.not(findViolation(staleHolderSchedules, 60, mutation), null);
});

test("a holder that ignores the end of its authority is detected", (t) => {
  const mutation = { firstTiming: { authority: 60_000 } };
  t.not(findViolation(staleHolderSchedules, 60, mutation), null);
});

test("a holder that is still running sends its grants to its successor", (t) => {
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
  const connected = Simulation.runToEnd(options);
  const isolated = Simulation.runToEnd(cut);
  t.deepEqual([...connected.violations, ...isolated.violations], []);
  t.true(
    connected.heldShare > isolated.heldShare + 0.05,
    `${connected.heldShare}, ${isolated.heldShare}`,
  );
});

test("a store that discards assignments is detected", (t) => {
  t.not(
    findViolation(mixedFaultSchedules, 150, { isStoreVolatile: true }),
    null,
  );
});

test("a server keeps its longest lease although a newer grant is shorter", (t) => {
  // A server has a long lease from a store outage. The next holder grants the
  // same keys for a shorter time and then loses the connection to the server.
  const { violations } = Simulation.runToEnd({
    vms: 1,
    servers: 3,
    faults: [
      { kind: "orders.late", at: 13329, duration: 2486, target: 4 },
      { kind: "server.drain", at: 14016, duration: 4103, target: 15 },
      { kind: "orders.late", at: 12041, duration: 4822, target: 2 },
      { kind: "orders.late", at: 16341, duration: 2576, target: 8 },
      { kind: "store.down", at: 7159, duration: 3755, target: 4 },
      { kind: "server.cut_from_store", at: 18993, duration: 4403, target: 8 },
      { kind: "vm.shutdown", at: 26924, duration: 2620, target: 0 },
      { kind: "vm.shutdown", at: 23942, duration: 7812, target: 14 },
    ],
    duration: 40_000,
    seed: 2067970969,
  });
  t.deepEqual(violations, []);
});

test("the term moves to the fittest VM once and stays there", (t) => {
  const report = Simulation.runToEnd({
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

test("a VM of low fitness holds the term only while no fitter one is running", (t) => {
  const report = Simulation.runToEnd({
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

// Guards against VMs of low fitness that take the term after a store outage.
// Without the store no VM has authority, so no heartbeat shows that a fit VM is
// running, and all VMs become candidates when the store returns. With 74 VMs, 8
// of them fit, two VMs of low fitness held the term in turn after an outage of
// 8 s; for 5 s, servers rejected four fifths of the keyed requests because the
// leases on their keys had expired.
test("after a store outage the term moves to a fit VM directly", (t) => {
  const fit = 4;
  const calm: SimulationOptions = {
    vms: 24,
    servers: 8,
    faults: [],
    duration: 20_000,
    seed: 5,
    fitness: Array.from({ length: 24 }, (_, i) => i < fit ? 6 : 0.35),
  };
  const report = Simulation.runToEnd({
    ...calm,
    faults: [
      { kind: "store.down", at: 8_000, duration: 7_000, target: 0 },
      { kind: "vm.kill", at: 9_000, duration: 2_000, target: 20 },
    ],
  });
  t.deepEqual(report.violations, []);
  // Holders from the start of the simulation do not count.
  const before = Simulation.runToEnd(calm).holders.length;
  const unfit = report.holders.slice(before).filter((each) =>
    Number(each.split("-")[1]) >= fit
  );
  t.deepEqual(unfit, []);
});

test("a fit VM that is cut off from the store does not prevent others from taking the term", (t) => {
  const report = Simulation.runToEnd({
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

// Guards against a livelock: an order that is more than 30 ms old may not open
// a connection, and the orders of one step are sent once all are created. A
// slow VM that takes over the term needs more than 0.1 s to create 300 orders.
// If it creates all of them in one step, all are withheld, created again in the
// next step and withheld again, as long as it holds the term.
test("a slow VM that takes over the term grants all keys", (t) => {
  const report = Simulation.runToEnd({
    vms: 2,
    servers: 160,
    faults: [],
    duration: 12_000,
    seed: 1,
    // Each of the first 16 orders takes 0.36 ms on a whole core; the VM has
    // only 0.27 of a core.
    orderTime: 1.35,
  });
  t.deepEqual(report.violations, []);
  t.true(report.heldShare > 0.8, `${report.heldShare}`);
});

// Guards against a livelock: if a new term holder creates withheld orders again
// in the turn of the event loop in which they are reported, they are too old to
// open a connection when they are sent, and the holder grants no keys.
for (
  const [name, kind, targets] of [
    ["that takes over the term", "vm.cut_from_store", [1]],
    ["after a restart of all VMs", "vm.kill", indices(74)],
  ] as const
) {
  test(`a holder without connections ${name} grants all keys`, (t) => {
    const report = Simulation.runToEnd({
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

// Guards against two server processes that hold the same keys with the same
// token. A server ends and another process starts at its address before the
// registry shows it. The next renewal, intended for the previous process, is
// the first grant that the new one receives, so the new one accepts it with the
// previous one's token. This happened 23 times in a run in which a quarter of
// the servers went down for half a second, eight times. Every order therefore
// has a token of its own.
test("a new process of a server gets keys only with a higher token", (t) => {
  t.is(findViolation(serverRestartSchedules, 150, {}), null);
});

test("renewals that reuse the token of the previous grant are detected", (t) => {
  t.not(
    findViolation(serverRestartSchedules, 60, { isTokenReused: true }),
    null,
  );
});

test("an order that names its server shows that the server has ended", (t) => {
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
  const named = Simulation.runToEnd(options);
  const unnamed = Simulation.runToEnd({ ...options, isServerUnnamed: true });
  t.deepEqual([...named.violations, ...unnamed.violations], []);
  t.true(
    named.heldShare > unnamed.heldShare + 0.05,
    `${named.heldShare}, ${unnamed.heldShare}`,
  );
});

// Guards against an order of a former holder that reaches a restarted server. A
// holder that is cut off from the store and its peers keeps its authority for 2
// s, but its successor is elected after 1.3 s. If a server to which the
// successor has granted keys restarts with the same id, an order of the former
// holder can be the first one that the new process receives. This violated
// exclusive ownership in 6 of 3,000 random schedules of restarts.
test("a former holder grants no keys to a restarted server", (t) => {
  t.is(findViolation(isolatedHolderSchedules, 200, {}), null);
});

test("a holder that opens connections while another may hold the term is detected", (t) => {
  const mutation = { mayAlwaysConnect: true };
  t.not(findViolation(isolatedHolderSchedules, 200, mutation), null);
});

// An entry of another writer belongs to no server, so it does not prove that
// the server at its address has ended.
test("another writer's entry does not release the keys of the server at its address", (t) => {
  t.is(findViolation(foreignEntrySchedules, 150, {}), null);
});

test("entries that are treated as proof that a server has ended are detected", (t) => {
  t.not(
    findViolation(foreignEntrySchedules, 150, { isForeignEntryTrusted: true }),
    null,
  );
});

// A server ends, another server listens at its address for 172 ms, and the
// first server restarts there. Guards against treating the other server's
// entry, read then or later, as proof that the first server has ended: its keys
// would move to others while its new process already holds some.
test("a server that restarts after another one had its address keeps its keys", (t) => {
  const { violations } = Simulation.runToEnd({
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
