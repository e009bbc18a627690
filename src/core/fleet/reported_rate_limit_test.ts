import test from "ava";
import { ReportedRateLimit } from "./reported_rate_limit.ts";

test("reported rate limit: the end of a low limit is reported until the limit would expire", (t) => {
  const rateLimit = ReportedRateLimit.create();
  rateLimit.applyResponse(0.1, 0, 0);
  t.is(rateLimit.applyResponse(null, 11_000, 12_000), "unlimited");
  t.deepEqual(rateLimit.takeUnsent(12_000), {
    requestsPerSecond: null,
    age: 0,
  });
  t.deepEqual(rateLimit.latestReport(39_999), {
    requestsPerSecond: null,
    age: 27_999,
  });
  t.is(rateLimit.latestReport(40_000), null);
});

test("reported rate limit: applies until the server stops reporting it", (t) => {
  const rateLimit = ReportedRateLimit.create();
  t.is(rateLimit.applyResponse(null, 0, 10), null);
  t.is(rateLimit.applyResponse(6, 0, 20), "limited");
  t.is(rateLimit.applyResponse(5, 0, 30), null);
  t.is(rateLimit.current(40), 5);
  // The request was sent before the limit was reported, so the response may
  // predate it.
  t.is(rateLimit.applyResponse(null, 25, 50), null);
  t.is(rateLimit.current(50), 5);
  t.is(rateLimit.applyResponse(null, 35, 60), "unlimited");
  t.is(rateLimit.current(60), null);
});

test("reported rate limit: expires when not reported again, later for a low limit", (t) => {
  for (
    const [limit, lifetime] of [[6, 10_000], [0.1, 40_000], [0.001, 60_000]]
  ) {
    const rateLimit = ReportedRateLimit.create();
    rateLimit.applyResponse(limit, 0, 0);
    t.is(rateLimit.current(lifetime - 1), limit);
    t.is(rateLimit.current(lifetime), null);
  }
});

test("reported rate limit: the latest report applies, whichever VM received it", (t) => {
  const rateLimit = ReportedRateLimit.create();
  t.is(
    rateLimit.applyPeerReport({ requestsPerSecond: 6, age: 100 }, 1_000),
    "limited",
  );
  t.is(rateLimit.takeUnsent(1_000), null);
  t.is(
    rateLimit.applyPeerReport({ requestsPerSecond: null, age: 300 }, 1_100),
    null,
  );
  t.is(rateLimit.applyResponse(null, 950, 1_200), "unlimited");
  t.deepEqual(rateLimit.takeUnsent(1_210), {
    requestsPerSecond: null,
    age: 10,
  });
  t.is(rateLimit.takeUnsent(1_220), null);
  t.is(
    rateLimit.applyPeerReport({ requestsPerSecond: 6, age: 400 }, 1_300),
    null,
  );
  t.is(rateLimit.current(1_300), null);
});
