import test from "ava";
import fc from "fast-check";
import { retryExcess } from "../../../test/support/retry_excess.ts";
import { RetryBudget, type RetryTerms } from "./retry_budget.ts";

const LIMITS = { ratio: 0.2, windowSeconds: 10, minimum: 56 };
/** Number of VMs among which the minimum is divided. */
const VMS = 8;
/** Equal shares of all VMs that add up to the whole minimum. */
const SHARE = 1 / VMS;

/** What a retry needs that arrives at once, with a share of the minimum. */
function terms(now: number, minimumShare = SHARE) {
  return { arrivesBy: now, minimumShare };
}

/** Whether a retry is permitted. */
function withdraw(
  budget: RetryBudget,
  now: number,
  retry: RetryTerms,
): boolean {
  return budget.withdraw(now, retry).isPermitted;
}

// Guards against requests that permit retries of two VMs, and against retries
// that count when they are sent although they arrive later.
test("retry budget: all VMs together stay within the budget whichever VMs requests use, restart or hold back arrivals", (t) => {
  const steps = fc.array(
    fc.record({
      gap: fc.integer({ min: 0, max: 400 }),
      /** VMs that receive requests: those from the first on. */
      first: fc.integer({ min: 0, max: VMS - 1 }),
      count: fc.integer({ min: 1, max: VMS }),
      requests: fc.integer({ min: 0, max: 40 }),
      retries: fc.integer({ min: 0, max: 60 }),
      transit: fc.constantFrom(0, 0, 0, 20, 1_000, 4_900),
      restarting: fc.constantFrom(null, null, null, 0, 1, 2, 3, 4, 5, 6, 7),
    }),
    { minLength: 60, maxLength: 250 },
  );
  /** Highest number of retries per request. */
  let highestRatio = 0;
  fc.assert(
    fc.property(steps, (all) => {
      const budgets = Array.from(
        { length: VMS },
        () => RetryBudget.create(LIMITS, -60_000),
      );
      const requestTimes: number[] = [];
      const arrivals: number[] = [];
      let now = 0;
      for (const step of all) {
        now += step.gap;
        if (step.restarting !== null) {
          budgets[step.restarting] = RetryBudget.create(LIMITS, now);
        }
        for (let i = 0; i < step.count; i++) {
          const budget = budgets[(step.first + i) % VMS];
          for (let j = 0; j < step.requests; j++) {
            budget.recordRequest(now, now);
            requestTimes.push(now);
          }
          for (let j = 0; j < step.retries; j++) {
            const arrivesBy = now + step.transit;
            const retry = { arrivesBy, minimumShare: SHARE };
            if (!withdraw(budget, now, retry)) break;
            arrivals.push(arrivesBy);
          }
        }
      }
      const excess = retryExcess(requestTimes, arrivals, LIMITS);
      const ratio = arrivals.length / Math.max(1_000, requestTimes.length);
      highestRatio = Math.max(highestRatio, ratio);
      if (excess > 1e-6) throw new Error(`${excess} beyond the budget`);
    }),
    { numRuns: 300, seed: 3 },
  );
  // The property must not be satisfied merely for lack of retries.
  t.true(highestRatio > LIMITS.ratio / 2, `${highestRatio}`);
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
 * Simulates eight VMs for 30 s, each of which uses all retries that it may.
 * `restarts` lists when VMs restart and lose their counts, `weights`
 * distributes the requests over the VMs.
 */
function simulate(
  restarts: readonly { at: number; vm: number }[],
  weights: readonly number[],
  perSecond: number,
): Simulation {
  const budgets = Array.from(
    { length: VMS },
    () => RetryBudget.create(LIMITS, -60_000),
  );
  const simulation: Simulation = { requests: [], retries: [] };
  const total = weights.reduce((sum, each) => sum + each, 0);
  const backlog = new Array<number>(VMS).fill(0);
  for (let now = 0; now < 30_000; now += 50) {
    for (const { at, vm } of restarts) {
      if (at >= now && at < now + 50) {
        budgets[vm] = RetryBudget.create(LIMITS, now);
      }
    }
    for (const [vm, budget] of budgets.entries()) {
      backlog[vm] += perSecond / 20 * weights[vm] / total;
      for (; backlog[vm] >= 1; backlog[vm] -= 1) {
        budget.recordRequest(now, now);
        simulation.requests.push(now);
      }
      while (withdraw(budget, now, terms(now))) simulation.retries.push(now);
    }
  }
  return simulation;
}

const EVEN_WEIGHTS = new Array<number>(VMS).fill(1);

function excess({ requests, retries }: Simulation): number {
  return retryExcess(requests, retries, LIMITS);
}

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
  // The bound must not make the budget useless: more than half of it is used.
  t.true(simulation.retries.length > 0.5 * 0.2 * simulation.requests.length);
});

test("retry budget: a request permits half of the ratio for a window after it was sent", (t) => {
  const budget = RetryBudget.create(LIMITS, 0);
  for (let i = 0; i < 20; i++) budget.recordRequest(100, 100);
  let withdrawn = 0;
  while (withdraw(budget, 100, terms(100))) withdrawn += 1;
  t.is(withdrawn, 2);
  for (let i = 0; i < 20; i++) budget.recordRequest(100, 3_000);
  t.true(withdraw(budget, 9_900, terms(9_900)));
  t.false(withdraw(budget, 10_100, terms(10_100)));
});

test("retry budget: a retry that may arrive after the window of a request does not use it", (t) => {
  const budget = RetryBudget.create(LIMITS);
  for (let i = 0; i < 20; i++) budget.recordRequest(0, 0);
  const retry = { arrivesBy: 10_000, minimumShare: 0 };
  t.false(withdraw(budget, 7_000, retry));
  t.true(withdraw(budget, 7_000, { ...retry, arrivesBy: 9_900 }));
});

test("retry budget: the minimum is not used before earlier retries of the address are forgotten", (t) => {
  const budget = RetryBudget.create(LIMITS, 0);
  t.false(withdraw(budget, 14_999, terms(14_999)));
  t.true(withdraw(budget, 15_000, terms(15_000)));
});

test("retry budget: without a ratio, only the minimum permits retries", (t) => {
  const budget = RetryBudget.create({ ...LIMITS, ratio: 0 });
  for (let i = 0; i < 1_000; i++) budget.recordRequest(0, 0);
  let withdrawn = 0;
  while (withdraw(budget, 0, terms(0))) withdrawn += 1;
  t.is(withdrawn, LIMITS.minimum / VMS);
});

test("retry budget: the minimum is available again after a window has passed", (t) => {
  const budget = RetryBudget.create(LIMITS);
  let withdrawn = 0;
  while (withdraw(budget, 0, terms(0))) withdrawn += 1;
  t.is(withdrawn, LIMITS.minimum / VMS);
  t.false(withdraw(budget, 9_999, terms(9_999)));
  t.true(withdraw(budget, 10_000, terms(10_000)));
});

// Guards against retries that a VM forgets before the window has passed.
test("retry budget: no retry of a full budget is available again within a window", (t) => {
  for (let at = 0; at < 500; at += 10) {
    const budget = RetryBudget.create(LIMITS);
    while (withdraw(budget, at, terms(at)));
    t.false(
      withdraw(budget, at + 9_990, terms(at + 9_990)),
      `used at ${at} ms`,
    );
  }
});
