/**
 * Guards against a shutdown that closes connections of callers without a
 * response. A request that still waits for a server at the time limit has not
 * run anywhere: its caller has to receive a response that says so and allows a
 * retry.
 *
 * @module
 */
import test from "ava";
import { fingerprintOf } from "../../test/support/fingerprint.ts";
import { backendServer } from "../../test/support/backend_server.ts";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";
import { serverStatement } from "../../test/support/server_statement.ts";
import type { EntryEffect } from "./entry_effect.ts";
import type { BackendServer } from "./fleet/index.ts";

/**
 * Target latency of the route, in milliseconds. A request waits for a server
 * for up to 0.6 of it, which is longer than the shutdown takes.
 */
const TARGET_LATENCY = 12_000;
const LIMITS = {
  maximumHeaderBytes: 1,
  maximumBodyBytes: 1,
  headerTimeout: 1,
  idleTimeout: 1,
};

/**
 * Creates a process with a keyed service whose keys all belong to `server`, or
 * to no server if null.
 */
function createEntry(server: BackendServer | null = null) {
  const { step } = createSteppedEntry();
  step(0, {
    kind: "configuration.read",
    configuration: {
      version: 1,
      routes: [{
        name: "r",
        host: "h",
        pathPrefix: "/",
        destinations: [{ service: "s", weight: 1 }],
        timeout: 20_000,
        maximumAttempts: 2,
        isIdempotent: false,
        targetLatency: TARGET_LATENCY,
        priority: 0,
      }],
      services: [{ name: "s", maximumConnections: 9, isKeyed: true }],
      limits: LIMITS,
    },
  });
  step(10, {
    kind: "assignments.read",
    assignments: [{
      service: "s",
      term: 1,
      version: 1,
      ranges: [{
        first: 0,
        last: 65_535,
        server: server?.id ?? null,
        address: server?.address ?? null,
        isOpen: server !== null,
      }],
    }],
  });
  const read = {
    entries: server === null ? [] : [server],
    removed: [],
    unreadable: [],
    isWhole: true,
    position: 1,
  };
  step(20, { kind: "servers.read", read, sentAt: 15 });
  return { step };
}

const ARRIVAL = {
  exchange: 1,
  id: "r",
  host: "h",
  target: "/",
  timeout: 20_000,
  key: 7,
  fingerprint: fingerprintOf("/"),
};

test("shutdown: a request that waits for a server at the time limit gets a response", (t) => {
  const { step } = createEntry();
  step(500, { kind: "shutdown", lateness: 0 });
  const effects = step(3_300, { kind: "request.arrived", arrival: ARRIVAL });
  for (let now = 3_350; now <= 6_250; now += 50) {
    effects.push(...step(now, { kind: "timer" }));
  }
  const kinds = effects.map(({ kind }) => kind);
  t.true(kinds.includes("process.stop"));
  const errorIndex = kinds.indexOf("request.refuse");
  t.true(errorIndex >= 0 && errorIndex < kinds.indexOf("process.stop"));
});

// Guards against lost responses with HTTP pipelining: the response to a request
// was ready for 3.9 s, but queued behind the response to an earlier request,
// which a server was still running when the process stopped. Both responses
// were lost with the connection, and `shutdown.finished` was logged with
// requests pending.
test("shutdown: a request that still runs at the time limit gets a response, so that responses queued behind it are sent", (t) => {
  const { step } = createEntry(backendServer("i-1"));
  const effects = step(400, { kind: "request.arrived", arrival: ARRIVAL });
  t.true(effects.some(({ kind }) => kind === "attempt.start"));
  effects.push(...step(500, { kind: "shutdown", lateness: 0 }));
  for (let now = 550; now <= 6_250; now += 50) {
    effects.push(...step(now, { kind: "timer" }));
  }
  const kinds = effects.map(({ kind }) => kind);
  const errorIndex = kinds.indexOf("request.refuse");
  t.true(errorIndex >= 0 && errorIndex < kinds.indexOf("process.stop"));
  const errorResponse = effects[errorIndex];
  t.is(errorResponse.kind === "request.refuse" && errorResponse.status, 504);
  t.true(kinds.includes("attempt.cancel"));
});

/**
 * Creates a process that knows that its server responds after `latency`
 * milliseconds, and stops it at 3,000.
 */
function createStoppingEntry(latency: number) {
  const { step } = createEntry(backendServer("i-1"));
  step(100, { kind: "request.arrived", arrival: ARRIVAL });
  step(100 + latency, {
    kind: "attempt.ended",
    attempt: 1,
    outcome: {
      kind: "answered",
      status: 200,
      isGenuine: true,
      isNotRun: false,
      server: "i-1",
      statement: serverStatement(),
    },
  });
  step(3_000, { kind: "shutdown", lateness: 0 });
  return step;
}

/** Summarizes what becomes of a request. */
function summarize(effects: readonly EntryEffect[]): string[] {
  return effects.flatMap((each) => {
    if (each.kind === "attempt.start") return ["sent"];
    if (each.kind !== "request.refuse") return [];
    return [`${each.status}, ${each.reason}, retry after ${each.retryAfter}`];
  });
}

// Guards against requests that are passed on and cut off while they run, since
// they usually take longer than this process still runs.
test("shutdown: a request is sent only if its response is usual before the final ones", (t) => {
  const arrivals = Array.from({ length: 6 }, (_, i) => 3_100 + i * 500);
  t.snapshot(
    Object.fromEntries(arrivals.map((now) => {
      const step = createStoppingEntry(2_400);
      const arrival = { ...ARRIVAL, exchange: 2, id: "late" };
      const effects = step(now, { kind: "request.arrived", arrival });
      return [now, summarize(effects)];
    })),
  );
});

// Guards against the same for a request that has waited.
test("shutdown: a request that waits is refused once its response would come too late", (t) => {
  const step = createStoppingEntry(1_600);
  const assign = (now: number, version: number, isOpen: boolean) =>
    step(now, {
      kind: "assignments.read",
      assignments: [{
        service: "s",
        term: 1,
        version,
        ranges: [{
          first: 0,
          last: 65_535,
          server: "i-1",
          address: "i-1:1",
          isOpen,
        }],
      }],
    });
  assign(3_010, 2, false);
  const arrival = { ...ARRIVAL, exchange: 2, id: "waits" };
  const events: [number, string[]][] = [];
  const record = (now: number, effects: readonly EntryEffect[]) => {
    const summary = summarize(effects);
    if (summary.length > 0) events.push([now, summary]);
  };
  record(3_100, step(3_100, { kind: "request.arrived", arrival }));
  for (let now = 3_150; now <= 8_700; now += 50) {
    record(now, step(now, { kind: "timer" }));
    if (now === 7_000) record(now, assign(now, 3, true));
  }
  t.snapshot(events);
});
