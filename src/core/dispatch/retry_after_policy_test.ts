import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { DemandMeter } from "../admission/index.ts";
import { routeSchema } from "../catalog/index.ts";
import { NO_FEATURES } from "../features.ts";
import { Fleet } from "../fleet/index.ts";
import { KeyDirectory } from "../keyspace/index.ts";
import { ServerPaths, ServerReach } from "../reach/index.ts";
import { ReturnPolicy } from "../returns/index.ts";
import { createPendingRequest } from "./request.ts";
import { RetryAfterPolicy } from "./retry_after_policy.ts";

/** Creates a policy and a route with `timeout`, which may be 0. */
function createPolicy(timeout: number) {
  const fleet = Fleet.create();
  const draw = () => 0;
  const returns = ReturnPolicy.create();
  const policy = RetryAfterPolicy.create({
    fleet,
    directory: KeyDirectory.create(),
    paths: ServerPaths.create(ServerReach.create(fleet, draw)),
    demand: DemandMeter.create(),
    returns,
    features: { ...NO_FEATURES, schedulesReturns: true },
    draw,
  });
  const route = routeSchema.parse({
    name: "r",
    host: "h",
    pathPrefix: "/",
    isIdempotent: true,
    destinations: [{ service: "s", weight: 1 }],
    timeout,
    targetLatency: 1_000,
    maximumAttempts: 1,
    priority: 0,
  });
  const requestWith = (stated: number, now: number) => {
    const arrival = {
      exchange: 1,
      id: "r",
      host: "h",
      target: "/",
      timeout: stated,
      key: null,
      fingerprint: fingerprintOf("r"),
    };
    return createPendingRequest(arrival, route, "s", null, 0, now);
  };
  /** Whether a request that arrives with a timeout seems to be a return. */
  const isReturn = (stated: number, now: number) => {
    policy.recordTimeout(route, stated, now);
    return policy.isReturn(requestWith(stated, now));
  };
  return { policy, returns, requestWith, isReturn };
}

// Guards against one caller with a long timeout that makes the first attempts
// of all others count as returns, which are admitted before new requests.
test("retry after: a longer timeout than that of the route makes no return of others", (t) => {
  const { isReturn } = createPolicy(8_000);
  t.false(isReturn(60_000, 0));
  t.false(isReturn(8_000, 10));
  t.true(isReturn(5_500, 20));
  t.true(isReturn(40_000, 30), "its own return");
});

test("retry after: the longest timeout expires after a minute without a request near it", (t) => {
  const { isReturn } = createPolicy(0);
  t.false(isReturn(12_000, 0));
  t.false(isReturn(11_800, 30_000));
  t.true(isReturn(8_000, 89_999));
  t.false(isReturn(8_000, 90_000));
  t.true(isReturn(5_500, 90_010));
});

// A caller honours a third of its time, so that a return has about two thirds of
// its timeout left.
test("retry after: a request with half of the longest timeout is a first attempt", (t) => {
  const { isReturn } = createPolicy(8_000);
  isReturn(8_000, 0);
  t.true(isReturn(4_200, 10));
  t.false(isReturn(4_000, 20));
});

// Guards against a caller that returns at once, in vain.
test("retry after: a caller whose time has passed gets at least the minimum delay", (t) => {
  const { policy, returns, requestWith } = createPolicy(1_000);
  const late = [{ priority: 0, from: 9_000, until: 9_000 }];
  returns.receive([{ service: "s", returns: late }], 900);
  const request = requestWith(1_000, 0);
  request.lacksCapacity = true;
  t.deepEqual(policy.choose(request, 990), { delay: 20, window: "none" });
  t.deepEqual(policy.choose(request, 1_000), { delay: 20, window: "none" });
});
