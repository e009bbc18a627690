import test from "ava";
import { StatedRate } from "./stated_rate.ts";

test("stated rate: the end of a low limit is reported as long as the limit would hold", (t) => {
  const rate = StatedRate.create();
  rate.answered(0.1, 0, 0);
  t.is(rate.answered(null, 11_000, 12_000), "unlimited");
  t.deepEqual(rate.takeUnreported(12_000), { requestsPerSecond: null, age: 0 });
  t.deepEqual(rate.statement(39_999), { requestsPerSecond: null, age: 27_999 });
  t.is(rate.statement(40_000), null);
});

test("stated rate: applies until the server stops stating it", (t) => {
  const rate = StatedRate.create();
  t.is(rate.answered(null, 0, 10), null);
  t.is(rate.answered(6, 0, 20), "limited");
  t.is(rate.answered(5, 0, 30), null);
  t.is(rate.current(40), 5);
  // The request was sent before the limit was stated, so the answer may predate it.
  t.is(rate.answered(null, 25, 50), null);
  t.is(rate.current(50), 5);
  t.is(rate.answered(null, 35, 60), "unlimited");
  t.is(rate.current(60), null);
});

test("stated rate: expires when not restated, later for a low limit", (t) => {
  for (
    const [limit, lifetime] of [[6, 10_000], [0.1, 40_000], [0.001, 60_000]]
  ) {
    const rate = StatedRate.create();
    rate.answered(limit, 0, 0);
    t.is(rate.current(lifetime - 1), limit);
    t.is(rate.current(lifetime), null);
  }
});

test("stated rate: the latest statement applies, whichever VM received it", (t) => {
  const rate = StatedRate.create();
  t.is(rate.heard({ requestsPerSecond: 6, age: 100 }, 1_000), "limited");
  t.is(rate.takeUnreported(1_000), null);
  t.is(rate.heard({ requestsPerSecond: null, age: 300 }, 1_100), null);
  t.is(rate.answered(null, 950, 1_200), "unlimited");
  t.deepEqual(rate.takeUnreported(1_210), { requestsPerSecond: null, age: 10 });
  t.is(rate.takeUnreported(1_220), null);
  t.is(rate.heard({ requestsPerSecond: 6, age: 400 }, 1_300), null);
  t.is(rate.current(1_300), null);
});
