/**
 * A request that waits for a server when the time of a shutdown is over has run
 * nowhere. Its caller is told so, with a refusal that it may act upon, before the
 * process ends; it is not cut off with its connection.
 *
 * @module
 */
import test from "ava";
import { fingerprintOf } from "../../test/support/fingerprint.ts";
import { backendServer } from "../../test/support/backend_server.ts";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";
import type { BackendServer } from "./fleet/index.ts";

/** A request waits for up to 0.6 of this, in milliseconds: longer than the
 * process lives on. */
const TARGET_LATENCY = 12_000;
const LIMITS = {
  maximumHeaderBytes: 1,
  maximumBodyBytes: 1,
  headerTimeout: 1,
  idleTimeout: 1,
};

/** A process that knows a keyed service, whose keys `server` holds, or nobody. */
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

test("shutdown: a request that waits when its time is over is refused, not cut", (t) => {
  const { step } = createEntry();
  step(500, { kind: "shutdown", lateness: 0 });
  const effects = step(3_300, { kind: "request.arrived", arrival: ARRIVAL });
  for (let now = 3_350; now <= 6_250; now += 50) {
    effects.push(...step(now, { kind: "timer" }));
  }
  const kinds = effects.map(({ kind }) => kind);
  t.true(kinds.includes("process.stop"));
  const refused = kinds.indexOf("request.refuse");
  t.true(refused >= 0 && refused < kinds.indexOf("process.stop"));
});

// Seen: a caller that sends further requests before it has an answer got none to one
// that its server had answered 3.9 s before. The answer stood behind that of an
// earlier request, whose server was still at work when the process stopped, and both
// were cut with the connection. Its log: shutdown.finished with requests pending, and
// the server's run had ended well.
test("shutdown: a request that runs beyond its time is given up, and answers behind it are sent", (t) => {
  const { step } = createEntry(backendServer("i-1"));
  const effects = step(400, { kind: "request.arrived", arrival: ARRIVAL });
  t.true(effects.some(({ kind }) => kind === "attempt.start"));
  effects.push(...step(500, { kind: "shutdown", lateness: 0 }));
  for (let now = 550; now <= 6_250; now += 50) {
    effects.push(...step(now, { kind: "timer" }));
  }
  const kinds = effects.map(({ kind }) => kind);
  const answered = kinds.indexOf("request.refuse");
  t.true(answered >= 0 && answered < kinds.indexOf("process.stop"));
  const answer = effects[answered];
  t.is(answer.kind === "request.refuse" && answer.status, 504);
  t.true(kinds.includes("attempt.cancel"));
});
