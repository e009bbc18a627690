import test from "ava";
import fc from "fast-check";
import { RetryBudget } from "./retry_budget.ts";

const LIMITS = { ratio: 0.2, windowSeconds: 10, minimum: 56 };

test("budget: all VMs together stay within every window", (t) => {
  const arrivals = fc.array(fc.integer({ min: 0, max: 60 }), {
    minLength: 50,
    maxLength: 600,
  });
  fc.assert(
    fc.property(arrivals, fc.integer({ min: 1, max: 12 }), (gaps, vms) => {
      const budgets = Array.from(
        { length: vms },
        () => RetryBudget.create(LIMITS),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      let now = 0;
      for (const [index, gap] of gaps.entries()) {
        now += gap;
        const budget = budgets[index % vms];
        budget.request(now);
        requests.push(now);
        for (let i = 0; i < 3; i++) {
          if (budget.withdraw(now, vms)) retries.push(now);
        }
      }
      const within = (times: number[], end: number) =>
        times.filter((time) => time > end - 10_000 && time <= end).length;
      for (const end of retries) {
        const most = 0.2 * within(requests, end) + 56;
        if (within(retries, end) > most) {
          throw new Error(`${within(retries, end)} retries, ${most} allowed`);
        }
      }
    }),
    { numRuns: 60, seed: 3 },
  );
  t.pass();
});

/** Retries that were taken, and requests, by time. */
interface Day {
  requests: number[];
  retries: number[];
}

/** The most retries over what the windows that end with one allow; below 0 when
 * all VMs together keep to the budget. */
function excess({ requests, retries }: Day): number {
  const within = (times: number[], end: number) =>
    times.filter((time) => time > end - 10_000 && time <= end).length;
  return Math.max(
    -Infinity,
    ...retries.map((end) =>
      within(retries, end) - LIMITS.ratio * within(requests, end) -
      LIMITS.minimum
    ),
  );
}

/**
 * Plays 30 s of eight VMs that take every retry they may; `restarts` says when
 * which VM starts anew, with nothing counted. Requests are spread as `weights`
 * say.
 */
function play(
  restarts: readonly { at: number; vm: number }[],
  weights: readonly number[],
  perSecond: number,
  assumedVms = 8,
): Day {
  const vms = 8;
  const budgets = Array.from(
    { length: vms },
    () => RetryBudget.create(LIMITS, -60_000),
  );
  const day: Day = { requests: [], retries: [] };
  const total = weights.reduce((sum, each) => sum + each, 0);
  const owed = new Array<number>(vms).fill(0);
  for (let now = 0; now < 30_000; now += 50) {
    for (const { at, vm } of restarts) {
      if (at >= now && at < now + 50) {
        budgets[vm] = RetryBudget.create(LIMITS, now);
      }
    }
    for (const [vm, budget] of budgets.entries()) {
      owed[vm] += perSecond / 20 * weights[vm] / total;
      for (; owed[vm] >= 1; owed[vm] -= 1) {
        budget.request(now);
        day.requests.push(now);
      }
      while (budget.withdraw(now, assumedVms)) day.retries.push(now);
    }
  }
  return day;
}

const EVEN = new Array<number>(8).fill(1);

/**
 * A VM that restarts has counted nothing, so its part of the minimum was there
 * anew: all VMs restarted in a window had it twice.
 */
test("budget: all VMs restart at once, one after the other, or again and again", (t) => {
  const all = (at: number) => EVEN.map((_, vm) => ({ at, vm }));
  const plans = {
    once: all(15_000),
    inTurn: EVEN.map((_, vm) => ({ at: 12_000 + 500 * vm, vm })),
    twice: [...all(15_000), ...all(18_000)],
    often: [12, 13, 14, 15, 16, 17, 18, 19, 20].flatMap((s) => all(s * 1_000)),
  };
  for (const [name, plan] of Object.entries(plans)) {
    for (const perSecond of [1, 10, 100]) {
      const most = excess(play(plan, EVEN, perSecond));
      t.true(most <= 0, `${name}, ${perSecond}/s: ${most} too many`);
    }
  }
});

test("budget: load that is spread unevenly gives no more", (t) => {
  const day = play([], [40, 1, 1, 1, 1, 1, 1, 0], 100);
  t.true(excess(day) <= 0);
  // Nor so much less that the budget were of no use: half and more is taken.
  t.true(day.retries.length > 0.5 * 0.2 * day.requests.length);
});

test("budget: a count of VMs that is a quarter too low or far too high gives no more", (t) => {
  for (const assumed of [6, 8, 64]) {
    for (const perSecond of [1, 10, 100]) {
      const most = excess(play([], EVEN, perSecond, assumed));
      t.true(most <= 0, `${assumed} VMs, ${perSecond}/s: ${most} too many`);
    }
  }
});

test("budget: a VM that has just started has some of its part at once", (t) => {
  const budget = RetryBudget.create(LIMITS, 0);
  for (let i = 0; i < 20; i++) budget.request(100);
  let taken = 0;
  while (budget.withdraw(100, 8)) taken += 1;
  t.is(taken, 3);
});

test("budget: it fills again when a window has passed", (t) => {
  const budget = RetryBudget.create(LIMITS);
  let taken = 0;
  while (budget.withdraw(0, 8)) taken += 1;
  t.is(taken, 5);
  t.false(budget.withdraw(9_000, 8));
  t.true(budget.withdraw(10_500, 8));
});
