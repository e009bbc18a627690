/**
 * Compares planned returns with the delays without a plan, for three patterns of
 * load. Each VM refuses what exceeds the capacity of the service, in the order
 * of rank, and its callers honour Retry-After up to a third of their time.
 */
import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { backendServer } from "../../../test/support/backend_server.ts";
import { DemandMeter } from "../admission/index.ts";
import { routeSchema } from "../catalog/index.ts";
import { RetryAfterPolicy } from "../dispatch/retry_after_policy.ts";
import { createPendingRequest } from "../dispatch/request.ts";
import { NO_FEATURES } from "../features.ts";
import { Fleet } from "../fleet/index.ts";
import { KeyDirectory } from "../keyspace/index.ts";
import { createUniformGenerator } from "../random.ts";
import { ServerPaths, ServerReach } from "../reach/index.ts";
import { ReturnPlanner, ReturnPolicy } from "./index.ts";

const TICK = 20;
const REPORT_INTERVAL = 500;
/** Requests per second that the service runs. */
const CAPACITY = 1_000;
const LATENCY = 710;
/** Requests that the service takes at once after a pause. */
const MAXIMUM_ROOM = 50;

/** A pattern of load on a service. Times are milliseconds. */
interface Pattern {
  /** Requests per second by priority at `time`. */
  demand(time: number): readonly number[];
  /** Timeout of the callers of each priority. */
  timeouts: readonly number[];
  /** Part of the callers that repeat three times at once when refused. */
  stormShare: number;
  /** Minimum of the callers served in time, in those without a plan. */
  minimumGain: number;
  /** End of the last overload, and of the run. */
  overloadEnd: number;
  until: number;
}

const PATTERNS: Record<string, Pattern> = {
  "a burst of 2.2 times for 7 s": {
    demand: (time) => [300, time >= 10_000 && time < 17_000 ? 1_210 : 550],
    timeouts: [2_000, 8_000],
    stormShare: 0,
    minimumGain: 0.99,
    overloadEnd: 17_000,
    until: 25_000,
  },
  "a wave of 13 s around 0.85": {
    demand: (time) => {
      const swing = Math.sin(2 * Math.PI * time / 13_000);
      return [0.3, 0.55].map((share) => share * CAPACITY * (1 + 0.55 * swing));
    },
    timeouts: [4_000, 8_000],
    stormShare: 0,
    minimumGain: 1.01,
    overloadEnd: 57_700,
    until: 65_000,
  },
  "a retry storm": {
    demand: (time) => [300, time >= 10_000 && time < 14_000 ? 1_210 : 550],
    timeouts: [2_000, 8_000],
    stormShare: 0.5,
    minimumGain: 0.98,
    overloadEnd: 14_000,
    until: 22_000,
  },
};

/** One attempt of a caller. */
interface Attempt {
  priority: number;
  firstAt: number;
  at: number;
  isReturn: boolean;
  /** How often it still repeats at once. */
  repeats: number;
  chance: number;
}

