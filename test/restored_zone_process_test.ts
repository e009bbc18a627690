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
const SERVERS = 4;
/** Duration of the second evacuation, in milliseconds. */
const EVACUATION = 9_000;

/** Faults of entries during the second evacuation, and the number of entries. */
interface Situation {
  name: string;
  entries: number;
  during: (deployment: Deployment) => Promise<void>;
  /** Whether the rate of cold servers is used, since a term holder runs. */
  isUsed: boolean;
}

const SITUATIONS: Situation[] = [
  {
    name: "24 entries",
    entries: 24,
    during: async () => {},
    isUsed: true,
  },
  {
    name: "11 entries, some are killed and suspended",
    entries: 11,
    during: async (deployment) => {
      const { entries } = deployment;
      for (const each of entries.slice(0, 4)) each.process.kill("SIGKILL");
      await delay(500);
      for (const each of entries.slice(0, 4)) deployment.restart(each);
      await Promise.all(
        entries.slice(5, 9).map((each) => deployment.suspend(each, 7_000)),
      );
    },
    isUsed: true,
  },
  {
    name: "4 entries, the term holder is killed before the restoration",
    entries: 4,
    during: async (deployment) => {
      await delay(EVACUATION - 300);
      const holder = await deployment.holder();
      holder.process.kill("SIGKILL");
    },
    isUsed: false,
  },
];

/** Most arrivals in a second, and the share of the rate that they use. */
function useOf(times: readonly number[], restoredAt: number) {
  const cold = times.filter((at) =>
    at >= restoredAt && at < restoredAt + WARM_UP
  );
  const most = Math.max(
    0,
    ...cold.map((from) =>
      cold.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
  const used = cold.filter((at) => at >= restoredAt + PROPAGATION_TIME).length;
  const seconds = (WARM_UP - PROPAGATION_TIME) / 1_000;
  return { most, use: used / seconds / RATE };
}

// Guards against VMs that, after a pause, all use at once the turns to send to
// a cold server that they had not used before it.
for (const { name, entries, during, isUsed } of SITUATIONS) {
  test(`a restored zone, processes: ${name}: its cold servers are used to their rate and not overloaded`, async (t) => {
    const deployment = await Deployment.start({
      entries,
      servers: SERVERS,
      warmUp: { duration: WARM_UP, requestsPerSecond: RATE },
    });
    t.teardown(() => deployment.stop());
    const servers = deployment.servers.filter(({ name }) =>
      name.startsWith("orders-")
    );
    const load = (seconds: number) =>
      runLoad(deployment.plan("orders", {
        callers: 4 * entries,
        pause: 40,
        timeout: 1_000,
        seconds,
      }));
    await deployment.evacuate(true);
    await delay(4_000);
    await deployment.evacuate(false);
    await load(2.4);
    await deployment.evacuate(true);
    const evacuatedAt = Date.now();
    await during(deployment);
    await delay(evacuatedAt + EVACUATION - Date.now());
    const restoredAt = Date.now();
    const running = load((PROPAGATION_TIME + WARM_UP) / 1_000);
    await deployment.evacuate(false);
    await running;
    const uses = servers.map((server) => {
      const times = deployment.arrivals(server).map(({ at }) => at);
      return { server: server.name, ...useOf(times, restoredAt) };
    });
    t.log(uses);
    for (const { server, most } of uses) {
      t.true(most <= MAXIMUM_PER_SECOND, `${server}: ${most} in a second`);
    }
    const mean = uses.reduce((sum, { use }) => sum + use, 0) / uses.length;
    if (isUsed) t.true(mean >= MINIMUM_USE, `${mean} of the rate`);
  });
}
