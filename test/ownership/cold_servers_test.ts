/**
 * All servers of a zone return under load. They are cold and crash again if
 * they receive too many requests. Each of 61 VMs sends a request to a given
 * server only once in several seconds, but if all of them send one as soon as
 * they learn of the server's return, the server receives four times as many
 * requests as it can run.
 */
import test from "ava";
import type { LoadOptions } from "./request_load.ts";
import { type Fault, Simulation } from "./simulation.ts";

const CRASHED_AT = 12_000;
const UNTIL = 26_000;
const LOAD: LoadOptions = {
  from: 8_000,
  until: UNTIL,
  rate: 120,
  work: 160,
  speeds: [0.7, 1, 1.3],
  slots: 3,
  queue: 12,
  target: 1_200,
  timeout: 3_000,
  keyOf: (draw) => Math.floor(draw() * 65_536),
  warmUp: { duration: 3_000, requestsPerSecond: 4.3, crashRate: 14 },
};

/** Indexes of the servers in one of the four availability zones. */
const ZONE_SERVERS = [1, 5, 9, 13, 17, 21];

const FAULT_CASES: [string, Fault[]][] = [
  [
    "a zone returns after a crash",
    ZONE_SERVERS.map((target) => ({
      kind: "server.lost",
      at: CRASHED_AT,
      duration: 0,
      target,
    })),
  ],
  [
    "a zone restarts with the same ids and registers late",
    ZONE_SERVERS.map((target) => ({
      kind: "server.restart",
      at: CRASHED_AT,
      duration: 500,
      target,
    })),
  ],
  ["a zone returns while the VMs that may hold the term are killed", [
    ...ZONE_SERVERS.map((target): Fault => ({
      kind: "server.lost",
      at: CRASHED_AT,
      duration: 0,
      target,
    })),
    ...[0, 1, 2, 3].map((target): Fault => ({
      kind: "vm.kill",
      at: CRASHED_AT + 2_400 + 300 * target,
      duration: 400,
      target,
    })),
  ]],
];

for (const [name, faults] of FAULT_CASES) {
  for (const isKeyed of [true, false]) {
    const kind = isKeyed ? "keyed" : "without keys";
    test(`cold servers: ${name}, ${kind}: no server is overloaded`, (t) => {
      for (const vms of [8, 61]) {
        for (const seed of [1, 2, 3]) {
          const { load, violations } = Simulation.runToEnd({
            vms,
            servers: 24,
            zones: 4,
            seedVms: 3,
            duration: UNTIL + 4_000,
            seed,
            fitness: Array.from({ length: vms }, (_, i) => i < 4 ? 5 : 1),
            load: { ...LOAD, isKeyed },
            faults,
          });
          t.deepEqual(violations, []);
          const message = `${vms} VMs, seed ${seed}: ${load!.highestColdRate}`;
          t.is(load!.coldCrashes, 0, message);
          // Keys are assigned to warm servers as long as there are any.
          if (!isKeyed) t.true(load!.highestColdRate > 0, message);
        }
      }
    });
  }
}
