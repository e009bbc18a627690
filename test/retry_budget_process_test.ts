/**
 * Runs real processes while servers refuse all requests, and counts what
 * arrives at them.
 */
import test from "ava";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import { type Call, runLoad } from "../src/load/index.ts";
import { retryLimitsSchema } from "../src/core/dispatch/index.ts";
import { type DeployedProcess, Deployment } from "./support/deployment.ts";
import { retryExcess } from "./support/retry_excess.ts";

const ENTRIES = 4;
const SERVERS = 4;
/** Duration of the load, in seconds. */
const LOAD_SECONDS = 24;
/** When all servers refuse requests, in milliseconds after the start. */
const REFUSED_FROM = 10_400;
const REFUSED_UNTIL = 22_500;
/** When entries are killed or paused, in milliseconds after the start. */
const DISRUPTED_AT = 11_300;
/** Number of entries that lose their callers at the same time. */
const LOST_ENTRIES = 3;
/** Time for which they are stopped, in milliseconds. */
const LOSS_DURATION = 10_500;
/** Limits that entries use without settings of their own. */
const LIMITS = retryLimitsSchema.parse({});
/**
 * Time for which an entry may keep log lines before it writes them, in
 * milliseconds. A process that is killed loses them.
 */
const LOG_DELAY = 250;

/** Times of the arrivals of requests that had reached a server before. */
function repeatTimes(
  deployment: Deployment,
  servers: readonly DeployedProcess[],
): number[] {
  const arrivals = servers.flatMap((each) => deployment.arrivals(each))
    .sort((a, b) => a.at - b.at);
  const seen = new Set<string>();
  return arrivals.flatMap(({ requestId, at }) => {
    if (seen.has(requestId)) return [at];
    seen.add(requestId);
    return [];
  });
}

/** Removes the repeats whose log lines may be lost with a killed entry. */
function withoutLostLines(
  repeats: readonly number[],
  kills: readonly number[],
): number[] {
  return repeats.filter((at) =>
    !kills.some((killedAt) => at > killedAt - LOG_DELAY && at <= killedAt)
  );
}

/** Number of repeats that entries have logged. */
function loggedRepeats(deployment: Deployment): number {
  return deployment.entries.flatMap((each) => deployment.logOf(each))
    .filter(({ message, isPermitted }) =>
      message === "retry.withdrawn" && isPermitted === true
    ).length;
}

/** Names of the tests, by what happens to the entries. */
const NAMES = {
  none: "refuse",
  "restarts in turn": "refuse requests, and VMs are killed",
  loss: "refuse requests, and three of four VMs are killed for some time",
  pause: "refuse requests, and three of four VMs are paused",
  silence: "refuse requests, and links hold back what is sent to them",
};

type Disruption = keyof typeof NAMES;

/** Number of times that links are silent. */
const SILENCES = 3;
/**
 * Time for which they are silent, and open afterwards, in milliseconds; shorter
 * than the timeout of requests.
 */
const SILENCE_DURATION = 1_200;

/**
 * Disrupts entries; returns when entries were killed. Callers do not use those
 * in `avoided`.
 */
async function disrupt(
  deployment: Deployment,
  disruption: Disruption,
  avoided: Set<string>,
): Promise<number[]> {
  const { entries } = deployment;
  const lost = entries.slice(0, LOST_ENTRIES);
  if (disruption === "loss" || disruption === "pause") {
    for (const { address } of lost) avoided.add(address);
    // The last requests of their callers are answered first.
    await delay(200);
  }
  const kills: number[] = [];
  const kill = async ({ process }: DeployedProcess) => {
    process.kill("SIGKILL");
    await once(process, "exit");
    kills.push(Date.now());
  };
  switch (disruption) {
    case "none":
      break;
    case "restarts in turn":
      for (const each of entries) {
        await kill(each);
        await delay(100);
        deployment.restart(each);
      }
      break;
    case "loss":
      await Promise.all(lost.map(kill));
      await delay(LOSS_DURATION);
      for (const each of lost) deployment.restart(each);
      break;
    case "pause":
      for (const each of lost) each.process.kill("SIGSTOP");
      await delay(LOSS_DURATION);
      for (const each of lost) each.process.kill("SIGCONT");
      break;
    case "silence":
      await silenceLinks(deployment);
      break;
  }
  return kills;
}

/** The links of all entries to all servers are silent from time to time. */
async function silenceLinks(deployment: Deployment): Promise<void> {
  for (let i = 0; i < SILENCES; i++) {
    for (const state of ["silent", "open"] as const) {
      for (const each of deployment.entries) {
        deployment.setServerLinks(each, state);
      }
      await delay(SILENCE_DURATION);
    }
  }
}

async function loadWhileRefused(
  deployment: Deployment,
  service: "stock" | "orders",
  servers: readonly DeployedProcess[],
  disruption: Disruption,
): Promise<{ calls: Call[]; kills: number[] }> {
  const avoided = new Set<string>();
  const running = runLoad(deployment.plan(service, {
    isReady: (target) => !avoided.has(target),
    callers: 6 * ENTRIES,
    pause: 60,
    method: service === "stock" ? "PUT" : "POST",
    keys: service === "stock" ? 40 : 0,
    seconds: LOAD_SECONDS,
  }));
  const startedAt = Date.now();
  const setRefusal = (shed: boolean) =>
    Promise.all(
      servers.map(({ address }) => deployment.setFaults(address, { shed })),
    );
  await delay(REFUSED_FROM);
  await setRefusal(true);
  await delay(DISRUPTED_AT - REFUSED_FROM);
  const kills = await disrupt(deployment, disruption, avoided);
  await delay(Math.max(0, startedAt + REFUSED_UNTIL - Date.now()));
  await setRefusal(false);
  return { calls: (await running).calls, kills };
}

// Guards against retries that reach servers beyond the budget that all VMs
// share, or without being counted: by VMs that lose their callers to others, too.
for (const [disruption, name] of Object.entries(NAMES)) {
  for (const service of ["stock", "orders"] as const) {
    test(`retries, processes: servers of ${service} ${name}: they stay within the budget`, async (t) => {
      const deployment = await Deployment.start({
        entries: ENTRIES,
        servers: SERVERS,
      });
      t.teardown(() => deployment.stop());
      const servers = deployment.servers.filter((each) =>
        each.name.startsWith(`${service}-`)
      );
      const { calls, kills } = await loadWhileRefused(
        deployment,
        service,
        servers,
        disruption as Disruption,
      );
      const repeats = repeatTimes(deployment, servers);
      const requests = calls.map(({ startedAt }) => startedAt);
      const excess = retryExcess(requests, repeats, LIMITS);
      const logged = loggedRepeats(deployment);
      t.log({ requests: requests.length, repeats: repeats.length, excess });
      t.true(repeats.length > 0);
      t.true(excess <= 0, `${excess} beyond the budget`);
      const expected = withoutLostLines(repeats, kills).length;
      t.true(logged >= expected, `${logged} of ${expected} logged`);
    });
  }
}
