/**
 * Servers refuse or reset many requests for a while. The repeats that reach
 * them from all VMs together must stay within the budget that operators
 * configure.
 */
import test from "ava";
import { setImmediate as yieldToRunner } from "node:timers/promises";
import { retryExcess } from "../support/retry_excess.ts";
import type { LoadOptions, RequestLoad } from "./request_load.ts";
import { type Fault, Simulation } from "./simulation.ts";

const FAILED_FROM = 22_000;
const FAILED_UNTIL = 36_000;
const UNTIL = 40_000;
const SERVERS = 24;
const LOAD: LoadOptions = {
  from: 8_000,
  until: UNTIL,
  rate: 300,
  work: 100,
  speeds: [1],
  slots: 6,
  queue: 24,
  target: 1_200,
  timeout: 3_000,
  keyOf: (draw) => Math.floor(draw() * 65_536),
};

/** Numbers of VMs, each with the minimum of the budget. */
const SIZES = [[4, 56], [11, 62], [61, 162]];

/** Applies a fault to the VMs with the given indexes. */
function toVms(
  kind: Fault["kind"],
  at: number,
  duration: number,
  targets: readonly number[],
): Fault[] {
  return targets.map((target) => ({ kind, at, duration, target }));
}

function indexes(vms: number, first = 0, step = 1): number[] {
  return Array.from(
    { length: Math.ceil((vms - first) / step) },
    (_, i) => first + i * step,
  );
}

/**
 * All servers lose their keys while the store does not answer, so that no VM
 * can assign the keys again.
 */
const KEYS_LOST: Fault[] = [
  {
    kind: "store.down",
    at: FAILED_FROM - 300,
    duration: FAILED_UNTIL - FAILED_FROM,
    target: 0,
  },
  ...Array.from({ length: SERVERS }, (_, target): Fault => ({
    kind: "server.restart",
    at: FAILED_FROM,
    duration: 50,
    target,
  })),
];

/** The connections of VMs to all servers are reset from time to time. */
function resets(targets: readonly number[]): Fault[] {
  return [0, 1_200, 9_600, 10_400, 12_000].flatMap((after) =>
    toVms("vm.servers_reset", FAILED_FROM + after, 700, targets)
  );
}

interface Case {
  name: string;
  faults: (vms: number) => Fault[];
  isKeyed?: boolean;
  /** Requests per second. */
  rate?: number;
}

const CASES: Case[] = [
  { name: "servers refuse keys", faults: () => KEYS_LOST },
  {
    name: "servers refuse keys, and VMs are killed",
    faults: (vms) => [
      ...KEYS_LOST,
      ...toVms("vm.kill", FAILED_FROM + 3_000, 400, indexes(vms, 0, 2)),
      ...toVms("vm.kill", FAILED_FROM + 7_000, 400, indexes(vms, 1, 2)),
    ],
  },
  {
    name: "servers refuse keys, and all VMs are killed at once",
    faults: (vms) => [
      ...KEYS_LOST,
      ...toVms("vm.kill", FAILED_FROM + 3_000, 400, indexes(vms)),
    ],
  },
  {
    name: "servers refuse keys, and VMs are suspended",
    faults: (vms) => [
      ...KEYS_LOST,
      ...toVms("vm.suspend", FAILED_FROM + 2_000, 4_000, indexes(vms, 1, 2)),
    ],
  },
  {
    name: "servers refuse keys at a low rate, and VMs are cut off from others",
    faults: (vms) => [
      ...toVms(
        "vm.cut_from_peers",
        FAILED_FROM - 13_000,
        FAILED_UNTIL - FAILED_FROM + 13_000,
        indexes(vms, Math.ceil(vms / 3)),
      ),
      ...KEYS_LOST,
    ],
    rate: 8,
  },
  {
    name: "servers reset connections",
    faults: (vms) => resets(indexes(vms)),
    isKeyed: false,
  },
  {
    name: "servers reset connections, and VMs are killed",
    faults: (vms) => [
      ...resets(indexes(vms)),
      ...toVms("vm.kill", FAILED_FROM + 5_000, 400, indexes(vms)),
    ],
    isKeyed: false,
  },
];

function simulate(
  { faults, isKeyed = true, rate = LOAD.rate }: Case,
  vms: number,
  minimum: number,
  seed: number,
): { load: RequestLoad; excess: number } {
  const retryLimits = { ratio: 0.2, windowSeconds: 10, minimum };
  const { load, violations } = Simulation.runToEnd({
    vms,
    servers: SERVERS,
    seedVms: 3,
    duration: UNTIL + 2_000,
    seed,
    fitness: Array.from({ length: vms }, (_, i) => i < 4 ? 5 : 1),
    load: { ...LOAD, isKeyed, rate },
    retryLimits,
    faults: faults(vms),
  });
  if (violations.length > 0) throw new Error(violations.join("\n"));
  const { requestTimes, repeatTimes } = load!;
  const excess = retryExcess(requestTimes, repeatTimes, retryLimits);
  return { load: load!, excess };
}

// Guards against retries that are forgotten before the window has passed, so
// that all VMs use their shares twice within it, and against shares by a number
// of VMs that is too low.
for (const each of CASES) {
  for (const [vms, minimum] of SIZES) {
    test.serial(`retries: ${each.name}, ${vms} VMs: they stay within the budget`, async (t) => {
      for (const seed of [1, 2]) {
        await yieldToRunner();
        const { load, excess } = simulate(each, vms, minimum, seed);
        t.log(`${load.repeatTimes.length} repeats, ${excess} beyond`);
        t.true(excess <= 0, `seed ${seed}: ${excess} beyond the budget`);
      }
    });
  }
}
