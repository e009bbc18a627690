/**
 * Runs real processes while the store returns from an older copy, and asks the
 * servers which keys they hold.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import {
  type Call,
  checkHistory,
  isServed,
  runLoad,
} from "../src/load/index.ts";
import { type DeployedProcess, Deployment } from "./support/deployment.ts";
import { LeaseWatch } from "./support/lease_watch.ts";

/** When the store becomes unavailable after the start of the load. */
const LOST_AT = 4_500;
/** Duration of the load after the return of the store, in milliseconds. */
const REMAINING_LOAD = 7_500;
/** Interval between two questions to a server, in milliseconds. */
const QUESTION_INTERVAL = 25;
/**
 * Time after the return of the store from which keyed calls are served as
 * before, in milliseconds.
 */
const RECOVERY_TIME = 1_000;
/** Minimum share of the calls that must be served. */
const MINIMUM_SHARE = 0.95;

/**
 * The same if servers were killed shortly before: their keys, a quarter of all
 * for each, have to wait until the leases have ended.
 */
const LOST_SERVERS_SHARE = 0.7;

/** Records configurations that go back at an entry, one line each. */
async function watchConfigurations(
  deployment: Deployment,
  isDone: () => boolean,
): Promise<string[]> {
  const regressions: string[] = [];
  const versions = new Map<string, number>();
  while (!isDone()) {
    for (const entry of deployment.entries) {
      const name = `${entry.name}/${entry.process.pid}`;
      const version = (await deployment.status(entry))?.configuration.version;
      if (version === undefined) continue;
      const before = versions.get(name) ?? -1;
      if (version < before) regressions.push(`${name}: ${before}, ${version}`);
      versions.set(name, version);
    }
    await delay(QUESTION_INTERVAL);
  }
  return regressions;
}

interface Situation {
  name: string;
  age: number;
  away: number;
  /** Begins `LOST_AT` before the store becomes unavailable. */
  before?: (deployment: Deployment) => Promise<void>;
  /** Begins when the store becomes unavailable. */
  after?: (deployment: Deployment) => Promise<void>;
  /** Minimum share of keyed calls served from 1 s after the return on. */
  share?: number;
}

async function holderSignal(
  deployment: Deployment,
  signal: NodeJS.Signals,
): Promise<void> {
  const holder = await deployment.holder();
  holder.process.kill(signal);
  await delay(400);
  deployment.restart(holder);
}

const stockServer = ({ servers }: Deployment, index: number): DeployedProcess =>
  servers.filter(({ name }) => name.startsWith("stock"))[index];

const SITUATIONS: Situation[] = [
  {
    name: "a quiet system, away 0.3 s",
    age: 3_000,
    away: 300,
    before: (deployment) => deployment.publish(2),
  },
  {
    name: "after moves of keys, away 0.3 s",
    age: 3_000,
    away: 300,
    before: async (deployment) => {
      await delay(LOST_AT - 2_000);
      await deployment.setFaults(stockServer(deployment, 0).address, {
        draining: true,
      });
      deployment.servers.push(deployment.startServer("stock", "stock-new"));
    },
  },
  {
    name: "after moves of keys, away 2.7 s",
    age: 3_000,
    away: 2_700,
    before: async (deployment) => {
      await delay(LOST_AT - 2_000);
      await deployment.setFaults(stockServer(deployment, 0).address, {
        draining: true,
      });
      deployment.servers.push(deployment.startServer("stock", "stock-new"));
    },
  },
  {
    name: "after a server was killed and another one drains",
    age: 3_000,
    away: 1_500,
    share: LOST_SERVERS_SHARE,
    before: async (deployment) => {
      await delay(LOST_AT - 2_500);
      stockServer(deployment, 1).process.kill("SIGKILL");
      await deployment.setFaults(stockServer(deployment, 0).address, {
        draining: true,
      });
    },
  },
  {
    name: "after the term holder and a server were killed, away 1.5 s",
    age: 4_000,
    away: 1_500,
    share: LOST_SERVERS_SHARE,
    before: async (deployment) => {
      await delay(LOST_AT - 2_500);
      await holderSignal(deployment, "SIGKILL");
      stockServer(deployment, 0).process.kill("SIGKILL");
    },
  },
  {
    name: "after the term holder was killed",
    age: 3_000,
    away: 300,
    before: async (deployment) => {
      await delay(LOST_AT - 2_500);
      await holderSignal(deployment, "SIGKILL");
    },
  },
  {
    name: "while the term holder shuts down",
    age: 3_000,
    away: 300,
    before: async (deployment) => {
      await delay(LOST_AT - 600);
      (await deployment.holder()).process.kill("SIGTERM");
    },
  },
  {
    name: "twice in a lease",
    age: 3_000,
    away: 300,
    after: async (deployment) => {
      await delay(1_500);
      await deployment.restoreStore(2_000, 300);
    },
  },
  {
    name: "while the term holder is suspended",
    age: 5_000,
    away: 300,
    after: async (deployment) => {
      await deployment.suspend(await deployment.holder(), 1_000);
    },
  },
];

for (const { name, age, away, before, after, share } of SITUATIONS) {
  // Guards against keys that two servers hold, and against keys that get a
  // lower token than before, after the store has lost records.
  test.serial(`restored store, processes: ${name}`, async (t) => {
    const deployment = await Deployment.start({ entries: 4, servers: 4 });
    t.teardown(() => deployment.stop());
    const startedAt = Date.now();
    const backAt = LOST_AT + away;
    let isDone = false;
    const watch = LeaseWatch.create(deployment);
    const watching = watch.run(() => isDone);
    const regressions = watchConfigurations(deployment, () => isDone);
    const load = Promise.all(
      (["stock", "orders"] as const).map((service) =>
        runLoad(deployment.plan(service, {
          callers: 6,
          pause: 30,
          seconds: (backAt + REMAINING_LOAD) / 1_000,
          method: service === "stock" ? "PUT" : "POST",
          isReady: (target) =>
            deployment.entries.some(({ address, process: child }) =>
              address === target && !child.killed
            ),
        }))
      ),
    );
    const preparation = before?.(deployment);
    await delay(LOST_AT);
    await deployment.restoreStore(age, away);
    await after?.(deployment);
    const calls = (await load).flatMap((each) => each.calls);
    await preparation;
    isDone = true;
    await watching;
    t.deepEqual(watch.faults.slice(0, 2), []);
    t.deepEqual((await regressions).slice(0, 2), []);
    checkGuarantees(t, deployment, calls);
    const served = servedShare(calls, startedAt + backAt + RECOVERY_TIME);
    const early = servedShare(calls, startedAt + LOST_AT);
    t.log({ served, early, folder: deployment.folder });
    t.true(served >= (share ?? MINIMUM_SHARE), `served: ${served}`);
  });
}

/** Share of the keyed calls from `from` on that were served. */
function servedShare(calls: readonly Call[], from: number): number {
  const included = calls.filter(({ startedAt, key }) =>
    startedAt >= from && key !== null
  );
  return included.filter(isServed).length / included.length;
}

function checkGuarantees(
  t: ExecutionContext,
  deployment: Deployment,
  calls: readonly Call[],
): void {
  const runs = deployment.servers.flatMap((each) => deployment.runs(each));
  for (const { name, breaches } of checkHistory({ calls: [...calls], runs })) {
    t.deepEqual(breaches.slice(0, 2), [], name);
  }
}