/** Runs a pattern with `vmCount` VMs, with or without planned returns. */
function run(pattern: Pattern, vmCount: number, isPlanned: boolean) {
  const draw = createUniformGenerator(7);
  // The same demand with and without a plan.
  const drawDemand = createUniformGenerator(8);
  const planner = ReturnPlanner.create((_, priority) =>
    pattern.timeouts[priority]
  );
  const routes = pattern.timeouts.map((timeout, priority) =>
    routeSchema.parse({
      name: `r${priority}`,
      host: "h",
      pathPrefix: "/",
      isIdempotent: true,
      destinations: [{ service: "s", weight: 1 }],
      timeout,
      targetLatency: timeout / 2,
      maximumAttempts: 1,
      priority,
    })
  );
  const vms = Array.from({ length: vmCount }, () => createVm(isPlanned, draw));
  for (const { policy } of vms) {
    routes.forEach((route) => policy.recordTimeout(route, route.timeout, 0));
  }
  const waiting = new Map<number, Attempt[]>();
  const schedule = (attempt: Attempt) => {
    const tick = Math.ceil(attempt.at / TICK);
    waiting.set(tick, [...(waiting.get(tick) ?? []), attempt]);
  };
  const result = {
    callers: 0,
    served: 0,
    refusedTwice: 0,
    refusals: 0,
  };
  const afterEnd: number[] = [];
  let room = MAXIMUM_ROOM;
  const owed = pattern.timeouts.map(() => 0);
  for (let now = 0; now < pattern.until; now += TICK) {
    pattern.demand(now).forEach((rate, priority) => {
      owed[priority] += rate * TICK / 1_000 * (0.5 + drawDemand());
      for (; owed[priority] >= 1; owed[priority] -= 1) {
        result.callers += 1;
        const repeats = drawDemand() < pattern.stormShare ? 3 : 0;
        const chance = drawDemand();
        const firstAt = now;
        const isReturn = false;
        schedule({ priority, firstAt, at: now, isReturn, repeats, chance });
      }
    });
    const attempts = waiting.get(now / TICK) ?? [];
    waiting.delete(now / TICK);
    const rank = ({ priority, isReturn, chance }: Attempt) =>
      priority + (isReturn && isPlanned ? 0 : chance);
    const ordered = [...attempts].sort((a, b) => rank(a) - rank(b));
    room = Math.min(MAXIMUM_ROOM, room + CAPACITY * TICK / 1_000);
    if (now >= pattern.overloadEnd) {
      const step = Math.floor((now - pattern.overloadEnd) / 100);
      afterEnd[step] = (afterEnd[step] ?? 0) + attempts.length * 10 / CAPACITY;
    }
    for (const attempt of ordered) {
      const vm = vms[Math.floor(draw() * vmCount)];
      const { priority, firstAt, isReturn, repeats } = attempt;
      const timeout = pattern.timeouts[priority] - (now - firstAt);
      const arrival = {
        exchange: 1,
        id: "r",
        host: "h",
        target: "/",
        timeout,
        key: null,
        fingerprint: fingerprintOf("r"),
      };
      const request = createPendingRequest(
        arrival,
        routes[priority],
        "s",
        null,
        0,
        now,
      );
      vm.demand.arrived("s", priority, vm.policy.isReturn(request));
      if (room >= 1) {
        room -= 1;
        const age = now - firstAt + LATENCY;
        if (age <= pattern.timeouts[priority]) result.served += 1;
        continue;
      }
      result.refusals += 1;
      if (isReturn && repeats === 0) {
        result.refusedTwice += 1;
        continue;
      }
      request.lacksCapacity = true;
      const { delay } = vm.policy.choose(request, now);
      if (repeats > 0) {
        schedule({ ...attempt, at: now + TICK, repeats: repeats - 1 });
      } else if (delay <= timeout / 3) {
        schedule({ ...attempt, at: now + delay + 1, isReturn: true });
      }
    }
    planner.plan("s", CAPACITY, now);
    vms.forEach((vm, i) => {
      const phase = Math.floor(REPORT_INTERVAL * i / vmCount / TICK) * TICK;
      if (!isPlanned || (now + phase) % REPORT_INTERVAL >= TICK) return;
      for (const { service, priority, ...counts } of vm.demand.take()) {
        planner.observe(service, priority, counts, now);
      }
      const capacities = new Map([["s", CAPACITY]]);
      const limited = [{ service: "s", threshold: 1, wait: 0 }];
      vm.returns.receive(planner.addWindows(limited, capacities, now), now);
    });
  }
  // Highest demand of 100 ms, from half a second after the end on.
  const lateDemand = Math.max(...afterEnd.slice(5, 40));
  return { ...result, lateDemand };
}

/** Creates the parts of a VM that decide on refusals. */
function createVm(isPlanned: boolean, draw: () => number) {
  const fleet = Fleet.create();
  fleet.apply([backendServer("i-1", { slots: 4 })], [], 0);
  const samples = { server: "i-1", mean: LATENCY, count: 1 };
  fleet.addPeerSamples([samples], "vm", 0);
  const demand = DemandMeter.create();
  const returns = ReturnPolicy.create();
  const policy = RetryAfterPolicy.create({
    fleet,
    directory: KeyDirectory.create(),
    paths: ServerPaths.create(ServerReach.create(fleet, draw)),
    demand,
    returns,
    features: { ...NO_FEATURES, schedulesReturns: isPlanned },
    draw,
  });
  return { demand, returns, policy };
}

for (const [name, pattern] of Object.entries(PATTERNS)) {
  for (const vmCount of [4, 74]) {
    test(`return of refused callers: ${name}, ${vmCount} VMs`, (t) => {
      const unplanned = run(pattern, vmCount, false);
      const planned = run(pattern, vmCount, true);
      const figures = JSON.stringify({ unplanned, planned });
      t.log(figures);
      t.true(planned.refusedTwice < 0.1 * unplanned.refusedTwice, figures);
      t.true(planned.served > pattern.minimumGain * unplanned.served, figures);
      t.true(planned.lateDemand < 0.95 * unplanned.lateDemand, figures);
    });
  }
}
