/**
 * Runs real processes of which one is stopped while callers go on using their
 * connections to it.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { checkHistory, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** Working time of a request at a server, in milliseconds. */
const WORK = 1_500;
/** Time of the load before the stop, in milliseconds. */
const CALM = 4_000;
/** Duration of the load, in seconds: it outlasts the shutdown. */
const LOAD_DURATION = 8;
/** Number of requests that the stopping process must refuse. */
const MINIMUM_REFUSALS = 3;

// Guards against requests that a stopping process passes on although they
// usually take longer than it runs: they were cut off while they ran.
test.serial("late requests, processes: a stopping entry passes on only what it can answer", async (t) => {
  const deployment = await Deployment.start({ entries: 1, servers: 2 });
  t.teardown(() => deployment.stop());
  const [entry] = deployment.entries;
  for (const { name, address } of deployment.servers) {
    if (!name.startsWith("orders")) continue;
    await deployment.setFaults(address, { work: WORK });
  }
  const loads = [0, 1, 2, 3, 4].map(async (index) => {
    // Their requests come at different times.
    await delay(index * WORK / 5);
    const overrides = { seconds: LOAD_DURATION, callers: 1, pause: 20 };
    return await runLoad(deployment.plan("orders", overrides));
  });
  await delay(CALM);
  const stoppedAt = Date.now();
  entry.process.kill("SIGTERM");
  const calls = (await Promise.all(loads)).flatMap((each) => each.calls);
  const runs = deployment.servers.flatMap((each) => deployment.runs(each));
  for (const { name, breaches } of checkHistory({ calls, runs })) {
    t.deepEqual(breaches.slice(0, 3), [], name);
  }
  const ran = new Set(runs.map((each) => each.requestId));
  const late = calls.filter((each) => each.startedAt > stoppedAt);
  const statuses = (each: typeof calls) =>
    each.map(({ status, startedAt }) =>
      `${status} at ${startedAt - stoppedAt}`
    );
  const cut = late.filter((each) =>
    each.status !== 200 && ran.has(each.requestId)
  );
  const refused = late.filter((each) => each.status === 503);
  t.log({
    before: calls.length - late.length,
    served: statuses(late.filter((each) => each.status === 200)),
    refused: refused.length,
  });
  t.deepEqual(statuses(cut), []);
  t.true(refused.length >= MINIMUM_REFUSALS, `${refused.length} refused`);
});
