import test from "ava";
import { MEMBERSHIP_STEP } from "./entry_event.ts";
import { StoreHealth } from "./store_health.ts";

test("store health: the store counts as lost after a time without answers and until the next answer", (t) => {
  const health = StoreHealth.create();
  t.true(health.isLost);
  t.true(health.answered(0, 4));
  t.false(health.advance(1_500));
  t.true(health.advance(1_501));
  t.true(health.isLost);
  // An answer that took too long does not show that the store is reachable now.
  t.false(health.answered(1_000, 4_000));
  t.true(health.answered(4_000, 4_004));
});

test("store health: the store does not count as lost if another VM has reached it recently", (t) => {
  const health = StoreHealth.create();
  t.false(health.confirmedByPeer(0, 1_600));
  t.true(health.isLost);
  t.true(health.confirmedByPeer(1_000, 1_600));
  t.false(health.isLost);
  t.is(health.silence(2_000), 1_000);
  t.true(health.advance(2_600));
});

test("store health: a failed call suppresses further ones until a call is answered", (t) => {
  const health = StoreHealth.create();
  health.answered(0, 4);
  t.true(health.failed("read the registry", 100));
  t.false(health.failed("read the registry", 110));
  t.true(health.isFailing(2_000));
  t.false(health.isFailing(2_110));
  health.answered(120, 124);
  t.false(health.isFailing(125));
});

test("store health: failed membership calls suppress no calls", (t) => {
  const health = StoreHealth.create();
  t.true(health.failed(MEMBERSHIP_STEP, 100));
  t.false(health.isFailing(100));
});
