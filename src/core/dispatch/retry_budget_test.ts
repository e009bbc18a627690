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

test("budget: it fills again when a window has passed", (t) => {
  const budget = RetryBudget.create(LIMITS);
  let taken = 0;
  while (budget.withdraw(0, 8)) taken += 1;
  t.is(taken, 5);
  t.false(budget.withdraw(9_000, 8));
  t.true(budget.withdraw(10_500, 8));
});
