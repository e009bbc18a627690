import test from "ava";
import fc from "fast-check";
import type { VmEstimate } from "../peers/index.ts";
import { RetryBudget } from "./retry_budget.ts";

const LIMITS = { ratio: 0.2, windowSeconds: 10, minimum: 56 };

/** A number of VMs that has been known for long. */
function known(count: number): VmEstimate {
  return { count, since: -Infinity };
}

test("retry budget: all VMs together stay within the budget in every window", (t) => {
  const arrivals = fc.array(fc.integer({ min: 0, max: 60 }), {
    minLength: 50,
    maxLength: 600,
  });
  fc.assert(
    fc.property(arrivals, fc.integer({ min: 1, max: 12 }), (gaps, vmCount) => {
      const budgets = Array.from(
        { length: vmCount },
        () => RetryBudget.create(LIMITS),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      let now = 0;
      for (const [index, gap] of gaps.entries()) {
        now += gap;
        const budget = budgets[index % vmCount];
        budget.recordRequest(now);
        requests.push(now);
        for (let i = 0; i < 3; i++) {
          if (budget.withdraw(now, known(vmCount))) retries.push(now);
        }
      }
      const countInWindow = (times: number[], end: number) =>
        times.filter((time) => time > end - 10_000 && time <= end).length;
      for (const end of retries) {
        const permitted = 0.2 * countInWindow(requests, end) + 56;
        if (countInWindow(retries, end) > permitted) {
          throw new Error(
            `${countInWindow(retries, end)} retries, ${permitted} permitted`,
          );
        }
      }
    }),
    { numRuns: 60, seed: 3 },
  );
  t.pass();
});

/**
 * Times of the requests and of the permitted retries of all VMs, in
 * milliseconds.
 */
interface Simulation {
  requests: number[];
  retries: number[];
}

/**
 * Number of retries beyond the budget in the window in which it is highest,
 * among all windows that end with a retry; at most 0 if all VMs together stay
 * within the budget.
 */
function excess({ requests, retries }: Simulation): number {
  const countInWindow = (times: number[], end: number) =>
    times.filter((time) => time > end - 10_000 && time <= end).length;
  return Math.max(
    -Infinity,
    ...retries.map((end) =>
      countInWindow(retries, end) -
      LIMITS.ratio * countInWindow(requests, end) -
      LIMITS.minimum
    ),
  );
}

/**
 * Simulates eight VMs for 30 s, each of which uses all retries that it may.
 * `restarts` lists when VMs restart and lose their counts, `weights`
 * distributes the requests over the VMs, and `assumedVmCount` is the number of
 * VMs that each VM assumes.
 */
function simulate(
  restarts: readonly { at: number; vm: number }[],
  weights: readonly number[],
  perSecond: number,
  assumedVmCount = 8,
): Simulation {
  const vmCount = 8;
  const budgets = Array.from(
    { length: vmCount },
    () => RetryBudget.create(LIMITS, -60_000),
  );
  const simulation: Simulation = { requests: [], retries: [] };
  const total = weights.reduce((sum, each) => sum + each, 0);
  const backlog = new Array<number>(vmCount).fill(0);
  for (let now = 0; now < 30_000; now += 50) {
    for (const { at, vm } of restarts) {
      if (at >= now && at < now + 50) {
        budgets[vm] = RetryBudget.create(LIMITS, now);
      }
    }
    for (const [vm, budget] of budgets.entries()) {
      backlog[vm] += perSecond / 20 * weights[vm] / total;
      for (; backlog[vm] >= 1; backlog[vm] -= 1) {
        budget.recordRequest(now);
        simulation.requests.push(now);
      }
      while (budget.withdraw(now, known(assumedVmCount))) {
        simulation.retries.push(now);
      }
    }
  }
  return simulation;
}

const EVEN_WEIGHTS = new Array<number>(8).fill(1);

/**
 * Guards against a restarted VM that uses its full share of the minimum again,
 * since it has lost its counts: VMs that all restarted within one window used
 * the minimum twice.
 */
test("retry budget: VMs that restart at once, in turn or repeatedly stay within the budget", (t) => {
  const all = (at: number) => EVEN_WEIGHTS.map((_, vm) => ({ at, vm }));
  const schedules = {
    once: all(15_000),
    inTurn: EVEN_WEIGHTS.map((_, vm) => ({ at: 12_000 + 500 * vm, vm })),
    twice: [...all(15_000), ...all(18_000)],
    often: [12, 13, 14, 15, 16, 17, 18, 19, 20].flatMap((s) => all(s * 1_000)),
  };
  for (const [name, schedule] of Object.entries(schedules)) {
    for (const perSecond of [1, 10, 100]) {
      const excessRetries = excess(simulate(schedule, EVEN_WEIGHTS, perSecond));
      t.true(
        excessRetries <= 0,
        `${name}, ${perSecond}/s: ${excessRetries} retries too many`,
      );
    }
  }
});

test("retry budget: VMs with uneven load stay within the budget", (t) => {
  const simulation = simulate([], [40, 1, 1, 1, 1, 1, 1, 0], 100);
  t.true(excess(simulation) <= 0);
  // The margin must not make the budget useless: more than half of it is used.
  t.true(simulation.retries.length > 0.5 * 0.2 * simulation.requests.length);
});

test("retry budget: a VM count that is a quarter too low or far too high stays within the budget", (t) => {
  for (const assumed of [6, 8, 64]) {
    for (const perSecond of [1, 10, 100]) {
      const excessRetries = excess(
        simulate([], EVEN_WEIGHTS, perSecond, assumed),
      );
      t.true(
        excessRetries <= 0,
        `${assumed} VMs, ${perSecond}/s: ${excessRetries} retries too many`,
      );
    }
  }
});

test("retry budget: a VM that has just started may use a third of its share", (t) => {
  const budget = RetryBudget.create(LIMITS, 0);
  for (let i = 0; i < 20; i++) budget.recordRequest(100);
  let withdrawn = 0;
  while (budget.withdraw(100, known(8))) withdrawn += 1;
  t.is(withdrawn, 1);
});

test("retry budget: retries are available again after a window has passed", (t) => {
  const budget = RetryBudget.create(LIMITS);
  let withdrawn = 0;
  while (budget.withdraw(0, known(8))) withdrawn += 1;
  t.is(withdrawn, 3);
  t.false(budget.withdraw(9_000, known(8)));
  t.true(budget.withdraw(10_500, known(8)));
});

// Guards against retries that a VM forgets before the window has passed.
test("retry budget: no retry of a full budget is available again within a window", (t) => {
  for (let at = 0; at < 500; at += 10) {
    const budget = RetryBudget.create(LIMITS);
    while (budget.withdraw(at, known(8)));
    t.false(budget.withdraw(at + 9_990, known(8)), `used at ${at} ms`);
  }
});
