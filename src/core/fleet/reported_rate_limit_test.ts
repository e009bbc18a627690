import test from "ava";
import { ReportedRateLimit } from "./reported_rate_limit.ts";

test("reported rate limit: the end of a low limit is reported until the limit would expire", (t) => {
  const rate = ReportedRateLimit.create();
  rate.answered(0.1, 0, 0);
  t.is(rate.answered(null, 11_000, 12_000), "unlimited");
  t.deepEqual(rate.takeUnsent(12_000), { requestsPerSecond: null, age: 0 });
  t.deepEqual(rate.latestReport(39_999), {
    requestsPerSecond: null,
    age: 27_999,
  });
  t.is(rate.latestReport(40_000), null);
});

test("reported rate limit: applies until the server stops reporting it", (t) => {
  const rate = ReportedRateLimit.create();
  t.is(rate.answered(null, 0, 10), null);
  t.is(rate.answered(6, 0, 20), "limited");
  t.is(rate.answered(5, 0, 30), null);
  t.is(rate.current(40), 5);
  // The request was sent before the limit was reported, so the response may predate it.
  t.is(rate.answered(null, 25, 50), null);
  t.is(rate.current(50), 5);
  t.is(rate.answered(null, 35, 60), "unlimited");
  t.is(rate.current(60), null);
});

test("reported rate limit: expires when not reported again, later for a low limit", (t) => {
  for (
    const [limit, lifetime] of [[6, 10_000], [0.1, 40_000], [0.001, 60_000]]
  ) {
    const rate = ReportedRateLimit.create();
    rate.answered(limit, 0, 0);
    t.is(rate.current(lifetime - 1), limit);
    t.is(rate.current(lifetime), null);
  }
});

test("reported rate limit: the latest report applies, whichever VM received it", (t) => {
  const rate = ReportedRateLimit.create();
  t.is(
    rate.applyPeerReport({ requestsPerSecond: 6, age: 100 }, 1_000),
    "limited",
  );
  t.is(rate.takeUnsent(1_000), null);
  t.is(
    rate.applyPeerReport({ requestsPerSecond: null, age: 300 }, 1_100),
    null,
  );
  t.is(rate.answered(null, 950, 1_200), "unlimited");
  t.deepEqual(rate.takeUnsent(1_210), { requestsPerSecond: null, age: 10 });
  t.is(rate.takeUnsent(1_220), null);
  t.is(rate.applyPeerReport({ requestsPerSecond: 6, age: 400 }, 1_300), null);
  t.is(rate.current(1_300), null);
});
