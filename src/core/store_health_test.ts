import test from "ava";
import { MEMBERSHIP_STEP } from "./entry_event.ts";
import { StoreHealth } from "./store_health.ts";

test("store health: lost after a silence, regained with an answer", (t) => {
  const health = StoreHealth.create();
  t.true(health.isLost);
  t.true(health.answered(0, 4));
  t.false(health.advance(1_500));
  t.true(health.advance(1_501));
  t.true(health.isLost);
  // An answer that was long on its way says nothing of now.
  t.false(health.answered(1_000, 4_000));
  t.true(health.answered(4_000, 4_004));
});

test("store health: another VM's touch ends a loss, a late word of it does not", (t) => {
  const health = StoreHealth.create();
  t.false(health.vouched(0, 1_600));
  t.true(health.isLost);
  t.true(health.vouched(1_000, 1_600));
  t.false(health.isLost);
  t.is(health.silence(2_000), 1_000);
  t.true(health.advance(2_600));
});

test("store health: a paid call that failed stops the others until an answer", (t) => {
  const health = StoreHealth.create();
  health.answered(0, 4);
  t.true(health.failed("read the registry", 100));
  t.false(health.failed("read the registry", 110));
  t.true(health.isFailing(2_000));
  t.false(health.isFailing(2_110));
  health.answered(120, 124);
  t.false(health.isFailing(125));
});

test("store health: membership calls that fail stop nothing", (t) => {
  const health = StoreHealth.create();
  t.true(health.failed(MEMBERSHIP_STEP, 100));
  t.false(health.isFailing(100));
});
