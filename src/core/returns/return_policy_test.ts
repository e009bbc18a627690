import test from "ava";
import { ReturnPolicy } from "./return_policy.ts";

const CALLER = { service: "s", priority: 1, remaining: 8_000, isReturn: false };
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
  const short = { ...CALLER, remaining: 1_500 };
  t.like(policy.choose(short, () => 0, 700), { kind: "return", delay: 300 });
  t.deepEqual(policy.choose(short, () => 0.5, 700), NONE);
  t.deepEqual(policy.counts.get("s"), {
    promised: 3,
    returned: 0,
    refusedAgain: 0,
  });
});

// A caller that returns in vain is refused for good.
test("return policy: no free capacity is expected without a window for the priority", (t) => {
  const policy = createPolicy();
  t.deepEqual(policy.choose({ ...CALLER, priority: 2 }, () => 0, 0), NONE);
  t.deepEqual(policy.choose({ ...CALLER, isReturn: true }, () => 0, 0), NONE);
  t.deepEqual(policy.counts.get("s"), {
    promised: 0,
    returned: 0,
    refusedAgain: 1,
  });
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
