import test from "ava";
import { checkHistory } from "./history_check.ts";
import { type Call, isServed, longestGap, type Run } from "./history.ts";

function createCall(requestId: string, change: Partial<Call> = {}): Call {
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

function createRun(requestId: string, change: Partial<Run> = {}): Run {
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

test("isServed: only a 2xx status counts as served", (t) => {
  const statuses = [200, 299, 0, 404, 503];
  t.snapshot(
    statuses.map((status) => [status, isServed(createCall("a", { status }))]),
  );
});

test("longestGap: the time between two served requests for one key", (t) => {
  const calls = [
    createCall("a", { endedAt: 10 }),
    createCall("b", { endedAt: 40, key: "other" }),
    createCall("c", { endedAt: 200, status: 503 }),
    createCall("d", { endedAt: 310 }),
  ];
  t.snapshot(longestGap({ calls, runs: [] }));
});

test("checkHistory: a valid history has no breaches", (t) => {
  t.snapshot(
    checkHistory({ calls: [createCall("a")], runs: [createRun("a")] }),
  );
});

test("checkHistory: reports each kind of breach", (t) => {
  const calls = [
    createCall("crossed", { matched: false }),
    createCall("not run", { status: 503, outcome: "not-run", matched: null }),
    createCall("invented"),
    createCall("twice"),
    createCall("twice"),
  ];
  const runs = [
    createRun("crossed", { token: 6, startedAt: 2, server: "stock-2" }),
    createRun("not run", { startedAt: 3 }),
    createRun("twice", { startedAt: 1 }),
    createRun("twice", { startedAt: 1 }),
  ];
  t.snapshot(checkHistory({ calls, runs }));
});

test("checkHistory: an idempotent request may run more than once", (t) => {
  const runs = [
    createRun("a", { method: "PUT" }),
    createRun("a", { method: "PUT" }),
  ];
  const calls = [createCall("a", { method: "PUT" })];
  t.snapshot(checkHistory({ calls, runs }));
});
