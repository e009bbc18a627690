import test from "ava";
import fc from "fast-check";
import { TokenBuckets } from "./token_bucket.ts";

/**
 * Maximum number of tokens in a burst at the rates tested here, without the
 * reserved token.
 */
const MAXIMUM_BURST = 4;

test("token bucket: a full bucket grants a burst, then one token per interval", (t) => {
  const buckets = TokenBuckets.create();
  const take = (now: number) => buckets.take("s", 5, true, now);
  t.deepEqual([0, 0, 0, 0].map(take), [
    { isGranted: true, left: 0 },
    { isGranted: true, left: 0 },
    { isGranted: true, left: 0 },
    { isGranted: false, left: 100 },
  ]);
  t.deepEqual([99, 100, 299, 300].map((now) => take(now).isGranted), [
    false,
    true,
    false,
    true,
  ]);
});

test("token bucket: one token is reserved for the most urgent requests", (t) => {
  const buckets = TokenBuckets.create();
  const take = (isUrgent: boolean) => buckets.take("s", 2, isUrgent, 0);
  t.deepEqual(
    [false, false, false, true, true].map((each) => take(each).isGranted),
    [true, true, false, true, false],
  );
});

// Guards against granting twice the rate after a change of the term holder.
test("token bucket: a new term holder starts with empty buckets", (t) => {
  const buckets = TokenBuckets.create();
  buckets.take("s", 2, true, 900);
  buckets.reset(1_000);
  t.false(buckets.take("s", 2, true, 1_000).isGranted);
  t.false(buckets.take("s", 2, true, 1_499).isGranted);
  t.true(buckets.take("s", 2, true, 1_500).isGranted);
});

test("token bucket: no time window grants more than the rate plus one burst", (t) => {
  const rate = fc.double({ min: 0.5, max: 8, noNaN: true });
  const pauses = fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 300 });
  fc.assert(
    fc.property(rate, pauses, (requestsPerSecond, steps) => {
      const buckets = TokenBuckets.create();
      const granted: number[] = [];
      let now = 0;
      for (const [i, pause] of steps.entries()) {
        now += pause;
        const isUrgent = i % 3 === 0;
        const answer = buckets.take("s", requestsPerSecond, isUrgent, now);
        if (answer.isGranted) granted.push(now);
        else if (answer.left <= 0) return false;
      }
      return granted.every((from, i) =>
        granted.slice(i).every((to, j) =>
          j + 1 <= (to - from) * requestsPerSecond / 1_000 + MAXIMUM_BURST + 1
        )
      );
    }),
    { seed: 7 },
  );
  t.pass();
});
