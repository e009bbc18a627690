/**
 * Runs real processes while operators evacuate the availability zone of all
 * servers and restore it, twice. The servers are cold after each restoration.
 */
import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** Rate that operators permit for a cold server, in requests per second. */
const RATE = 2;
/** Time for which a server is cold, in milliseconds. */
const WARM_UP = 3_000;
/** Maximum requests that operators permit for a cold server in any second. */
const MAXIMUM_PER_SECOND = RATE * 1.5 + 8;
/** Time until all VMs know of an evacuation or its end, in milliseconds. */
const PROPAGATION_TIME = 1_000;
/** Minimum use of the rate of cold servers while callers need them. */
const MINIMUM_USE = 0.7;
const ENTRIES = 24;
const SERVERS = 4;

// Guards against VMs that, after a pause, all use at once the turns to send to
// a cold server that they had not used before it.
test("a restored zone, processes: its cold servers are used to their rate and not overloaded", async (t) => {
  const deployment = await Deployment.start({
    entries: ENTRIES,
    servers: SERVERS,
    warmUp: { duration: WARM_UP, requestsPerSecond: RATE },
  });
  t.teardown(() => deployment.stop());
  const servers = deployment.servers.filter(({ name }) =>
    name.startsWith("orders-")
  );
  const load = (seconds: number) =>
    runLoad(deployment.plan("orders", {
      callers: 4 * ENTRIES,
      pause: 40,
      timeout: 1_000,
      seconds,
    }));
  await deployment.evacuate(true);
  await delay(4_000);
  await deployment.evacuate(false);
  await load(2.4);
  await deployment.evacuate(true);
  await delay(9_000);
  const restoredAt = Date.now();
  const running = load((PROPAGATION_TIME + WARM_UP) / 1_000);
  await deployment.evacuate(false);
  await running;
  const coldUntil = restoredAt + WARM_UP;
  const uses = servers.map((server) => {
    const times = deployment.arrivals(server).map(({ at }) => at)
      .filter((at) => at >= restoredAt && at < coldUntil);
    const most = Math.max(
      0,
      ...times.map((from) =>
        times.filter((at) => at >= from && at < from + 1_000).length
      ),
    );
    const from = restoredAt + PROPAGATION_TIME;
    const used = times.filter((at) => at >= from).length;
    const use = used * 1_000 / (coldUntil - from) / RATE;
    return { server: server.name, most, use };
  });
  t.log(uses);
  for (const { server, most } of uses) {
    t.true(most <= MAXIMUM_PER_SECOND, `${server}: ${most} in a second`);
  }
  const mean = uses.reduce((sum, { use }) => sum + use, 0) / uses.length;
  t.true(mean >= MINIMUM_USE, `${mean} of the rate`);
});
