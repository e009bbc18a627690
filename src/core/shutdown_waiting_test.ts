/**
 * A request that waits for a server when the time of a shutdown is over has run
 * nowhere. Its caller is told so, with a refusal that it may act upon, before the
 * process ends; it is not cut off with its connection.
 *
 * @module
 */
import test from "ava";
import { createSteppedEntry } from "../../test/support/stepped_entry.ts";

/** A request waits for up to 0.6 of this, in milliseconds: longer than the
 * process lives on. */
const TARGET_LATENCY = 12_000;
const LIMITS = {
  maximumHeaderBytes: 1,
  maximumBodyBytes: 1,
  headerTimeout: 1,
  idleTimeout: 1,
};

/** A process that knows a keyed service, whose keys nobody holds. */
function createEntry() {
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
        server: null,
        address: null,
        isOpen: false,
      }],
    }],
  });
  return { step };
}

test("shutdown: a request that waits when its time is over is refused, not cut", (t) => {
  const { step } = createEntry();
  step(500, { kind: "shutdown", lateness: 0 });
  const arrival = {
    exchange: 1,
    id: "r",
    host: "h",
    target: "/",
    timeout: 20_000,
    key: 7,
  };
  const effects = step(3_300, { kind: "request.arrived", arrival });
  for (let now = 3_350; now <= 6_250; now += 50) {
    effects.push(...step(now, { kind: "timer" }));
  }
  const kinds = effects.map(({ kind }) => kind);
  t.true(kinds.includes("process.stop"));
  const refused = kinds.indexOf("request.refuse");
  t.true(refused >= 0 && refused < kinds.indexOf("process.stop"));
});
