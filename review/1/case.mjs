// An upstream sends a second answer late, on the connection that it keeps. See
// claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { delay, runCase } from "../lib/deployment.mjs";
import { load, newId } from "../lib/clients.mjs";

const ENTRIES = 8;
const UPSTREAMS = 8;
/** Share of the upstreams that are faulty, and of their answers: claim.txt. */
const FAULTY = 4;
const EXTRA = 0.03;
/** Length of a disruption and the pause before the next one, in seconds. */
const LENGTH = 5;
const PAUSE = 2;
const TIMES = Number(process.env.TIMES ?? 8);
const CLIENTS = Number(process.env.CLIENTS ?? 10);
const HOST = "tannery.example";

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, isTroubled) => {
  await system.startStore();
  await system.publish({
    version: 12,
    limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_048_576, headerTimeout: 5_000, idleTimeout: 10_000 },
    services: [{ name: "apothiki", max_connections: 110, keyed: true }],
    routes: [{
      name: "leather-order",
      host: HOST,
      pathPrefix: "/order/",
      kind: "unsafe",
      timeout: 1_000,
      targetLatency: 400,
      maximumAttempts: 3,
      priority: 0,
      service: "apothiki",
    }],
  });
  for (let i = 1; i <= UPSTREAMS; i++) {
    await system.startUpstream({
      id: `i-apothiki-${i}`,
      service: "apothiki",
      keyed: true,
      slots: 3,
      queue: 2,
      work: 60,
      extra: i <= FAULTY ? EXTRA : 0,
    });
  }
  for (let i = 1; i <= ENTRIES; i++) await system.startEntry(`front-${i}`);
  await system.waitUntilReady();
  await delay(2_000);

  const answers = new Map();
  const loading = load(
    system.entries,
    CLIENTS,
    TIMES * (LENGTH + PAUSE) + 2,
    100,
    () => ({
      method: "PUT",
      host: HOST,
      path: `/order/${newId()}`,
      id: newId(),
      key: Math.floor(Math.random() * 65_536),
      timeout: 1_000,
      body: "12 hides",
    }),
    (request, { status, took }, { vm }) => {
      answers.set(request.id, status);
      system.record(`client at ${vm}: ${request.id} answered ${status} after ${took} ms`);
    },
  );
  await delay(2_000);
  for (let i = 0; i < TIMES; i++) {
    if (isTroubled) for (const each of system.upstreams) each.child.kill("SIGUSR2");
    system.record("operator's clock: disruption begins");
    await delay(LENGTH * 1_000);
    for (const each of system.upstreams) each.child.kill("SIGHUP");
    system.record("operator's clock: disruption ends");
    await delay(PAUSE * 1_000);
  }
  await loading;
  await delay(1_500);

  const runs = new Map();
  for (const { id, runs: own } of system.upstreams) {
    for (const run of own) {
      runs.set(run.id, [...runs.get(run.id) ?? [], `${id} at ${run.at}`]);
    }
  }
  const breaches = [];
  for (const [id, places] of runs) {
    if (places.length > 1) {
      breaches.push(`TWICE: ${id}, answered ${answers.get(id)}, ran ${places.length} times: ${places.join(", ")}`);
    }
    if ([408, 421, 429, 503].includes(answers.get(id))) {
      breaches.push(`REFUSED: ${id} was answered ${answers.get(id)} and ran: ${places.join(", ")}`);
    }
  }
  const count = (status) => [...answers.values()].filter((each) => each === status).length;
  const notes = [`requests: ${answers.size}, answered 200: ${count(200)}, 502: ${count(502)}, 503: ${count(503)}, 504: ${count(504)}, none: ${count(0)}`];
  return { breaches, notes };
});
