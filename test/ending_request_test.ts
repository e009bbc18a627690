/**
 * The same as `ownership/ending_request_test.ts` with real processes: a request that
 * ends each server that begins to run it, sent again and again through all entries,
 * beside other callers. Servers are back at their address, under another id.
 */
import test, { type ExecutionContext } from "ava";
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { PlatformHeaders } from "../platform/index.ts";
import { formatStatus } from "../src/cli/status_command.ts";
import { findStory } from "../src/logging/index.ts";
import { type Call, isServed, type Run, runLoad } from "../src/load/index.ts";
import {
  crashingPath,
  Deployment,
  HOST,
  type Member,
} from "./support/deployment.ts";

/** Runs that may come later than VMs take to learn of the third end. */
const ALLOWED_RUNS = 3;
const ALLOWED_ENDS = 3;
const LEARNING_TIME = 3_000;
/** Share of the other callers' requests that is served from then on. */
const SERVED_SHARE = 0.98;
/** Time for which the request is repeated, between two of them, and until an ended
 * server is back, in milliseconds. */
const LENGTH = 18_000;
const PAUSE = 500;
const RETURN_TIME = 2_500;

type Service = "stock" | "orders";

/** Ids of the requests that end servers. */
const ENDING_ID = /^ends-/;

/** Brings servers back that have ended, until it is stopped. */
class Supervisor {
  readonly all: Member[];
  #isStopped = false;

  private constructor(private readonly deployment: Deployment) {
    this.all = [...deployment.servers];
    for (const server of this.all) this.#watch(server);
  }

  static create(deployment: Deployment): Supervisor {
    return new Supervisor(deployment);
  }

  stop(): void {
    this.#isStopped = true;
  }

  #watch(server: Member): void {
    server.process.once("exit", () => void this.#replace(server));
  }

  async #replace({ name, address }: Member): Promise<void> {
    await delay(RETURN_TIME);
    if (this.#isStopped) return;
    const service = name.split("-")[0];
    const id = `${service}-${this.all.length + 1}`;
    const next = this.deployment.startServer(service, id, address);
    this.all.push(next);
    this.#watch(next);
  }
}

/** Sends the request again and again, through all entries in turn, so many copies in
 * the same moment. */
async function repeat(
  deployment: Deployment,
  service: Service,
  copies: number,
) {
  const codec = PlatformHeaders.create();
  const statuses: number[] = [];
  const end = Date.now() + LENGTH;
  for (let count = 0; Date.now() < end; count++) {
    const { entries } = deployment;
    const { address } = entries[count % entries.length];
    const id = `ends-${randomUUID()}`;
    const key = service === "stock" ? 9_000 : null;
    const sent = request(`http://${address}${crashingPath(service)}`, {
      method: "POST",
      headers: {
        host: HOST,
        ...codec.forCaller({ id, timeout: 2_000, key }),
      },
      body: "ends its server",
    });
    void sent.then(async ({ statusCode, body }) => {
      statuses.push(statusCode);
      await body.dump();
    }, () => statuses.push(0));
    if (count % copies === copies - 1) await delay(PAUSE);
  }
  return statuses;
}

/** Runs of the request that ends servers, sorted by start time. */
function endingRuns(
  deployment: Deployment,
  servers: readonly Member[],
): Run[] {
  return servers.flatMap((each) => deployment.runs(each))
    .filter(({ requestId }) => ENDING_ID.test(requestId))
    .sort((a, b) => a.startedAt - b.startedAt);
}

/** Start time of the run that ended the last allowed server, or Infinity if fewer
 * servers ended. Counts each server once, so that concurrent copies on one server
 * don't start the measurement too early. */
function lastAllowedEnd(runs: readonly Run[]): number {
  const endTimes = new Map<string, number>();
  for (const { server, startedAt } of runs) {
    if (!endTimes.has(server)) endTimes.set(server, startedAt);
  }
  return [...endTimes.values()][ALLOWED_ENDS - 1] ?? Infinity;
}

function servedShare(calls: readonly Call[]): number {
  return calls.filter(isServed).length / calls.length;
}

/** Whether every entry tells operators what it holds back, and why it refused. */
async function checkTold(
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
    const story = findStory(
      String(refused?.request),
      lines.map((line) => JSON.stringify(line)),
    );
    t.regex(story.cause, /^429 after \d+ ms, not run: /);
  }
}

const CASES: [string, Service, number][] = [
  ["of stock", "stock", 1],
  ["of orders", "orders", 1],
  ["of stock, six copies at once", "stock", 6],
  ["of orders, six copies at once", "orders", 6],
];

for (const [name, service, copies] of CASES) {
  test.serial(`a request that ends its servers, ${name}: it is held back, others are served`, async (t) => {
    const deployment = await Deployment.start({ entries: 4, servers: 6 });
    t.teardown(() => deployment.stop());
    const supervisor = Supervisor.create(deployment);
    t.teardown(() => supervisor.stop());
    const calm = runLoad(deployment.plan(service, {
      callers: 8,
      pause: 60,
      seconds: LENGTH / 1_000,
    }));
    const statuses = await repeat(deployment, service, copies);
    const { calls } = await calm;
    const runs = endingRuns(deployment, supervisor.all);
    const from = lastAllowedEnd(runs) + LEARNING_TIME;
    const late = runs.filter(({ startedAt }) => startedAt > from).length;
    const endedServers = new Set(runs.map(({ server }) => server)).size;
    t.log({ runs: runs.length, endedServers, late, sent: statuses.length });
    t.true(late <= ALLOWED_RUNS, `${late} of ${runs.length} runs were late`);
    const served = servedShare(calls.filter((each) => each.startedAt > from));
    t.true(served >= SERVED_SHARE, `${served} of the others were served`);
    await checkTold(t, deployment, service);
  });
}
