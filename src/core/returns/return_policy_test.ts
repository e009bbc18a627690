import test from "ava";
import { ReturnPolicy } from "./return_policy.ts";

const CALLER = {
  service: "s",
  priority: 1,
  remaining: 8_000,
  routeRemaining: 8_000,
  isReturn: false,
};
const NONE = { kind: "none" };

/** Creates a policy with a window from 1 s to 2 s for priority 1 at time 0. */
function createPolicy(): ReturnPolicy {
  const policy = ReturnPolicy.create();
  const returns = [{ priority: 1, from: 1_000, until: 2_000 }];
  policy.receive([{ service: "s", returns }], 0);
  return policy;
}

test("return policy: a caller returns in the rest of the window that it can honour", (t) => {
  const policy = createPolicy();
  const at = (chance: number, now: number) =>
    policy.choose(CALLER, () => chance, now);
  t.like(at(0, 0), { kind: "return", delay: 1_000 });
  t.like(at(0.5, 400), { kind: "return", delay: 1_100, from: 600 });
  // A third of the caller's time is 0.5 s, and 0.25 s of the window is left.
  const short = { ...CALLER, remaining: 1_500, routeRemaining: 1_500 };
  t.like(policy.choose(short, () => 0, 700), { kind: "return", delay: 300 });
  t.deepEqual(policy.choose(short, () => 0.5, 700), NONE);
  t.deepEqual(policy.counts.get("s"), {
    promised: 3,
    returned: 0,
    refusedAgain: 0,
  });
});

// Guards against telling a caller that there is no capacity in its time just
// because its timeout is shorter than that of its route, which is planned for.
test("return policy: a caller with a shorter timeout than the route's uses what it can honour, or has no plan", (t) => {
  const policy = createPolicy();
  // A third of 4 s is 1.28 s.
  const short = { ...CALLER, remaining: 4_000 };
  for (const chance of [0, 0.5, 0.99]) {
    const choice = policy.choose(short, () => chance, 0);
    if (choice?.kind !== "return") return t.fail(`${chance}`);
    t.true(choice.delay >= 1_000 && choice.delay <= 1_280, `${choice.delay}`);
  }
  const shorter = { ...CALLER, remaining: 2_000 };
  t.is(policy.choose(shorter, () => 0, 0), null);
  // What callers with the route's timeout cannot honour promises no return.
  const returns = [{ priority: 1, from: 1_000, until: 9_000 }];
  policy.receive([{ service: "s", returns }], 0);
  t.deepEqual(policy.choose(short, () => 0.9, 0), NONE);
  t.deepEqual(
    policy.choose({ ...CALLER, remaining: 30_000 }, () => 0.9, 0),
    NONE,
  );
});

// A second refusal is final, so a return that cannot be served is useless.
test("return policy: no free capacity is expected if the window is beyond the caller's reach", (t) => {
  const policy = createPolicy();
  const late = [{ priority: 2, from: 9_000, until: 9_000 }];
  policy.receive([{ service: "s", returns: late }], 0);
  t.deepEqual(policy.choose({ ...CALLER, priority: 2 }, () => 0, 0), NONE);
  const returned = { ...CALLER, priority: 2, isReturn: true };
  t.deepEqual(policy.choose(returned, () => 0, 0), NONE);
  t.deepEqual(policy.counts.get("s"), {
    promised: 0,
    returned: 0,
    refusedAgain: 1,
  });
});

// Guards against telling callers of a priority that the holder could not plan
// that there is no capacity in their time.
test("return policy: a priority that was not planned has no plan", (t) => {
  const policy = createPolicy();
  t.is(policy.choose({ ...CALLER, priority: 2 }, () => 0, 0), null);
});

// Guards against windows of a holder that is gone.
test("return policy: without an answer for 1.2 s, no returns are planned", (t) => {
  const policy = createPolicy();
  t.like(policy.choose(CALLER, () => 0.9, 1_199), { kind: "return" });
  t.is(policy.choose(CALLER, () => 0.9, 1_200), null);
});

test("return policy: an answer of an older holder has no planned returns", (t) => {
  const policy = createPolicy();
  policy.receive([{ service: "s" }], 100);
  t.is(policy.choose(CALLER, () => 0, 100), null);
  policy.receive([], 100);
  t.is(policy.choose(CALLER, () => 0, 100), null);
});
