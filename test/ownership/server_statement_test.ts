/**
 * Servers that state with their responses that they are leaving, or that they
 * accept no requests from a VM for a while.
 */
import test from "ava";
import type { LoadOptions, RequestLoad } from "./request_load.ts";
import { type Fault, Simulation } from "./simulation.ts";

const STATED_FROM = 9_000;
const STATED_UNTIL = 15_000;
const UNTIL = 20_000;
/** Time allowed until a leaving server gets no requests, in milliseconds. */
const DRAIN_TIME = 2_000;
/**
 * Time allowed until no VM sends requests to a server that some VM knows to be
 * leaving, in milliseconds.
 */
const SHARING_TIME = 3_000;
/** Backoff that servers request, in milliseconds. */
const BACKOFF = 2_000;
/** Maximum number of requests that may arrive in a backoff. */
const MAXIMUM_IN_BACKOFF = 2;
const SERVERS = 8;
const LEAVING_SERVERS = [0, 1];

/** Servers that state from `STATED_FROM` on that they are leaving. */
function leaving(until: number, servers = LEAVING_SERVERS): Fault[] {
  return servers.map((target) => ({
    kind: "server.leave",
    at: STATED_FROM,
    duration: until - STATED_FROM,
    target,
  }));
}

function simulate(
  vms: number,
  faults: readonly Fault[],
  overrides: Partial<LoadOptions>,
) {
  return Simulation.runToEnd({
    vms,
    servers: SERVERS,
    faults,
    duration: UNTIL + 3_000,
    seed: 1,
    seedVms: 2,
    fitness: Array.from({ length: vms }, (_, i) => i < 2 ? 5 : 1),
    load: {
      from: 4_000,
      until: UNTIL,
      rate: 112,
      work: 100,
      speeds: [1],
      slots: 6,
      queue: 24,
      target: 600,
      timeout: 1_500,
      keyOf: (draw) => Math.floor(draw() * 65_536),
      ...overrides,
    },
  });
}

/** Share of the requests started in a period that were served in time. */
function servedShare(load: RequestLoad, from: number, until: number): number {
  const results = load.results.filter(({ startedAt }) =>
    startedAt >= from && startedAt < until
  );
  return results.filter(({ name }) => name === "inTime").length /
    results.length;
}

/**
 * Longest time after a VM had passed on a response of a leaving server, after
 * which a caller sent it a request that reached the server.
 */
function longestDelay({ leavingArrivals }: RequestLoad): number {
  return Math.max(-Infinity, ...leavingArrivals.map(({ delay }) => delay));
}

// Guards against keys that are released although no server can take them.
test("keys stay with their servers as long as allowed if all servers are leaving", (t) => {
  const servers = Array.from({ length: SERVERS }, (_, i) => i);
  const { load, violations } = simulate(8, leaving(UNTIL, servers), {});
  t.deepEqual(violations, []);
  t.true(longestDelay(load!) <= DRAIN_TIME, `${longestDelay(load!)} ms`);
  const served = servedShare(load!, STATED_FROM, STATED_FROM + 1_500);
  t.true(served > 0.98, `${served} served in time`);
});

for (const vms of [8, 61]) {
  for (const isKeyed of [true, false]) {
    const kind = `${vms} VMs, ${isKeyed ? "keyed" : "without keys"}`;

    // Guards against requests to a server that has stated that it is leaving,
    // while the registry does not report it.
    test(`leaving servers that the registry does not report get nothing after the drain time, and no request is lost: ${kind}`, (t) => {
      const { load, violations } = simulate(vms, leaving(STATED_UNTIL), {
        isKeyed,
      });
      t.deepEqual(violations, []);
      t.true(load!.leavingArrivals.length > 0);
      t.true(longestDelay(load!) <= DRAIN_TIME, `${longestDelay(load!)} ms`);
      const late = load!.leavingArrivals.filter(({ at }) =>
        at > STATED_FROM + SHARING_TIME
      );
      t.deepEqual(late.slice(0, 3), []);
      const served = servedShare(load!, STATED_FROM, UNTIL);
      t.true(served > 0.98, `${served} served in time`);
    });

    // Guards against the same while the store answers nobody, so that no key
    // can move.
    test(`leaving servers get nothing after the drain time during an outage of the store: ${kind}`, (t) => {
      const outage: Fault = {
        kind: "store.down",
        at: STATED_FROM - 1_500,
        duration: 8_000,
        target: 0,
      };
      // A server exits only after the store has accepted that it is leaving,
      // and the drain time after that.
      const exit = outage.at + outage.duration + DRAIN_TIME;
      const faults = [outage, ...leaving(exit)];
      const { load, violations } = simulate(vms, faults, { isKeyed });
      t.deepEqual(violations, []);
      t.true(longestDelay(load!) <= DRAIN_TIME, `${longestDelay(load!)} ms`);
      const end = outage.at + outage.duration + 3_000;
      const served = servedShare(load!, end, UNTIL);
      t.true(served > 0.95, `${served} served in time`);
    });

    // Guards against requests, retries and orders to a server during the
    // backoff that it has requested from their VM.
    test(`servers get no requests or orders from a VM during a backoff, and are used again: ${kind}`, (t) => {
      const { load, violations } = simulate(vms, [], {
        isKeyed,
        rate: isKeyed ? 112 : 320,
        backoff: {
          from: STATED_FROM,
          until: STATED_UNTIL,
          duration: BACKOFF,
          servers: 2,
        },
      });
      t.deepEqual(violations, []);
      const { backoffs } = load!;
      t.true(backoffs.length > 0);
      const excessive = backoffs.filter(({ arrivals }) =>
        arrivals > MAXIMUM_IN_BACKOFF
      );
      t.deepEqual(excessive.slice(0, 3), []);
      const served = servedShare(load!, STATED_UNTIL + BACKOFF, UNTIL);
      t.true(served > 0.95, `${served} served in time`);
      if (isKeyed) return;
      const during = servedShare(load!, STATED_FROM, STATED_UNTIL);
      t.true(during > 0.98, `${during} served in time`);
    });
  }
}
