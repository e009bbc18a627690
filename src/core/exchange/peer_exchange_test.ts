/**
 * Guards against a VM that keeps using outdated assignments after it was
 * suspended. The term changed twice during a suspension of 4.4 s, the VM's
 * first report was lost with a failed connection, and its next regular report
 * followed 500 ms later. Until then the VM sent 44 requests to a server that no
 * longer held their keys, although the server answered each of them with 421.
 */
import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { backendServer } from "../../../test/support/backend_server.ts";
import { serverStatement } from "../../../test/support/server_statement.ts";
import { createSteppedEntry } from "../../../test/support/stepped_entry.ts";
import { configurationSchema } from "../catalog/index.ts";
import type { EntryEffect } from "../entry_effect.ts";

const HOLDER = "holder:1";

/**
 * Creates a VM that follows a holder; all keys of `s` are assigned to `i-1`.
 */
function createFollower() {
  const { entry, step } = createSteppedEntry({
    retryLimits: { ratio: 0.1, windowSeconds: 10, minimum: 1_000 },
    registryTiming: { interval: 450, maximumAge: 60_000 },
  });
  step(0, {
    kind: "configuration.read",
    configuration: configurationSchema.parse({
      version: 1,
      services: [{ name: "s", maximumConnections: 10, isKeyed: true }],
      limits: {
        maximumHeaderBytes: 1_000,
        maximumBodyBytes: 1_000,
        headerTimeout: 1_000,
        idleTimeout: 1_000,
      },
      routes: [{
        name: "r",
        host: "h",
        pathPrefix: "/",
        isIdempotent: true,
        destinations: [{ service: "s", weight: 1 }],
        timeout: 1_000,
        targetLatency: 500,
        maximumAttempts: 2,
        priority: 0,
      }],
    }),
  });
  const server = backendServer("i-1", { address: "h:1", slots: 50 });
  step(0, {
    kind: "servers.read",
    read: {
      entries: [server],
      removed: [],
      unreadable: [],
      isWhole: true,
      position: 5,
    },
    sentAt: 0,
  });
  const holderState = {
    term: 1,
    version: 1,
    configuration: 1,
    vms: 2,
    fittest: 1,
  };
  step(0, {
    kind: "peer.received",
    address: HOLDER,
    message: {
      kind: "assignments.told",
      ...holderState,
      assignments: [{
        service: "s",
        servers: [{ id: "i-1", address: "h:1" }],
        ranges: [[0, 65_535, 0, true]],
      }],
    },
  });
  step(0, {
    kind: "holder.announced",
    holder: { term: 1, vm: "v", address: HOLDER, fitness: 1 },
  });
  let exchange = 0;
  /** Sends a request for key 7; returns the id of its attempt. */
  const send = (now: number): number => {
    exchange += 1;
    const effects = step(now, {
      kind: "request.arrived",
      arrival: {
        exchange,
        id: `r-${exchange}`,
        host: "h",
        target: "/",
        timeout: 1_000,
        key: 7,
        fingerprint: fingerprintOf("/"),
      },
    });
    const start = effects.find((each) => each.kind === "attempt.start");
    if (start === undefined) throw new Error("the request was not sent");
    return start.attempt;
  };
  /** Answers an attempt with 421 as the server `i-1`. */
  const refuse = (now: number, attempt: number): EntryEffect[] =>
    step(now, {
      kind: "attempt.ended",
      attempt,
      outcome: {
        kind: "answered",
        status: 421,
        isGenuine: false,
        isNotRun: true,
        server: "i-1",
        statement: serverStatement(),
      },
    });
  /** Answers the report sent at `answersTo` as the holder. */
  const answer = (now: number, answersTo: number): EntryEffect[] =>
    step(now, {
      kind: "peer.received",
      address: HOLDER,
      message: {
        kind: "holder.alive",
        ...holderState,
        registry: null,
        answersTo,
      },
    });
  /** Runs timers until `end`; returns the times at which reports were sent. */
  const reportTimes = (from: number, end: number): number[] => {
    const times: number[] = [];
    for (let now = from; now <= end; now += 10) {
      if (reports(step(now, { kind: "timer" })) > 0) times.push(now);
    }
    return times;
  };
  return { entry, step, send, refuse, answer, reportTimes };
}

/** Counts the reports to the holder among the effects. */
function reports(effects: readonly EntryEffect[]): number {
  return effects.filter((each) =>
    each.kind === "peer.send" && each.address === HOLDER &&
    each.message.kind === "keys.asked"
  ).length;
}

test("peer exchange: a 421 from a key's server makes a report due immediately", (t) => {
  const { send, refuse, answer } = createFollower();
  const attempts = [100, 110, 111].map(send);
  answer(101, 0);
  t.is(reports(refuse(120, attempts[0])), 1);
  t.is(reports(refuse(130, attempts[1])), 0, "already reported");
  answer(140, 120);
  t.is(reports(refuse(150, attempts[2])), 0, "not repeated within 60 ms");
});

test("peer exchange: an unanswered urgent report is repeated with exponential backoff", (t) => {
  const { entry, send, refuse, answer, reportTimes } = createFollower();
  const attempt = send(100);
  t.is(reports(refuse(120, attempt)), 1);
  t.true(entry.nextAt(120) <= 180, "a timer is due");
  t.deepEqual(reportTimes(130, 1_200), [180, 300, 540, 1_020]);
  // The answer to an older report does not answer this one.
  answer(1_210, 0);
  t.deepEqual(reportTimes(1_220, 1_600), [1_520]);
  answer(1_610, 1_520);
  t.deepEqual(reportTimes(1_620, 2_519), [2_020]);
});

test("peer exchange: a VM that was suspended repeats its report until it is answered", (t) => {
  const { answer, reportTimes } = createFollower();
  t.deepEqual(reportTimes(250, 1_100), [500, 1_000]);
  answer(1_110, 1_000);
  t.deepEqual(reportTimes(5_400, 5_600), [5_400, 5_460, 5_580]);
  answer(5_610, 5_460);
  t.deepEqual(reportTimes(5_620, 6_200), [6_080]);
});

// A VM that cannot reach the store requests the state of other VMs every 1.5 s.
// Guards against answers with the whole configuration to a VM that has it: with
// 2,000 routes and 74 VMs they amounted to 360 MB within 10 s.
test("peer exchange: a VM that has the configuration is not sent it again", (t) => {
  const { step } = createFollower();
  const requestState = (configuration: number, takesParts?: boolean) => {
    const effects = step(1_000, {
      kind: "peer.received",
      address: "vm:2",
      message: {
        kind: "state.wanted",
        term: 0,
        version: 0,
        configuration,
        ...(takesParts === undefined ? {} : { takesParts }),
      },
    });
    return effects.flatMap((each) =>
      each.kind === "peer.send" && each.message.kind === "state.told"
        ? [each.message.state.configuration?.version ?? null]
        : []
    );
  };
  t.deepEqual(requestState(1, true), [null]);
  t.deepEqual(requestState(-1, true), [1]);
  t.deepEqual(requestState(1), [1], "an older version needs the whole state");
});
