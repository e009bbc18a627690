// The process of a machine, through which another one receives an answer
// without a length, is killed. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { delay, runCase } from "../lib/deployment.mjs";
import { load, newId } from "../lib/clients.mjs";

const ENTRIES = 4;
const UPSTREAMS = 7;
const HOST = "archive.example";
/** Bytes of an answer, and the time in milliseconds over which it is sent. */
const SIZE = 40_000;
const SEND_TIME = 800;
/** Time for which an upstream freezes, in milliseconds. */
const FREEZE = 500;
/** Connections through the machine that is killed, and the wait for them. */
const RELAYED = 6;
const WAIT = 1_200;

/** Returns the body that an upstream sends in answer to a request. */
const bodyOf = ({ id }) => `${id}:`.padEnd(SIZE, "x");

/** Number of connections that an entry passes on for others, by its log. */
function relayedConnections({ log }) {
  const open = log.filter((line) =>
    line.includes('"relay.requested"') && line.includes('"reason":null')
  );
  const ended = log.filter((line) => line.includes('"relay.ended"'));
  return open.length - ended.length;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, isTroubled) => {
  await system.startStore();
  await system.publish({
    version: 12,
    limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 67_108_864, headerTimeout: 3_000, idleTimeout: 15_000 },
    services: [{ name: "archeio", max_connections: 110, keyed: true }],
    routes: [{
      name: "catalogue-pull",
      host: HOST,
      pathPrefix: "/catalogue/",
      kind: "safe",
      timeout: 3_000,
      targetLatency: 1_500,
      maximumAttempts: 2,
      priority: 2,
      service: "archeio",
    }],
  });
  for (let i = 1; i <= UPSTREAMS; i++) {
    await system.startUpstream({
      id: `i-archeio-${i}`,
      service: "archeio",
      keyed: true,
      slots: 12,
      queue: 12,
      work: 30,
      backlog: 3,
      unframed: true,
      size: SIZE,
      sendTime: SEND_TIME,
    });
  }
  for (let i = 1; i <= ENTRIES; i++) await system.startEntry(`front-${i}`);
  await system.waitUntilReady();
  await delay(2_000);

  const breaches = [];
  const statuses = new Map();
  const loading = load(
    system.entries,
    40,
    8,
    60,
    () => ({
      method: "GET",
      host: HOST,
      path: `/catalogue/${newId()}`,
      id: newId(),
      key: Math.floor(Math.random() * 65_536),
      timeout: 3_000,
    }),
    (request, { status, body, headers, took }, { vm }) => {
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      const signature = headers["x-plumloft-response-signature"];
      const text = `client at ${vm}: ${request.id} answered ${status} after ${took} ms, ${body.length} bytes, signature ${signature}`;
      system.record(text);
      const isSuccess = status >= 200 && status < 300;
      if (!isSuccess || (body === bodyOf(request) && signature)) return;
      breaches.push(`MIXED: ${text}; the upstream's body has ${SIZE}`);
    },
  );
  await delay(3_000);
  let killed = "none";
  if (isTroubled) {
    // The one with the most requests.
    const [upstream] = [...system.upstreams].sort((one, other) =>
      other.runs.length - one.runs.length
    );
    system.record(`disruption: ${upstream.id} freezes`);
    upstream.child.kill("SIGSTOP");
    await delay(FREEZE);
    upstream.child.kill("SIGCONT");
    system.record(`disruption: ${upstream.id} wakes`);
    const end = Date.now() + WAIT;
    let victim = null;
    while (Date.now() < end) {
      await delay(10);
      const [most] = [...system.entries].sort((one, other) =>
        relayedConnections(other) - relayedConnections(one)
      );
      victim = most;
      if (relayedConnections(most) >= RELAYED) break;
    }
    // A little later, when parts of the answers have arrived.
    await delay(250);
    killed = `${victim.vm} with ${relayedConnections(victim)} connections of others`;
    system.record(`disruption: the process of ${killed} is killed`);
    victim.child.kill("SIGKILL");
  }
  await loading;
  const counts = [...statuses].map(([status, count]) => `${status}: ${count}`);
  return { breaches, notes: [`answers by status: ${counts.join(", ")}`, `killed: ${killed}`] };
});
