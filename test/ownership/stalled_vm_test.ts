/**
 * VMs stall for seconds: their machine is suspended, or their process does not
 * run. Guards against conclusions about others from times that include a VM's
 * own stall. Responses to requests that were in flight are read after the
 * stall, and their latency was taken for that of the server: a server that took
 * 5 ms counted as taking a second, and the next term holder admitted a fifth of
 * the requests for its keys, although it was idle.
 */
import test from "ava";
import type { LoadOptions } from "./request_load.ts";
import { type Fault, Simulation } from "./simulation.ts";

/** A load that uses a tenth of the capacity of three servers. */
const LIGHT_LOAD: LoadOptions = {
  from: 8_000,
  until: 24_000,
  rate: 150,
  work: 6,
  speeds: [1],
  slots: 3,
  queue: 12,
  target: 500,
  timeout: 2_000,
  keyOf: (draw) => Math.floor(draw() * 65_536),
};

type StallKind = "vm.suspend" | "vm.freeze";

/**
 * Simulates two VMs that stall in turn, so that the term passes to a VM that
 * has stalled itself. Returns the log lines of limits on keys.
 */
function simulateStalls(kind: StallKind, load: LoadOptions, seed: number) {
  const faults: Fault[] = [
    { kind, at: 12_000, duration: 2_000, target: seed },
    { kind, at: 13_200, duration: 3_400, target: seed + 1 },
  ];
  const { log, violations } = Simulation.runToEnd({
    vms: 2,
    servers: 3,
    faults,
    duration: 28_000,
    seed,
    isUptimeForeign: true,
    loggedDecisions: ["keys.limited"],
    load,
  });
  return { log, violations };
}

for (const kind of ["vm.suspend", "vm.freeze"] as const) {
  test(`stalled VMs: their stalls do not count as latency of servers: ${kind}`, (t) => {
    for (let seed = 1; seed <= 12; seed++) {
      const { log, violations } = simulateStalls(kind, LIGHT_LOAD, seed);
      t.deepEqual(violations, []);
      t.deepEqual(log, [], `seed ${seed}`);
    }
  });
}

/** A load that uses a third of the capacity. */
const MODERATE_LOAD: LoadOptions = { ...LIGHT_LOAD, work: 20 };

// Guards against limits of servers with free slots. The requests that waited
// for a stalled VM arrive together, and the latency varies by a third, so that
// the demand exceeds the estimated capacity for a moment.
for (const kind of ["vm.suspend", "vm.freeze"] as const) {
  test(`stalled VMs: keys of servers with free slots are not limited: ${kind}`, (t) => {
    for (let seed = 1; seed <= 12; seed++) {
      const { log } = simulateStalls(kind, MODERATE_LOAD, seed);
      const unfounded = log.filter(({ load, slots }) =>
        Number(load) < Number(slots)
      );
      t.deepEqual(unfounded, [], `seed ${seed}`);
    }
  });
}
