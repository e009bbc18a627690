/**
 * Suspends the machine of the term holder in a deployment of real processes.
 * Its monotonic clock stops, but the time of day and the time since boot
 * advance.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** Duration of the suspension, in milliseconds. */
const SUSPENSION_DURATION = 3_000;
/**
 * Time for an entry to check whether its uptime clock is usable, in
 * milliseconds.
 */
const CLOCK_CHECK_TIME = 8_000;

test("suspension: the term holder detects the elapsed time, and other entries serve requests", async (t) => {
  const deployment = await Deployment.start({ entries: 3, servers: 3 });
  t.teardown(() => deployment.stop());
  await delay(CLOCK_CHECK_TIME);
  const holder = await deployment.holder();
  const others = deployment.entries.filter((each) => each !== holder);
  const load = runLoad(deployment.plan("stock", {
    targets: others.map(({ address }) => address),
    seconds: 8,
    pause: 20,
  }));
  await delay(500);
  await deployment.suspend(holder, SUSPENSION_DURATION);
  const { calls } = await load;
  const jumps = deployment.logOf(holder)
    .filter(({ message }) => message === "clock.jumped");
  t.is(jumps.length, 1);
  const gap = Number(jumps[0].gap);
  t.true(Math.abs(gap - SUSPENSION_DURATION) < 300, `${gap} ms`);
  t.true(jumps[0].isCertain as boolean);
  const served = calls.filter(isServed).length / calls.length;
  t.true(served > 0.9, `${served} served`);
  const { calls: last } = await runLoad(
    deployment.plan("stock", { requests: 200, seconds: 10 }),
  );
  t.is(last.filter((call) => !isServed(call)).length, 0);
});
