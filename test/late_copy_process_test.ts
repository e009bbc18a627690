/**
 * Runs real processes whose servers send refusals a second time, when the next
 * request arrives on the same connection.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { checkHistory, isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** Duration of the load, in seconds. */
const LOAD_DURATION = 8;
/** Working time of a request at a server, in milliseconds. */
const WORK = 20;
/**
 * Servers refuse all requests for some time, shorter than the wait before the
 * next attempt, then run them for some time; in milliseconds.
 */
const REFUSING_TIME = 20;
const RUNNING_TIME = 200;
/** Number of refusals that the load must cause, so that the test shows much. */
const MINIMUM_REFUSALS = 30;

/** Makes all servers refuse requests again and again until `isEnded`. */
async function refuseInTurn(
  deployment: Deployment,
  isEnded: () => boolean,
): Promise<void> {
  for (let shed = true; !isEnded(); shed = !shed) {
    await Promise.all(
      deployment.servers.map(({ address }) =>
        deployment.setFaults(address, {
          repeatsRefusals: true,
          work: WORK,
          shed,
        })
      ),
    );
    await delay(shed ? REFUSING_TIME : RUNNING_TIME);
  }
}

// Guards against requests that are answered 503, or sent again, although they
// run: the copy has the id of the request, and was taken for the response to
// its next attempt.
test.serial("late copies, processes: a request that is answered 503 does not run", async (t) => {
  const deployment = await Deployment.start({
    entries: 2,
    servers: 2,
    settings: { retries: { ratio: 1, minimum: 500 } },
  });
  t.teardown(() => deployment.stop());
  // With one caller for each entry, its next attempt finds the connection idle.
  const overrides = { seconds: LOAD_DURATION, callers: 2, pause: 5 };
  let isEnded = false;
  const faults = refuseInTurn(deployment, () => isEnded);
  const results = await Promise.all([
    runLoad(deployment.plan("stock", { ...overrides, method: "PUT" })),
    runLoad(deployment.plan("orders", overrides)),
  ]);
  isEnded = true;
  await faults;
  const calls = results.flatMap((each) => each.calls);
  const runs = deployment.servers.flatMap((each) => deployment.runs(each));
  for (const { name, breaches } of checkHistory({ calls, runs })) {
    t.deepEqual(breaches.slice(0, 3), [], name);
  }
  const refusals = deployment.entries
    .flatMap((each) => deployment.logOf(each))
    .filter(({ message }) => message === "attempt.not_run");
  t.log({
    calls: calls.length,
    served: calls.filter(isServed).length,
    refusals: refusals.length,
    later: refusals.filter(({ responsesBefore }) => responsesBefore !== 0)
      .length,
  });
  t.true(refusals.length >= MINIMUM_REFUSALS, `${refusals.length} refusals`);
});
