// The process of another machine, through which an answer without a length
// arrives, is killed. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { delay, runCase } from "../lib/deployment.mjs";
import { load, newId } from "../lib/clients.mjs";

const ENTRIES = 4;
const HOST = "archive.example";
const SIZE = 40_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, isTroubled) => {
  await system.startStore();
  await system.publish({
    version: 12,
    limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_048_576, headerTimeout: 5_000, idleTimeout: 10_000 },
    services: [{ name: "archeio", max_connections: 110, keyed: true }],
    routes: [{
      name: "catalogue-pull",
      host: HOST,
      pathPrefix: "/catalogue/",
      kind: "safe",
      timeout: 3_000,
      targetLatency: 1_200,
      maximumAttempts: 2,
      priority: 2,
      service: "archeio",
    }],
  });
  for (let i = 1; i <= 4; i++) await system.startUpstream({ id: `i-archeio-${i}`, service: "archeio", keyed: true, backlog: 4, slots: 12, queue: 12, work: 30, unframed: true, size: SIZE, sendTime: 400 });
  for (let i = 1; i <= ENTRIES; i++) await system.startEntry(`front-${i}`);
  await system.waitUntilReady();
  await delay(2_000);
  const bad = []; const all = [];
  const loading = load(system.entries, 8, 12, 20, () => ({ method: "GET", host: HOST, path: `/catalogue/${newId()}`, id: newId(), key: Math.floor(Math.random() * 65_536), timeout: 3_000 }), (request, a) => {
    all.push(a.status);
    const isWhole = a.body === `${request.id}:`.padEnd(SIZE, "x");
    system.record(`client: ${request.id} ${a.status} ${a.body.length} of ${SIZE} after ${a.took} signature ${a.headers["x-plumloft-response-signature"]}`);
    if (a.status === 200 && !isWhole) bad.push(`MIXED: ${request.id} 200 with ${a.body.length} of ${SIZE} bytes`);
  });
  await delay(2_500);
  const [upstream] = system.upstreams;
  system.record("stop upstream");
  upstream.child.kill("SIGSTOP");
  await delay(Number(process.env.FREEZE ?? 1500));
  upstream.child.kill("SIGCONT");
  system.record("continue upstream");
  await delay(350);
  const counts = system.entries.map((e) => e.log.filter((l) => l.includes("relay.requested")).length);
  const victim = system.entries[counts.indexOf(Math.max(...counts))];
  system.record(`kill ${victim.vm} ${counts}`);
  if (isTroubled) victim.child.kill("SIGKILL");
  await loading;
  return { breaches: bad, notes: [`${all.length} ` + [...new Set(all)].map((s) => `${s}:${all.filter((x) => x === s).length}`)] };
});
