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
/** When callers move, after VMs have sent requests again for some time. */
const MOVED_AT = FAILED_FROM + 1_800;
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

/** The same for cases in which callers move. */
const MOVEMENT_SIZES = [...SIZES, [195, 430], [300, 430]];

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
  /** Whether all servers fail all requests that reach them. */
  isFailing?: boolean;
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

/** The first VMs, as many as are a share of all. */
function part(vms: number, share: number): number[] {
  return indexes(Math.floor(vms * share));
}

/** The VMs that are not among {@linkcode part}. */
function rest(vms: number, share: number): number[] {
  return indexes(vms, Math.floor(vms * share));
}

const SHARES = { half: 1 / 2, "two thirds": 2 / 3, "nine in ten": 9 / 10 };

/** Ways in which VMs lose their callers to others. */
const LOSSES: Record<string, (vms: readonly number[]) => Fault[]> = {
  "lose their callers": (vms) =>
    toVms("vm.cut_from_callers", MOVED_AT, 16_000, vms),
  "lose power": (vms) => toVms("vm.kill", MOVED_AT, 24_000, vms),
  "are suspended": (vms) => [
    ...toVms("vm.suspend", MOVED_AT, 5_000, vms),
    ...toVms("vm.cut_from_callers", MOVED_AT + 300, 5_500, vms),
  ],
  "leave": (vms) => toVms("vm.shutdown", MOVED_AT, 1, vms),
};

/** Cases in which callers move to other VMs while all servers fail. */
const MOVEMENTS: Case[] = ([
  ...Object.entries(SHARES).flatMap(([share, number]) =>
    Object.entries(LOSSES).map(([loss, faults]): Case => ({
      name: `${share} of the VMs ${loss}`,
      faults: (vms) => faults(part(vms, number)),
    }))
  ),
  {
    name: "callers leave two thirds of the VMs and return",
    faults: (vms) =>
      toVms("vm.cut_from_callers", MOVED_AT, 5_000, part(vms, 2 / 3)),
  },
  {
    name: "callers move between halves in turn",
    faults: (vms) =>
      [0, 6_000].flatMap((after) => [
        ...toVms(
          "vm.cut_from_callers",
          MOVED_AT + after,
          3_000,
          part(vms, 0.5),
        ),
        ...toVms(
          "vm.cut_from_callers",
          MOVED_AT + after + 3_000,
          3_000,
          rest(vms, 0.5),
        ),
      ]),
  },
  {
    name: "callers of VMs that are cut off and restart move",
    faults: (vms) => [
      ...toVms("vm.cut_from_peers", MOVED_AT - 4_000, 9_000, part(vms, 1 / 3)),
      ...toVms("vm.cut_from_callers", MOVED_AT, 3_000, part(vms, 2 / 3)),
      ...toVms("vm.kill", MOVED_AT + 3_000, 1_200, rest(vms, 2 / 3)),
      ...toVms(
        "vm.cut_from_callers",
        MOVED_AT + 4_500,
        6_000,
        part(vms, 1 / 3),
      ),
    ],
  },
  {
    name: "links to servers are silent, and callers move",
    faults: (vms) => [
      ...toVms("vm.cut_from_servers", FAILED_FROM + 400, 1_400, indexes(vms)),
      ...toVms("vm.cut_from_callers", MOVED_AT, 8_000, part(vms, 2 / 3)),
    ],
  },
] satisfies Case[]).map((each) => ({
  ...each,
  isKeyed: false,
  isFailing: true,
}));

function simulate(
  { faults, isKeyed = true, isFailing = false, rate = LOAD.rate }: Case,
  vms: number,
  minimum: number,
  seed: number,
): { load: RequestLoad; excess: number } {
  const retryLimits = { ratio: 0.2, windowSeconds: 10, minimum };
  const failure = { from: FAILED_FROM, until: FAILED_UNTIL };
  const { load, violations } = Simulation.runToEnd({
    vms,
    servers: SERVERS,
    seedVms: 3,
    duration: UNTIL + 2_000,
    seed,
    fitness: Array.from({ length: vms }, (_, i) => i < 4 ? 5 : 1),
    load: { ...LOAD, isKeyed, rate, ...(isFailing ? { failure } : {}) },
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
for (const each of [...CASES, ...MOVEMENTS]) {
  const sizes = each.isFailing ? MOVEMENT_SIZES : SIZES;
  for (const [vms, minimum] of sizes) {
    test.serial(`retries: ${each.name}, ${vms} VMs: they stay within the budget`, async (t) => {
      for (const seed of each.isFailing ? [1] : [1, 2]) {
        await yieldToRunner();
        const { load, excess } = simulate(each, vms, minimum, seed);
        t.log(`${load.repeatTimes.length} repeats, ${excess} beyond`);
        t.true(excess <= 0, `seed ${seed}: ${excess} beyond the budget`);
      }
    });
  }
}

// Guards against a budget that a short failure of many servers cannot use.
for (const [vms, minimum] of SIZES) {
  test.serial(`retries: half of the servers fail for a second, ${vms} VMs: most requests are served by others`, (t) => {
    const failure = {
      from: FAILED_FROM,
      until: FAILED_FROM + 1_000,
      servers: SERVERS / 2,
    };
    const { load } = Simulation.runToEnd({
      vms,
      servers: SERVERS,
      seedVms: 3,
      duration: UNTIL + 2_000,
      seed: 1,
      fitness: Array.from({ length: vms }, (_, i) => i < 4 ? 5 : 1),
      load: { ...LOAD, isKeyed: false, failure },
      retryLimits: { ratio: 0.2, windowSeconds: 10, minimum },
      faults: [],
    });
    const results = load!.results.filter(({ startedAt }) =>
      startedAt >= failure.from && startedAt < failure.until
    );
    const inTime = results.filter(({ name }) => name === "inTime").length;
    const share = inTime / results.length;
    t.log(`${share} served in time`);
    // Half of the requests fail first; most of those are made up for.
    t.true(share > 0.75, `${share} served in time`);
  });
}
