import test from "ava";
import { admissionGauges } from "./admission_gauges.ts";
import { AdmissionPolicy, isFull } from "./admission_policy.ts";

const REQUEST = {
  service: "s",
  rank: 1.5,
  arrivedAt: 0,
  deadline: 2_000,
  targetLatency: 500,
};

// Guards against a VM that follows the last answer of a holder that is gone.
test("admission policy: admits all requests without an answer for 1.2 s", (t) => {
  const policy = AdmissionPolicy.create();
  t.is(policy.check(REQUEST, 100, 0), null);
  policy.replace([{ service: "s", threshold: 1.4, wait: 50 }], 0);
  t.like(policy.check(REQUEST, 100, 100), { threshold: 1.4, age: 100 });
  t.is(policy.check({ ...REQUEST, rank: 1.3 }, 100, 100), null);
  t.is(policy.check({ ...REQUEST, service: "other" }, 100, 100), null);
  t.true(policy.isBusy(1_200));
  t.not(policy.check(REQUEST, 100, 1_200), null);
  t.is(policy.check(REQUEST, 100, 1_201), null);
  t.is(policy.waitEnd(REQUEST, 100, 1_201), null);
  t.false(policy.isBusy(1_201));
});

test("admission policy: an answer of an older holder, without admissions, limits nothing", (t) => {
  const policy = AdmissionPolicy.create();
  policy.replace([{ service: "s", threshold: 1.4, wait: 50 }], 0);
  policy.replace([], 100);
  t.is(policy.check(REQUEST, 100, 100), null);
});

test("admission policy: a wait leaves the time for a response within the target", (t) => {
  const policy = AdmissionPolicy.create();
  policy.replace([{ service: "s", threshold: 2, wait: 50 }], 0);
  t.is(policy.waitEnd(REQUEST, 100, 0), 350);
  t.is(policy.waitEnd({ ...REQUEST, rank: 2 }, 100, 0), null);
  const short = { ...REQUEST, deadline: 149 };
  t.like(policy.check(short, 100, 0), { threshold: null });
});

test("admission policy: a server is full when as many requests wait as it has slots", (t) => {
  t.true(isFull({ running: 4, waiting: 3, slots: 4 }));
  t.false(isFull({ running: 4, waiting: 2, slots: 4 }));
  const policy = AdmissionPolicy.create();
  policy.overloadSeen(1_000);
  t.true(policy.isBusy(1_500));
  t.false(policy.isBusy(1_501));
});

// Guards against a threshold that is shown after it has expired.
test("admission gauges: thresholds in force and requests that were not admitted", (t) => {
  const policy = AdmissionPolicy.create();
  policy.replace([
    { service: "s", threshold: 1.4, wait: 50 },
    { service: "other", wait: 50 },
  ], 0);
  policy.denied("s", 2);
  policy.denied("s", 2);
  const denials = {
    'requests_not_admitted_total{service="s",priority="2"}': 2,
  };
  t.deepEqual(admissionGauges(policy, 1_200), {
    'admission_threshold{service="s"}': 1.4,
    ...denials,
  });
  t.deepEqual(admissionGauges(policy, 1_201), denials);
});
