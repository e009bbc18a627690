/**
 * Operators evacuate a zone and restore it under load. Its servers are cold
 * when it is restored, and all VMs together must neither overload them nor
 * leave them idle.
 */
import test from "ava";
import { setImmediate as yieldToRunner } from "node:timers/promises";
import type { ColdArrival, LoadOptions, RequestLoad } from "./request_load.ts";
import { type Fault, Simulation } from "./simulation.ts";

/** Rate that operators permit for a cold server, in requests per second. */
const RATE = 4.3;
/** Maximum requests that operators permit for a cold server in any second. */
const MAXIMUM_PER_SECOND = Math.floor(RATE * 1.5 + 8);
/** Time for which a server is cold, in milliseconds. */
const WARM_UP = 3_000;
/** Minimum use of the rate of cold servers while callers need them. */
const MINIMUM_USE = 0.7;
/**
 * Time after the restoration within which VMs know of it while the store is
 * available, in milliseconds.
 */
const PROPAGATION_TIME = 1_000;
const SERVERS = 24;
const ZONES = 4;
const ZONE = 1;
/** Indexes of the servers in the zone. */
const ZONE_SERVERS = [1, 5, 9, 13, 17, 21];
/** When the servers of the zone crash; they start again 2.5 s later. */
const LOST_AT = 9_000;
const EVACUATED_AT = 12_000;
const RESTORED_AT = 20_000;
const UNTIL = 26_000;
/** Requests per second to each VM, and the minimum to all VMs. */
const RATE_PER_VM = 5;
const MINIMUM_RATE = 300;
const LOAD: Omit<LoadOptions, "rate"> = {
  isKeyed: false,
  from: 7_000,
  until: UNTIL,
  work: 160,
  speeds: [0.7, 1, 1.3],
  slots: 3,
  queue: 12,
  target: 1_200,
  timeout: 3_000,
  keyOf: (draw) => Math.floor(draw() * 65_536),
  warmUp: { duration: WARM_UP, requestsPerSecond: RATE, crashRate: Infinity },
};

const LOST: Fault[] = ZONE_SERVERS.map((target) => ({
  kind: "server.lost",
  at: LOST_AT,
  duration: 0,
  target,
}));

/** Faults by which the zone is evacuated `from` a time `until` another one. */
function evacuation(from: number, until: number): Fault {
  return {
    kind: "zone.evacuated",
    at: from,
    duration: until - from,
    target: ZONE,
  };
}

/** Applies a fault to every `step`th VM from index `first` on. */
function toVms(
  kind: Fault["kind"],
  at: number,
  duration: number,
  vms: number,
  first = 0,
  step = 1,
): Fault[] {
  return Array.from(
    { length: Math.ceil((vms - first) / step) },
    (_, i) => ({ kind, at, duration, target: first + i * step }),
  );
}

/** A case: its faults, by the number of VMs. */
type FaultCase = [name: string, faults: (vms: number) => Fault[]];

const ONCE: FaultCase = [
  "restored once",
  () => [...LOST, evacuation(EVACUATED_AT, RESTORED_AT)],
];
const FAULT_CASES: FaultCase[] = [
  ONCE,
  [
    "restored twice, the second time while its servers are cold",
    () => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT - 2_500),
      evacuation(RESTORED_AT - 1_500, RESTORED_AT),
    ],
  ],
  [
    "restored after a warm period",
    () => [evacuation(EVACUATED_AT, RESTORED_AT)],
  ],
  [
    "VMs are killed while it is evacuated",
    (vms) => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT),
      ...toVms("vm.kill", EVACUATED_AT + 3_000, 400, vms, 4, 3),
    ],
  ],
  [
    "VMs join when it is restored",
    (vms) => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT),
      ...toVms("vm.kill", RESTORED_AT - 1_300, 4_000, vms, 4, 2),
    ],
  ],
  [
    "VMs are cut off from the others while it is evacuated",
    (vms) => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT),
      ...toVms(
        "vm.cut_from_peers",
        EVACUATED_AT + 500,
        RESTORED_AT - EVACUATED_AT + 200,
        vms,
        4,
        2,
      ),
    ],
  ],
  [
    "VMs are cut off from the store while it is evacuated",
    (vms) => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT),
      ...toVms(
        "vm.cut_from_store",
        EVACUATED_AT + 500,
        RESTORED_AT - EVACUATED_AT + 200,
        vms,
        4,
        2,
      ),
    ],
  ],
  [
    "VMs are suspended while it is evacuated",
    (vms) => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT),
      ...toVms("vm.suspend", RESTORED_AT - 3_000, 3_200, vms, 4, 3),
    ],
  ],
  [
    "VMs are suspended during the whole evacuation",
    (vms) => [
      ...LOST,
      evacuation(RESTORED_AT - 3_000, RESTORED_AT),
      ...toVms("vm.suspend", RESTORED_AT - 3_200, 3_600, vms, 4, 2),
    ],
  ],
  [
    "VMs are cut off during the whole evacuation",
    (vms) => [
      ...LOST,
      evacuation(RESTORED_AT - 3_000, RESTORED_AT),
      ...toVms("vm.cut_from_peers", RESTORED_AT - 3_500, 5_000, vms, 4, 2),
      ...toVms("vm.cut_from_store", RESTORED_AT - 3_500, 5_000, vms, 4, 2),
    ],
  ],
  [
    "evacuated for a moment",
    () => [...LOST, evacuation(RESTORED_AT - 100, RESTORED_AT)],
  ],
  [
    "VMs join after it was restored",
    (vms) => [
      evacuation(EVACUATED_AT, RESTORED_AT),
      ...toVms("vm.kill", RESTORED_AT - 300, 4_000, vms, 4, 2),
    ],
  ],
  [
    "the term holder is killed when it is restored",
    () => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT),
      ...[0, 1, 2, 3].map((target): Fault => ({
        kind: "vm.kill",
        at: RESTORED_AT - 300 + 500 * target,
        duration: 400,
        target,
      })),
    ],
  ],
  [
    "the store is down when it is restored, and VMs are killed",
    (vms) => [
      ...LOST,
      evacuation(EVACUATED_AT, RESTORED_AT),
      { kind: "store.down", at: RESTORED_AT + 100, duration: 2_000, target: 0 },
      ...toVms("vm.kill", RESTORED_AT + 200, 400, vms, 0, 2),
    ],
  ],
];

