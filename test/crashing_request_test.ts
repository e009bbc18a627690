/**
 * The scenario of `ownership/crashing_request_test.ts` with real processes. A
 * caller repeatedly sends a request that crashes each server that runs it,
 * through all entries and next to other callers. Crashed servers are replaced
 * at the same address under another id.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { PlatformHeaderCodec } from "../platform/index.ts";
import { formatStatus } from "../src/cli/status_command.ts";
import { traceRequest } from "../src/logging/index.ts";
import { type Call, isServed, type Run, runLoad } from "../src/load/index.ts";
import {
  crashingPath,
  type DeployedProcess,
  Deployment,
  HOST,
} from "./support/deployment.ts";

/**
 * Maximum number of runs that start after all VMs have received the crash
 * record of the last allowed crash.
 */
const MAXIMUM_LATE_RUNS = 3;
/** Number of crashes after which the request is quarantined. */
const ALLOWED_CRASHES = 3;
/** Time for VMs to receive the record of a crash, in milliseconds. */
const PROPAGATION_TIME = 3_000;
/**
 * Minimum share of the other callers' requests that are served once VMs have
 * received the record of the last allowed crash.
 */
const MINIMUM_SERVED_SHARE = 0.98;
/** Time for which the request is repeated, in milliseconds. */
const DURATION = 18_000;
/** Interval between two sends of the crashing request, in milliseconds. */
const SEND_INTERVAL = 500;
/** Time until a crashed server is replaced, in milliseconds. */
const REPLACEMENT_DELAY = 2_500;

type Service = "stock" | "orders";

/** Matches the ids of crashing requests. */
const CRASHING_ID = /^ends-/;

/** Replaces servers that have ended, until it is stopped. */
class Supervisor {
  readonly servers: DeployedProcess[];
  #isStopped = false;

  private constructor(private readonly deployment: Deployment) {
    this.servers = [...deployment.servers];
    for (const server of this.servers) this.#watch(server);
  }

  static create(deployment: Deployment): Supervisor {
    return new Supervisor(deployment);
  }

  stop(): void {
    this.#isStopped = true;
  }

  #watch(server: DeployedProcess): void {
    server.process.once("exit", () => void this.#replace(server));
  }

  async #replace({ name, address }: DeployedProcess): Promise<void> {
    await delay(REPLACEMENT_DELAY);
    if (this.#isStopped) return;
    const service = name.split("-")[0];
    const id = `${service}-${this.servers.length + 1}`;
    const next = this.deployment.startServer(service, id, address);
    this.servers.push(next);
    this.#watch(next);
  }
}

/**
 * Repeatedly sends `copies` of the crashing request at the same time, through
 * all entries in turn. Returns the status codes; 0 for a connection that
 * failed.
 */
async function sendCrashingRequests(
  deployment: Deployment,
  service: Service,
  copies: number,
) {
  const codec = PlatformHeaderCodec.create();
  const statuses: number[] = [];
  const end = Date.now() + DURATION;
  for (let count = 0; Date.now() < end; count++) {
    const { entries } = deployment;
    const { address } = entries[count % entries.length];
    const id = `ends-${randomUUID()}`;
    const key = service === "stock" ? 9_000 : null;
    const response = request(`http://${address}${crashingPath(service)}`, {
      method: "POST",
      headers: {
        host: HOST,
        ...codec.callerHeaders({ id, timeout: 2_000, key }),
      },
      body: "crashes its server",
    });
    void response.then(async ({ statusCode, body }) => {
      statuses.push(statusCode);
      await body.dump();
    }, () => statuses.push(0));
    if (count % copies === copies - 1) await delay(SEND_INTERVAL);
  }
  return statuses;
}

/** Returns the runs of the crashing request, sorted by start time. */
function crashingRuns(
  deployment: Deployment,
  servers: readonly DeployedProcess[],
): Run[] {
  return servers.flatMap((each) => deployment.runs(each))
    .filter(({ requestId }) => CRASHING_ID.test(requestId))
    .sort((a, b) => a.startedAt - b.startedAt);
}

/**
 * Returns the start time of the run that caused the last allowed crash, or
 * Infinity if fewer servers crashed. Counts each server once: several copies
 * may run on a server when it crashes, and would make the measurement start too
 * early.
 */
function lastAllowedCrash(runs: readonly Run[]): number {
  const crashTimes = new Map<string, number>();
  for (const { server, startedAt } of runs) {
    if (!crashTimes.has(server)) crashTimes.set(server, startedAt);
  }
  return [...crashTimes.values()][ALLOWED_CRASHES - 1] ?? Infinity;
}

function servedShare(calls: readonly Call[]): number {
  return calls.filter(isServed).length / calls.length;
}

/**
 * Checks that the status of every entry shows the quarantined request, and that
 * its log shows why a request was refused.
 */
async function checkOperatorOutput(
  t: ExecutionContext,
  deployment: Deployment,
  service: Service,
): Promise<void> {
  for (const entry of deployment.entries) {
    const status = await deployment.status(entry);
    t.is(status?.quarantine.length, 1);
    const text = formatStatus(status!);
    t.regex(text, new RegExp(`held back: .*${crashingPath(service)}`));
    const lines = deployment.logOf(entry);
    const refused = lines.find(({ message }) =>
      message === "request.held_back"
    );
    const trace = traceRequest(
      String(refused?.request),
      lines.map((line) => JSON.stringify(line)),
    );
    t.regex(trace.cause, /^429 after \d+ ms, not run: /);
  }
}

const CASES: [string, Service, number][] = [
  ["of stock", "stock", 1],
  ["of orders", "orders", 1],
  ["of stock, six copies at once", "stock", 6],
  ["of orders, six copies at once", "orders", 6],
];

for (const [name, service, copies] of CASES) {
  test.serial(`a request that crashes its servers, ${name}: it is quarantined, others are served`, async (t) => {
    const deployment = await Deployment.start({ entries: 4, servers: 6 });
    t.teardown(() => deployment.stop());
    const supervisor = Supervisor.create(deployment);
    t.teardown(() => supervisor.stop());
    const otherLoad = runLoad(deployment.plan(service, {
      callers: 8,
      pause: 60,
      seconds: DURATION / 1_000,
    }));
    const statuses = await sendCrashingRequests(deployment, service, copies);
    const { calls } = await otherLoad;
    const runs = crashingRuns(deployment, supervisor.servers);
    const from = lastAllowedCrash(runs) + PROPAGATION_TIME;
    const late = runs.filter(({ startedAt }) => startedAt > from).length;
    const crashedServers = new Set(runs.map(({ server }) => server)).size;
    t.log({ runs: runs.length, crashedServers, late, sent: statuses.length });
    t.true(
      late <= MAXIMUM_LATE_RUNS,
      `${late} of ${runs.length} runs were late`,
    );
    const served = servedShare(calls.filter((each) => each.startedAt > from));
    t.true(
      served >= MINIMUM_SERVED_SHARE,
      `${served} of the other requests were served`,
    );
    await checkOperatorOutput(t, deployment, service);
  });
}
