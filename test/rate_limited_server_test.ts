/**
 * Runs real processes in which one backend server reports a rate limit for all
 * entries combined.
 *
 * @module
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import type { Call, Run } from "../src/load/index.ts";
import { runLoad } from "../src/load/index.ts";
import { type DeployedProcess, Deployment } from "./support/deployment.ts";

/** Requests per second that the server permits. */
const RATE_LIMIT = 2;
/** Window in which requests are counted, in milliseconds. */
const WINDOW = 4_000;
/**
 * Maximum number of requests per window that the specification of the limit
 * permits.
 */
const MAXIMUM_IN_WINDOW = 1.5 * RATE_LIMIT * WINDOW / 1_000 + 5;
/** Start and end of the limit, in milliseconds after the start of the load. */
const LIMITED_FROM = 3_000;
const LIMITED_UNTIL = 13_000;
/** Duration of the load, in milliseconds. */
const LOAD_DURATION = 20_000;
/**
 * Time for entries to apply a new limit and to detect its end, in milliseconds.
 */
const PROPAGATION_TIME = 3_000;
/**
 * Time for keys to move to other servers once entries apply the limit, in
 * milliseconds.
 */
const MOVE_TIME = 2_000;

/** Returns the maximum number of runs in any window. */
function maximumInWindow(runs: readonly Run[]): number {
  const counts = runs.map(({ startedAt: from }) =>
    runs.filter(({ startedAt }) =>
      startedAt >= from && startedAt < from + WINDOW
    ).length
  );
  return Math.max(0, ...counts);
}

/**
 * Returns the server of `service` that has run the most requests. Without keys,
 * a slower server may receive no requests, and would then never report its
 * limit.
 */
function busiestServer(
  deployment: Deployment,
  service: string,
): DeployedProcess {
  const servers = deployment.servers.filter(({ name }) =>
    name.startsWith(`${service}-`)
  );
  const runs = (server: DeployedProcess) => deployment.runs(server).length;
  return servers.reduce((a, b) => runs(b) > runs(a) ? b : a);
}

function servedShare(calls: readonly Call[]): number {
  return calls.filter(({ status }) => status === 200).length / calls.length;
}

for (const service of ["stock", "orders"] as const) {
  test.serial(`all entries together respect the rate limit of a ${service} server, and serve requests again after it`, async (t) => {
    const deployment = await Deployment.start({ entries: 4, servers: 4 });
    t.teardown(() => deployment.stop());
    const startedAt = Date.now();
    const load = runLoad(deployment.plan(service, {
      callers: 8,
      pause: 60,
      seconds: LOAD_DURATION / 1_000,
    }));
    await delay(LIMITED_FROM);
    const limited = busiestServer(deployment, service);
    await deployment.setFaults(limited.address, {
      rateLimit: String(RATE_LIMIT),
    });
    await delay(LIMITED_UNTIL - LIMITED_FROM);
    await deployment.setFaults(limited.address, { rateLimit: null });
    const { calls } = await load;
    const limitedFrom = startedAt + LIMITED_FROM + PROPAGATION_TIME;
    const limitedUntil = startedAt + LIMITED_UNTIL;
    const runs = deployment.runs(limited).filter((each) =>
      each.startedAt >= limitedFrom && each.startedAt < limitedUntil
    );
    t.log({ runs: runs.length, most: maximumInWindow(runs) });
    t.true(
      maximumInWindow(runs) <= MAXIMUM_IN_WINDOW,
      `${maximumInWindow(runs)} requests`,
    );
    t.true(runs.length > 0);
    const after = calls.filter((each) =>
      each.startedAt >= limitedUntil + PROPAGATION_TIME
    );
    t.true(servedShare(after) > 0.98, `${servedShare(after)} served after`);
    // Requests without keys go to the other servers at once; keys take time to
    // move.
    const from = limitedFrom + (service === "stock" ? MOVE_TIME : 0);
    const during = calls.filter((each) =>
      each.startedAt >= from && each.startedAt < limitedUntil
    );
    const minimumShare = service === "stock" ? 0.95 : 0.98;
    t.true(servedShare(during) > minimumShare, `${servedShare(during)} served`);
  });
}
