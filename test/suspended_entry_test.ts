/**
 * An entry whose machine is suspended, as a process: its steady clock stands still, the
 * time of day and the time since the machine's start do not.
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** How long the machine is suspended, in milliseconds. */
const SUSPENSION = 3_000;
/** Time in which an entry learns how its machine's clocks run. */
const LEARNING_TIME = 8_000;

test("suspension: the term holder's process knows that time has gone, and others serve", async (t) => {
  const deployment = await Deployment.start({ entries: 3, servers: 3 });
  t.teardown(() => deployment.stop());
  await delay(LEARNING_TIME);
  const holder = await deployment.holder();
  const others = deployment.entries.filter((each) => each !== holder);
  const load = runLoad(deployment.plan("stock", {
    targets: others.map(({ address }) => address),
    seconds: 8,
    pause: 20,
  }));
  await delay(500);
  await deployment.suspend(holder, SUSPENSION);
  const { calls } = await load;
  const jumps = deployment.logOf(holder)
    .filter(({ message }) => message === "clock.jumped");
  t.is(jumps.length, 1);
  const gap = Number(jumps[0].gap);
  t.true(Math.abs(gap - SUSPENSION) < 300, `${gap} ms`);
  t.true(jumps[0].isCertain as boolean);
  const served = calls.filter(isServed).length / calls.length;
  t.true(served > 0.9, `${served} served`);
  const { calls: last } = await runLoad(
    deployment.plan("stock", { requests: 200, seconds: 10 }),
  );
  t.is(last.filter((call) => !isServed(call)).length, 0);
});
