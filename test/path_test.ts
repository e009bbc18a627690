import test from "ava";
import { isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

const REQUESTS = 1_000;

test("path: 1,000 requests over 3 entries get their own whole answers", async (t) => {
  const checks = { token: true, lease: true, echo: true };
  const deployment = await Deployment.start({
    entries: 3,
    services: [
      { name: "apothiki", keyHeader: "x-stock-key", servers: 3, checks },
      { name: "archeio", keyHeader: null, servers: 3, checks },
    ],
  });
  t.teardown(() => deployment.stop());
  const targets = deployment.entries.map((entry) => entry.address);
  const plan = {
    targets,
    keys: 200,
    method: "POST" as const,
    bodySize: 64,
    requests: REQUESTS / 2,
    seconds: 60,
    callers: 12,
    pause: 0,
  };
  const results = await Promise.all([
    runLoad({ ...plan, service: "apothiki", keyHeader: "x-stock-key" }),
    runLoad({ ...plan, service: "archeio", keyHeader: null }),
  ]);
  const calls = results.flatMap((result) => result.calls);
  t.snapshot({
    sent: calls.length,
    served: calls.filter(isServed).length,
    whole: calls.filter((call) => call.matched === true).length,
  });
  const runs = deployment.servers.flatMap((server) => deployment.runs(server));
  const ids = runs.map((run) => run.requestId);
  t.is(new Set(ids).size, ids.length, "each request ran once");
  t.is(ids.length, REQUESTS);
});
