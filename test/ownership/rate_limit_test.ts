/**
 * Servers that report a limit on the requests per second from all VMs combined.
 * A VM does not see the requests of other VMs, and requests for a key cannot be
 * sent to another server.
 */
import test from "ava";
import type {
  LimitedArrival,
  LoadOptions,
  RequestLoad,
} from "./request_load.ts";
import { type Fault, Simulation } from "./simulation.ts";

const LIMITED_FROM = 8_000;
const LIMITED_UNTIL = 22_000;
const UNTIL = 30_000;
/** Time allowed for VMs to apply a new limit, in milliseconds. */
const PROPAGATION_TIME = 3_000;
/** Length of the window in which requests are counted, in milliseconds. */
const WINDOW = 4_000;
/** Time allowed for VMs to detect the end of a limit, in milliseconds. */
const RECOVERY_TIME = 3_000;
const SERVERS = 8;
/**
 * Time allowed for keys to move away from a server once VMs apply its limit, in
 * milliseconds.
 */
const MOVE_TIME = 2_000;

/**
 * Returns the maximum number of requests per window that the specification
 * permits.
 */
function allowed(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW / 1_000 + 5;
}

/**
 * Returns the maximum number of requests that one server received in a window,
 * from VMs that must apply the limit by then.
 */
function mostInWindow(arrivals: readonly LimitedArrival[]): number {
  const from = LIMITED_FROM + PROPAGATION_TIME;
  const counted = arrivals.filter(({ at, isLimitKnown }) =>
    isLimitKnown && at >= from
  );
  const counts = counted.map(({ server, at }) =>
    counted.filter((each) =>
      each.server === server && each.at >= at && each.at < at + WINDOW
    ).length
  );
  return Math.max(0, ...counts);
}

/**
 * Returns the mean requests per second that each limited server received while
 * limited.
 */
function meanRate(
  arrivals: readonly LimitedArrival[],
  servers: number,
): number {
  const from = LIMITED_FROM + PROPAGATION_TIME;
  const count = arrivals.filter(({ at }) => at >= from).length;
  return count * 1_000 / (LIMITED_UNTIL - from) / servers;
}

const FAULT_CASES: [string, Fault[]][] = [
  ["without faults", []],
  ["while the VM that holds the term is cut off from the store", [
    { kind: "vm.cut_from_store", at: 13_000, duration: 4_000, target: 0 },
    { kind: "vm.cut_from_store", at: 13_000, duration: 4_000, target: 1 },
  ]],
  [
    "while VMs restart",
    [2, 3, 4, 5].map((target) => (
      { kind: "vm.kill", at: 12_000 + 900 * target, duration: 400, target }
    )),
  ],
  ["while a VM is cut off from all others", [
    { kind: "vm.cut_from_peers", at: 13_000, duration: 4_000, target: 3 },
  ]],
];

/**
 * Simulates a load during which some servers report a limit from `LIMITED_FROM`
 * to `LIMITED_UNTIL`.
 */
function simulate(
  vms: number,
  requestsPerSecond: number,
  isKeyed: boolean,
  faults: Fault[],
) {
  const load: LoadOptions = {
    isKeyed,
    from: 4_000,
    until: UNTIL,
    rate: 112,
    work: 150,
    speeds: [1],
    slots: 6,
    queue: 24,
    target: 600,
    timeout: 1_500,
    keyOf: (draw) => Math.floor(draw() * 65_536),
    rateLimit: {
      from: LIMITED_FROM,
      until: LIMITED_UNTIL,
      requestsPerSecond,
      servers: limitedServerCount(isKeyed),
    },
  };
  return Simulation.runToEnd({
    vms,
    servers: SERVERS,
    faults,
    duration: UNTIL + 3_000,
    seed: 1,
    seedVms: 2,
    fitness: Array.from({ length: vms }, (_, i) => i < 2 ? 5 : 1),
    load,
  });
}

function limitedServerCount(isKeyed: boolean): number {
  return isKeyed ? 2 : 1;
}

/**
 * Returns the share of the requests started between `from` and `until` that
 * were served within the target latency.
 */
function servedShare(load: RequestLoad, from: number, until: number): number {
  const results = load.results.filter(({ startedAt }) =>
    startedAt >= from && startedAt < until
  );
  return results.filter(({ name }) => name === "inTime").length /
    results.length;
}

/**
 * All VMs are cut off from each other, and callers use a third of them, then
 * all, then the same third. VMs use fixed shares of a limit then.
 */
function movingCallers(vms: number): Fault[] {
  return Array.from({ length: vms }, (_, target): Fault[] => [
    { kind: "vm.cut_from_peers", at: 12_000, duration: 9_000, target },
    ...(target % 3 === 0 ? [] : [14_000, 18_000]).map((at): Fault => (
      { kind: "vm.cut_from_callers", at, duration: 2_000, target }
    )),
  ]).flat();
}

/** Numbers of VMs, each with a limit in requests per second. */
const LIMIT_CASES = [[11, 6], [11, 1.8], [61, 1.8]];

for (const [vms, requestsPerSecond] of LIMIT_CASES) {
  for (const [name, faults] of FAULT_CASES) {
    for (const isKeyed of [true, false]) {
      const kind = isKeyed ? "keyed" : "without keys";
      const title =
        `a limit of ${requestsPerSecond} requests per second, ${vms} VMs, ` +
        `${kind}, ${name}: it is respected and used`;
      test(title, (t) => {
        const report = simulate(vms, requestsPerSecond, isKeyed, faults);
        t.deepEqual(report.violations, []);
        const { limitedArrivals } = report.load!;
        const most = mostInWindow(limitedArrivals);
        t.true(most <= allowed(requestsPerSecond), `${most} in ${WINDOW} ms`);
        const rate = meanRate(limitedArrivals, limitedServerCount(isKeyed));
        t.true(rate >= 0.7 * requestsPerSecond, `${rate} per second`);
        const from = LIMITED_UNTIL + RECOVERY_TIME;
        const served = servedShare(report.load!, from, Infinity);
        t.true(served > 0.95, `${served} served in time after the limit`);
      });
    }
  }

  // Guards against shares of a limit that grow with the requests of callers that
  // have left other VMs.
  for (const isKeyed of [true, false]) {
    const kind = isKeyed ? "keyed" : "without keys";
    test(`a limit of ${requestsPerSecond} requests per second, ${vms} VMs, ${kind}, while callers move between VMs that are cut off: it is respected`, (t) => {
      const faults = movingCallers(vms);
      const report = simulate(vms, requestsPerSecond, isKeyed, faults);
      t.deepEqual(report.violations, []);
      const most = mostInWindow(report.load!.limitedArrivals);
      t.true(most <= allowed(requestsPerSecond), `${most} in ${WINDOW} ms`);
    });
  }

  // Guards against requests for keys that are refused as long as their server
  // reports a limit, although other servers have spare capacity.
  test(`keys move away from servers with a limit of ${requestsPerSecond} requests per second, ${vms} VMs`, (t) => {
    const { load, violations } = simulate(vms, requestsPerSecond, true, []);
    t.deepEqual(violations, []);
    const from = LIMITED_FROM + PROPAGATION_TIME + MOVE_TIME;
    const served = servedShare(load!, from, LIMITED_UNTIL);
    t.true(served > 0.95, `${served} served in time`);
  });
}
