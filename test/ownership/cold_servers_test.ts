/**
 * Servers that come back cold under load, those of a zone together, and end again when
 * they get too much. Each of 61 VMs sees a server once in some seconds, so one request
 * of each in the moment in which they learn of it is four times what it bears.
 */
import test from "ava";
import type { LoadOptions } from "./request_load.ts";
import { type Fault, World } from "./world.ts";

const FROM = 12_000;
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

/** Servers of one of four zones. */
const ZONE = [1, 5, 9, 13, 17, 21];

const PATTERNS: [string, Fault[]][] = [
  [
    "a zone comes back after it was lost",
    ZONE.map((target) => ({
      kind: "server.lost",
      at: FROM,
      duration: 0,
      target,
    })),
  ],
  [
    "a zone starts again under its ids, listed late",
    ZONE.map((target) => ({
      kind: "server.restart",
      at: FROM,
      duration: 500,
      target,
    })),
  ],
  ["a zone comes back while the VMs that may hold the term are killed", [
    ...ZONE.map((target): Fault => ({
      kind: "server.lost",
      at: FROM,
      duration: 0,
      target,
    })),
    ...[0, 1, 2, 3].map((target): Fault => ({
      kind: "vm.kill",
      at: FROM + 2_400 + 300 * target,
      duration: 400,
      target,
    })),
  ]],
];

for (const [name, faults] of PATTERNS) {
  for (const isKeyed of [true, false]) {
    const kind = isKeyed ? "keyed" : "without keys";
    test(`cold servers: ${name}, ${kind}: none gets more than it bears`, (t) => {
      for (const vms of [8, 61]) {
        for (const seed of [1, 2, 3]) {
          const { load, violations } = World.play({
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
          const most = `${vms} VMs, seed ${seed}: ${load!.highestColdRate}`;
          t.is(load!.coldCrashes, 0, most);
          // Keys go to warm servers as long as there are any.
          if (!isKeyed) t.true(load!.highestColdRate > 0, most);
        }
      }
    });
  }
}