function simulate(
  vms: number,
  faults: readonly Fault[],
  seed: number,
): RequestLoad {
  const { load, violations } = Simulation.runToEnd({
    vms,
    servers: SERVERS,
    zones: ZONES,
    seedVms: 3,
    duration: UNTIL + 1_000,
    seed,
    fitness: Array.from({ length: vms }, (_, i) => i < 4 ? 5 : 1),
    load: { ...LOAD, rate: Math.max(MINIMUM_RATE, RATE_PER_VM * vms) },
    faults,
  });
  if (violations.length > 0) throw new Error(violations.join("\n"));
  return load!;
}

/** Mean share of the permitted rate that reached servers that became cold. */
function useOfRate(arrivals: readonly ColdArrival[], since: number): number {
  const from = since + PROPAGATION_TIME;
  const until = since + WARM_UP;
  const count = arrivals.filter(({ at }) => at >= from && at < until).length;
  const permitted = RATE * (until - from) / 1_000 * ZONE_SERVERS.length;
  return count / permitted;
}

// Guards against VMs that, after a pause, all use at once the turns to send to
// a cold server that they had not used before it.
for (const [name, faults] of FAULT_CASES) {
  for (const vms of [4, 11, 61]) {
    test.serial(`a restored zone: ${name}, ${vms} VMs: no cold server is overloaded`, async (t) => {
      for (const seed of [1, 2, 3]) {
        await yieldToRunner();
        const { highestColdRate } = simulate(vms, faults(vms), seed);
        t.true(
          highestColdRate <= MAXIMUM_PER_SECOND,
          `seed ${seed}: ${highestColdRate} in a second, ` +
            `${MAXIMUM_PER_SECOND} permitted`,
        );
      }
    });
  }
}

for (const vms of [195, 300]) {
  test.serial(`a restored zone: ${vms} VMs: no cold server is overloaded`, async (t) => {
    await yieldToRunner();
    const { highestColdRate } = simulate(vms, ONCE[1](vms), 1);
    t.true(
      highestColdRate <= MAXIMUM_PER_SECOND,
      `${highestColdRate} in a second, ${MAXIMUM_PER_SECOND} permitted`,
    );
  });
}

// Guards against cold servers that are idle although callers need them, because
// the VMs whose turn it is have no requests.
for (const vms of [4, 11, 61, 195]) {
  test.serial(`a restored zone: ${vms} VMs: its cold servers are used at once and to their rate`, async (t) => {
    await yieldToRunner();
    const { coldArrivals } = simulate(vms, ONCE[1](vms), 1);
    const restored = coldArrivals.filter(({ at }) => at >= RESTORED_AT);
    const use = useOfRate(restored, RESTORED_AT);
    t.true(use >= MINIMUM_USE, `${use} of the rate`);
    const first = restored.filter(({ at }) =>
      at < RESTORED_AT + PROPAGATION_TIME
    );
    const used = new Set(first.map(({ server }) => server));
    t.is(used.size, ZONE_SERVERS.length, "servers that were used at once");
  });
}
