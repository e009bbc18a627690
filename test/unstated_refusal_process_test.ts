/**
 * Runs real processes with a server that runs requests and answers them with a
 * status that promises that they have not run, without stating this.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { checkHistory, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** Duration of the load, in seconds. */
const LOAD_DURATION = 3;
/** Number of failures that callers must see, so that the test shows much. */
const MINIMUM_FAILURES = 10;
/** Maximum time until a process has written its log lines, in milliseconds. */
const MAXIMUM_LOG_DELAY = 3_000;

// Guards against requests that are answered 408, 429 or 503 although they run:
// callers take these statuses as the promise that nothing has run, and send the
// request again.
for (const status of [408, 429, 503]) {
  test.serial(`unstated refusals, processes: no request that a server answers ${status} after it has run is reported as not run`, async (t) => {
    const deployment = await Deployment.start({ entries: 2, servers: 2 });
    t.teardown(() => deployment.stop());
    for (const { name, address } of deployment.servers) {
      if (!name.endsWith("-1")) continue;
      await deployment.setFaults(address, { failureStatus: status });
    }
    const overrides = { seconds: LOAD_DURATION, callers: 4, pause: 5 };
    const results = await Promise.all([
      runLoad(deployment.plan("stock", { ...overrides, method: "PUT" })),
      runLoad(deployment.plan("orders", overrides)),
    ]);
    const calls = results.flatMap((each) => each.calls);
    const runs = deployment.servers.flatMap((each) => deployment.runs(each));
    for (const { name, breaches } of checkHistory({ calls, runs })) {
      t.deepEqual(breaches.slice(0, 3), [], name);
    }
    const failures = calls.filter((each) => each.status === 502);
    t.log({ calls: calls.length, failures: failures.length });
    t.true(failures.length >= MINIMUM_FAILURES, `${failures.length} failures`);
    const untraced = () => {
      const traced = new Set(
        deployment.entries.flatMap((each) => deployment.logOf(each))
          .filter((line) => line.status === status && "server" in line)
          .map((line) => line.request),
      );
      return failures.map((each) => each.requestId)
        .filter((id) => !traced.has(id));
    };
    const end = Date.now() + MAXIMUM_LOG_DELAY;
    while (untraced().length > 0 && Date.now() < end) await delay(50);
    t.deepEqual(untraced().slice(0, 3), [], "the server's status is logged");
  });
}
