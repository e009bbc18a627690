/**
 * Runs real processes in which backend servers state with their responses that
 * they are leaving, or that they accept no requests for a while.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import type { Call } from "../src/load/index.ts";
import { findIgnoredStatements, runLoad } from "../src/load/index.ts";
import { type DeployedProcess, Deployment } from "./support/deployment.ts";

/** Drain time of the entries, in milliseconds. */
const DRAIN_TIME = 2_000;
/** Duration of the load, in milliseconds. */
const LOAD_DURATION = 12_000;
/** Start of the statement, in milliseconds after the start of the load. */
const STATED_FROM = 2_000;
/** End of a store outage or of a refusing server's time. */
const STATED_UNTIL = 8_000;
/** Time until requests are served again after that, in milliseconds. */
const RECOVERY_TIME = 2_000;

/** Starts four entries and four servers of each service. */
async function start(t: ExecutionContext): Promise<Deployment> {
  const deployment = await Deployment.start({ entries: 4, servers: 4 });
  t.teardown(() => deployment.stop());
  return deployment;
}

/**
 * Number of keys of the load. Callers request them one after the other, so each
 * key is requested several times a second.
 */
const KEYS = 40;

/** Sends requests to both services for {@linkcode LOAD_DURATION}. */
async function loadBoth(deployment: Deployment): Promise<Call[]> {
  const overrides = { callers: 8, pause: 30, seconds: LOAD_DURATION / 1_000 };
  const results = await Promise.all([
    runLoad(deployment.plan("stock", { ...overrides, keys: KEYS })),
    runLoad(deployment.plan("orders", overrides)),
  ]);
  return results.flatMap(({ calls }) => calls);
}

/**
 * The server of each service that has run the most requests. Without keys, a
 * slower server may receive no requests, and would then state nothing.
 */
function busiestServers(deployment: Deployment): DeployedProcess[] {
  const runs = (server: DeployedProcess) => deployment.runs(server).length;
  return ["stock", "orders"].map((service) =>
    deployment.servers.filter(({ name }) => name.startsWith(`${service}-`))
      .reduce((a, b) => runs(b) > runs(a) ? b : a)
  );
}

function servedShare(calls: readonly Call[]): number {
  return calls.filter(({ status }) => status === 200).length / calls.length;
}

/**
 * Whether an entry has received the statement of a server, with a response to a
 * request or to an order.
 */
function hasStated(deployment: Deployment, { name }: DeployedProcess): boolean {
  const lines = deployment.entries.flatMap((each) => deployment.logOf(each));
  return lines.some(({ message, server }) =>
    server === name &&
    (message === "server.leaving" || message === "server.backed_off")
  );
}

/** Checks that the servers' statements arrived and were kept. */
function checkStatements(
  t: ExecutionContext,
  deployment: Deployment,
  servers: readonly DeployedProcess[],
  calls: readonly Call[],
): void {
  for (const server of servers) {
    t.true(hasStated(deployment, server), `${server.name} stated nothing`);
    const arrivals = deployment.arrivals(server);
    const ignored = findIgnoredStatements(calls, arrivals, DRAIN_TIME);
    t.deepEqual(ignored.slice(0, 5), []);
  }
}

// Guards against requests to a server that has stated that it is leaving, later
// than the drain time and while neither registry nor store can report it.
test.serial("a server that states that it is leaving gets nothing after the drain time, during an outage of the store", async (t) => {
  const deployment = await start(t);
  const load = loadBoth(deployment);
  await delay(STATED_FROM);
  const servers = busiestServers(deployment);
  await deployment.setFaults(deployment.store, { outage: true });
  for (const server of servers) {
    await deployment.setFaults(server.address, { leaving: true });
  }
  await delay(STATED_UNTIL - STATED_FROM);
  await deployment.setFaults(deployment.store, {});
  const calls = await load;
  checkStatements(t, deployment, servers, calls);
});

// Guards against requests that are lost because the keys of a leaving server
// stay with it until the registry reports that it is draining.
test.serial("a server that states that it is leaving loses its keys before the drain time, and no request is refused", async (t) => {
  const deployment = await start(t);
  const load = loadBoth(deployment);
  await delay(STATED_FROM);
  const servers = busiestServers(deployment);
  for (const server of servers) {
    await deployment.setFaults(server.address, { leaving: true });
  }
  const calls = await load;
  checkStatements(t, deployment, servers, calls);
  t.true(servedShare(calls) > 0.995, `${servedShare(calls)} served`);
  for (const { services } of await assignments(deployment)) {
    t.deepEqual(services, { stock: 3 });
  }
});

/** Number of servers with keys by service, as each entry knows it. */
async function assignments(deployment: Deployment) {
  return await Promise.all(deployment.entries.map(async (entry) => {
    const status = await deployment.status(entry);
    const services = Object.fromEntries(
      (status?.assignments ?? []).map((each) => [each.service, each.servers]),
    );
    return { entry: entry.name, services };
  }));
}

// Guards against requests to a server that has refused one with Retry-After.
test.serial("a server that refuses requests with Retry-After gets no more until then, and requests again within a second", async (t) => {
  const deployment = await start(t);
  const startedAt = Date.now();
  const load = loadBoth(deployment);
  await delay(STATED_FROM);
  const servers = busiestServers(deployment);
  for (const server of servers) {
    const faults = { shed: true, retryAfter: "2" };
    await deployment.setFaults(server.address, faults);
  }
  await delay(STATED_UNTIL - STATED_FROM);
  for (const server of servers) {
    await deployment.setFaults(server.address, {});
  }
  const calls = await load;
  checkStatements(t, deployment, servers, calls);
  const statedUntil = startedAt + STATED_UNTIL;
  const orders = calls.filter(({ service }) => service === "orders");
  t.true(servedShare(orders) > 0.99, `${servedShare(orders)} served`);
  const after = calls.filter((call) =>
    call.startedAt > statedUntil + RECOVERY_TIME
  );
  t.true(servedShare(after) > 0.99, `${servedShare(after)} served after`);
  for (const server of servers) {
    const arrivals = deployment.arrivals(server);
    const end = Math.max(
      ...arrivals.map(({ at, backoff }) => at + (backoff ?? -Infinity)),
    );
    const next = arrivals.filter(({ at }) => at >= end);
    const delay = next[0].at - end;
    t.log(server.name, { delay });
    t.true(delay < 1_000, `${server.name} used ${delay} ms after`);
  }
});
