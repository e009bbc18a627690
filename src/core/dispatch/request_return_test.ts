import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { routeSchema } from "../catalog/index.ts";
import { NO_FEATURES } from "../features.ts";
import { createPendingRequest } from "./request.ts";
import {
  type RetryAfterContext,
  RetryAfterPolicy,
} from "./retry_after_policy.ts";
import { requestsPerSlotAbove } from "./server_choice.ts";

const ROUTE = routeSchema.parse({
  name: "r",
  host: "h",
  pathPrefix: "/",
  isIdempotent: true,
  destinations: [{ service: "s", weight: 1 }],
  timeout: 8_000,
  targetLatency: 4_000,
  maximumAttempts: 2,
  priority: 2,
});

// First attempts that wait for others on their connection state less time. If
// they count as returns, all requests have the same rank, and a threshold admits
// all of them or none.
test("returns: first attempts with somewhat less time are not returns", (t) => {
  const policy = RetryAfterPolicy.create({} as RetryAfterContext);
  const isReturn = (timeout: number) => {
    policy.recordTimeout(ROUTE, timeout, 0);
    const arrival = {
      exchange: 1,
      id: "a",
      host: "h",
      target: "/",
      timeout,
      key: null,
      fingerprint: fingerprintOf("/"),
    };
    const request = createPendingRequest(arrival, ROUTE, "s", null, 0, 0);
    return policy.isReturn(request);
  };
  t.deepEqual([8_000, 7_600, 6_800].map(isReturn), [false, false, false]);
  t.deepEqual([6_400, 5_000].map(isReturn), [true, true]);
});

test("server capacity: above the capacity, more requests wait at a server only if their target permits it", (t) => {
  t.is(requestsPerSlotAbove(400, 450), 2);
  t.is(requestsPerSlotAbove(400, 1_000), 2.25);
  t.is(requestsPerSlotAbove(400, 8_000), 3);
  t.is(requestsPerSlotAbove(0, 8_000), 2);
});

// Guards against early refusals of callers who cannot return and be served: on a
// deployment whose callers wait no longer than the route's timeout, fewer of them
// were served in time.
test("returns: callers have time to return if they wait long enough for two attempts", (t) => {
  const leavesTime = (ratio: number, timeout: number) => {
    const features = { ...NO_FEATURES, minimumTimeRatio: ratio };
    const policy = RetryAfterPolicy.create({ features } as RetryAfterContext);
    policy.recordTimeout(ROUTE, timeout, 0);
    return policy.leavesTimeToReturn(ROUTE);
  };
  t.deepEqual([8_000, 15_000, 16_000].map((each) => leavesTime(1.9, each)), [
    false,
    false,
    true,
  ]);
  t.true(leavesTime(0, 100));
});
