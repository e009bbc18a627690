/**
 * Guards the way of planned returns from the demand that VMs report to the
 * Retry-After of refused callers.
 */
import test from "ava";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { createSteppedEntry } from "../../../test/support/stepped_entry.ts";
import { configurationSchema } from "../catalog/index.ts";
import { NO_FEATURES } from "../features.ts";
import type { PriorityDemand, ServiceAdmission } from "../peers/index.ts";

const HOLDER = "holder:1";
/** Admits no request, so that each is refused on its arrival. */
const LIMIT = { service: "s", threshold: 0, wait: 0 };

/** Creates a VM that follows a holder and has a service without free slots. */
function createFollower(schedulesReturns: boolean) {
  const features = { ...NO_FEATURES, admitsByPriority: true, schedulesReturns };
  const { entry, step: stepEntry } = createSteppedEntry({ features });
  /** Demand in the reports that were sent. */
  const reported: PriorityDemand[] = [];
  const step: typeof stepEntry = (now, event) => {
    const effects = stepEntry(now, event);
    for (const each of effects) {
      if (each.kind !== "peer.send") continue;
      if (each.message.kind !== "keys.asked") continue;
      reported.push(...each.message.demand ?? []);
    }
    return effects;
  };
  step(0, {
    kind: "configuration.read",
    configuration: configurationSchema.parse({
      version: 1,
      services: [{ name: "s", maximumConnections: 10, isKeyed: false }],
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
        timeout: 8_000,
        targetLatency: 4_000,
        maximumAttempts: 2,
        priority: 2,
      }],
    }),
  });
  step(0, {
    kind: "holder.announced",
    holder: { term: 1, vm: "v", address: HOLDER, fitness: 1 },
  });
  const answer = (now: number, admissions?: ServiceAdmission[]) =>
    step(now, {
      kind: "peer.received",
      address: HOLDER,
      message: {
        kind: "holder.alive",
        term: 1,
        version: 1,
        configuration: 1,
        vms: 2,
        fittest: 1,
        registry: null,
        answersTo: now,
        ...(admissions === undefined ? {} : { admissions }),
      },
    });
  let exchange = 0;
  /**
   * Sends a request 880 ms before `now`, which is refused then with a limit, and
   * at `now` for lack of servers without one. Returns its delay, and the window
   * in the log.
   */
  const refusal = (now: number, timeout = 8_000) => {
    exchange += 1;
    const arrived = step(now - 880, {
      kind: "request.arrived",
      arrival: {
        exchange,
        id: `r-${exchange}`,
        host: "h",
        target: "/",
        timeout,
        key: null,
        fingerprint: fingerprintOf("/"),
      },
    });
    const isRefused = arrived.some(({ kind }) => kind === "request.refuse");
    const effects = isRefused ? arrived : step(now, { kind: "timer" });
    const refused = effects.find((each) => each.kind === "request.refuse");
    const line = effects.find((each) =>
      each.kind === "note" && each.decision === "request.refused"
    );
    if (refused === undefined || line?.kind !== "note") {
      throw new Error("the request was not refused");
    }
    return {
      delay: refused.retryAfter ?? 0,
      window: line.detail.window ?? null,
    };
  };
  /** Sends a report and returns the demand in all reports. */
  const reportedDemand = (now: number) => {
    step(now, { kind: "timer" });
    return reported;
  };
  return { entry, answer, refusal, reportedDemand };
}

test("returns: a refused caller returns in the planned window, and its promise is reported", (t) => {
  const { answer, refusal, reportedDemand, entry } = createFollower(true);
  const returns = [{ priority: 2, from: 1_500, until: 1_900 }];
  refusal(900);
  reportedDemand(1_000);
  answer(1_000, [{ ...LIMIT, returns }]);
  const { delay, window } = refusal(2_780);
  t.true(delay >= 600 && delay < 1_000, `${delay}`);
  t.is(window, "600-1000");
  const demand = reportedDemand(3_000);
  t.is(demand.reduce((sum, each) => sum + each.refused, 0), 1);
  t.like(entry.clusterState.returns.counts.get("s"), { promised: 1 });
});

// A second refusal is final, so a return that cannot be served is useless.
test("returns: a caller without free capacity in its time, or a refused return, gets its whole time", (t) => {
  const { answer, refusal, entry } = createFollower(true);
  const late = [{ priority: 2, from: 9_000, until: 9_000 }];
  answer(1_000, [{ ...LIMIT, returns: late }]);
  t.deepEqual(refusal(2_780), { delay: 8_000, window: "none" });
  answer(2_000, [{
    ...LIMIT,
    returns: [{ priority: 2, from: 900, until: 1_000 }],
  }]);
  t.deepEqual(refusal(3_780, 6_000), { delay: 6_000, window: "none" });
  t.like(entry.clusterState.returns.counts.get("s"), {
    returned: 1,
    refusedAgain: 1,
  });
});

// Guards against telling callers that state less than the timeout of the route
// that there is no capacity in their time, although it lies in the route's.
test("returns: callers of 4 s at a route of 8 s return in their part of the window, or as without a plan", (t) => {
  const { answer, refusal } = createFollower(true);
  const answerWith = (from: number) =>
    answer(1_000, [{
      ...LIMIT,
      returns: [{ priority: 2, from, until: 3_000 }],
    }]);
  answerWith(1_500);
  const { delay, window } = refusal(2_780, 4_000);
  t.true(delay >= 600 && delay <= 1_280, `${delay}`);
  t.is(window, "600-2100");
  answerWith(2_400);
  t.is(refusal(2_780, 4_000).window, null);
});

// Without an answer for 1.2 s, with an older holder and without the feature, the
// delays are those of the previous version.
test("returns: without a plan, the delays are as before", (t) => {
  const previous = createFollower(false);
  const returns = [{ priority: 2, from: 2_000, until: 2_200 }];
  previous.answer(1_000, [{ ...LIMIT, returns }]);
  const limited = previous.refusal(1_900);
  t.is(limited.window, null);
  t.is(previous.entry.clusterState.returns.counts.size, 0);

  const unplanned = createFollower(true);
  unplanned.answer(1_000, [LIMIT]);
  t.deepEqual(unplanned.refusal(1_900), limited);

  const older = createFollower(true);
  older.answer(1_000);
  const unlimited = older.refusal(1_900);
  t.is(unlimited.window, null);

  const silent = createFollower(true);
  silent.answer(700, [{ ...LIMIT, returns }]);
  t.deepEqual(silent.refusal(2_900), unlimited);
});
