import test from "ava";
import { traceRequest } from "../src/logging/index.ts";
import { type Call, isServed, runLoad } from "../src/load/index.ts";
import { Deployment } from "./support/deployment.ts";

/** Runs a short load and returns the calls that were not served. */
async function unservedCalls(
  deployment: Deployment,
  service: "stock" | "orders",
  callers: number,
): Promise<Call[]> {
  const overrides = { callers, requests: 3_000, seconds: 4, pause: 1 };
  const { calls } = await runLoad(deployment.plan(service, overrides));
  return calls.filter((call) => !isServed(call));
}

/**
 * Traces a request in the logs of all entries, with unrelated and truncated
 * lines added.
 */
function traceOf(deployment: Deployment, id: string) {
  const lines = deployment.entries.flatMap((entry) =>
    deployment.logOf(entry).map((line) => JSON.stringify(line))
  );
  return traceRequest(id, ["cut {short", ...lines, `foreign ${id} text`]);
}

test("explain: the request id suffices to explain a lost response, a moving key and overload", async (t) => {
  const deployment = await Deployment.start({ entries: 1, servers: 2 });
  t.teardown(() => deployment.stop());
  const server = (name: string) =>
    deployment.servers.find((each) => each.name === name)!;

  await deployment.setFaults(server("orders-1").address, { loseAnswers: 1 });
  const [lost] = await unservedCalls(deployment, "orders", 2);
  t.is(lost.status, 502);

  server("stock-1").process.kill("SIGKILL");
  const unavailable = (await unservedCalls(deployment, "stock", 4))
    .find((call) => call.status === 503)!;

  for (const name of ["orders-1", "orders-2"]) {
    await deployment.setFaults(server(name).address, { work: 900 });
  }
  const refused = (await unservedCalls(deployment, "orders", 60))
    .find((call) => call.status === 503)!;
  await new Promise((next) => setTimeout(next, 200));

  const traces = [lost, unavailable, refused].map(({ requestId }) =>
    traceOf(deployment, requestId)
  );
  t.regex(traces[0].cause, /^502: orders-1 may have run it/);
  t.regex(traces[1].cause, /^503 after \d+ ms, not run: /);
  t.regex(traces[2].cause, /^503 after \d+ ms, not run: no server has room/);
  for (const { lines } of traces) {
    t.is(lines[0].decision, "request.routed");
    t.not(lines[0].detail.version, undefined);
  }
  t.true(
    traces[0].lines.some(({ decision, detail }) =>
      decision === "attempt.started" && detail.server === "orders-1"
    ),
  );
});

test("explain: reports that a request has no log lines", (t) => {
  t.snapshot(traceRequest("r-1", ["{}", '{"request":"r-10"}']));
});
