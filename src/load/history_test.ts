import test from "ava";
import { checkHistory } from "./history_check.ts";
import { type Call, isServed, longestGap, type Run } from "./history.ts";

function call(requestId: string, change: Partial<Call> = {}): Call {
  return {
    kind: "call",
    requestId,
    service: "stock",
    key: "hide",
    method: "POST",
    target: "entry-1",
    startedAt: 0,
    endedAt: 1,
    status: 200,
    outcome: null,
    matched: true,
    ...change,
  };
}

function run(requestId: string, change: Partial<Run> = {}): Run {
  return {
    kind: "run",
    server: "stock-1",
    requestId,
    method: "POST",
    service: "stock",
    key: 1,
    token: 5,
    startedAt: 0,
    endedAt: 1,
    ...change,
  };
}

test("isServed: only an answer of 2xx is served", (t) => {
  const statuses = [200, 299, 0, 404, 503];
  t.snapshot(
    statuses.map((status) => [status, isServed(call("a", { status }))]),
  );
});

test("longestGap: the time between two served answers for one key", (t) => {
  const calls = [
    call("a", { endedAt: 10 }),
    call("b", { endedAt: 40, key: "other" }),
    call("c", { endedAt: 200, status: 503 }),
    call("d", { endedAt: 310 }),
  ];
  t.snapshot(longestGap({ calls, runs: [] }));
});

test("checkHistory: a sound history has no breaches", (t) => {
  t.snapshot(checkHistory({ calls: [call("a")], runs: [run("a")] }));
});

test("checkHistory: objects to each kind of breach", (t) => {
  const calls = [
    call("crossed", { matched: false }),
    call("not run", { status: 503, outcome: "not-run", matched: null }),
    call("invented"),
    call("twice"),
    call("twice"),
  ];
  const runs = [
    run("crossed", { token: 6, startedAt: 2, server: "stock-2" }),
    run("not run", { startedAt: 3 }),
    run("twice", { startedAt: 1 }),
    run("twice", { startedAt: 1 }),
  ];
  t.snapshot(checkHistory({ calls, runs }));
});

test("checkHistory: idempotent work may run again", (t) => {
  const runs = [run("a", { method: "PUT" }), run("a", { method: "PUT" })];
  const calls = [call("a", { method: "PUT" })];
  t.snapshot(checkHistory({ calls, runs }));
});
