import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { emptyConfiguration } from "../../../test/support/empty_configuration.ts";
import { ClusterState } from "../cluster_state.ts";
import type { EntryEffect } from "../entry_effect.ts";
import { NO_FEATURES } from "../features.ts";
import type { BackendServer } from "../fleet/index.ts";
import {
  KeyLoads,
  leaseTimingSchema,
  TermCampaign,
  TermHolder,
} from "../keyspace/index.ts";
import type { FollowerReport } from "../peers/index.ts";
import { StoreHealth } from "../store_health.ts";
import { RelayRoster } from "../reach/index.ts";
import { RetryShares } from "./retry_shares.ts";
import { StatePublisher } from "./state_publisher.ts";

/** Creates the publisher of a term holder with 40 servers. */
function createPublisher(features = NO_FEATURES) {
  const effects: EntryEffect[] = [];
  const clusterState = ClusterState.create(
    (...some) => effects.push(...some),
    () => {},
    undefined,
    features,
  );
  const loads = KeyLoads.create();
  const timing = leaseTimingSchema.parse({});
  const { fleet } = clusterState;
  const campaign = TermCampaign.create(timing, fleet, loads, 1);
  const servers = Array.from(
    { length: 40 },
    (_, i) => backendServer(`i-${i}`, { address: `h:${i}`, slots: 6 }),
  );
  fleet.apply(servers, [], -2_000);
  let orders = 0;
  const nextOrder = () => orders += 1;
  const holder = TermHolder.create(1, [], timing, fleet, loads, nextOrder, 0);
  const publisher = StatePublisher.create(
    clusterState,
    campaign,
    loads,
    StoreHealth.create(),
    (...some) => effects.push(...some),
    RelayRoster.create(),
    RetryShares.create(10, () => null),
  );
  /**
   * Returns a report of a follower that has `version` of the assignments; 0 if
   * it has none.
   */
  const report = (version: number): FollowerReport => ({
    kind: "keys.asked",
    term: version === 0 ? 0 : 1,
    version,
    configuration: 1,
    samples: [],
    latencies: [],
    position: null,
    sentAt: 0,
    fitness: 1,
  });
  /**
   * Returns the messages sent since the last call, except answers to reports.
   */
  const sent = () =>
    effects.splice(0).flatMap((each) =>
      each.kind === "peer.send" && each.message.kind !== "holder.alive"
        ? [each.message]
        : []
    );
  /** Advances the holder to `now`; all its orders and writes succeed. */
  const advanceHolder = (now: number) => {
    for (const effect of holder.advance(["s"], now, Infinity, 0, true)) {
      if (effect.kind === "assignments.write") holder.recordWriter.confirm();
      else if ("order" in effect) {
        holder.onOrderEnded(
          effect.order,
          { kind: "accepted", handover: null },
          now,
        );
      }
    }
  };
  return { clusterState, publisher, holder, report, sent, advanceHolder };
}

test("state publisher: a new follower gets all assignments, and one that is up to date gets nothing", (t) => {
  const { publisher, holder, report, sent, advanceHolder } = createPublisher();
  advanceHolder(0);
  publisher.advance(holder, 0);
  publisher.reportReceived(holder, "f", report(0), 10);
  t.deepEqual(sent().map(({ kind }) => kind), ["assignments.told"]);
  advanceHolder(20);
  publisher.advance(holder, 20);
  t.deepEqual(sent().map(({ kind }) => kind), ["assignments.changed"]);
  publisher.reportReceived(holder, "f", report(holder.version), 30);
  t.deepEqual(sent(), []);
});

test("state publisher: a follower that missed a change gets only that change", (t) => {
  const { publisher, holder, report, sent, advanceHolder } = createPublisher();
  advanceHolder(0);
  publisher.advance(holder, 0);
  const before = holder.version;
  publisher.reportReceived(holder, "f", report(before), 10);
  advanceHolder(20);
  publisher.advance(holder, 20);
  sent();
  publisher.reportReceived(holder, "f", report(before), 50);
  t.deepEqual(sent(), [], "the change is in transit");
  publisher.reportReceived(holder, "f", report(before), 500);
  const [message] = sent();
  t.is(message.kind, "assignments.changed");
  if (message.kind === "assignments.changed") t.is(message.since, before);
});

test("state publisher: a configuration is sent immediately to receivers of store updates", (t) => {
  const { clusterState, publisher, holder, report, sent, advanceHolder } =
    createPublisher();
  advanceHolder(0);
  publisher.advance(holder, 0);
  publisher.reportReceived(holder, "receiver", report(holder.version), 10);
  publisher.reportReceived(holder, "reader", report(holder.version), 10);
  sent();
  clusterState.configure(emptyConfiguration(2), "store", 0);
  const updated = { ...report(holder.version), isTold: true };
  publisher.reportReceived(holder, "receiver", updated, 20);
  t.deepEqual(sent().map(({ kind }) => kind), ["configuration.told"]);
  // The other follower's own read of the store is still pending.
  publisher.reportReceived(holder, "reader", report(holder.version), 30);
  t.deepEqual(sent(), []);
});

test("state publisher: the successor is announced once to receivers of store updates", (t) => {
  const { publisher, holder, report } = createPublisher();
  publisher.reportReceived(holder, "f", { ...report(0), isTold: true }, 10);
  publisher.reportReceived(holder, "reader", report(0), 10);
  const successor = { term: 2, vm: "w", address: "next:1", fitness: 1 };
  const messages = publisher.announceSuccessor(successor);
  t.deepEqual(messages.map(({ address }) => address), ["f"]);
  t.is(messages[0].message.kind, "holder.changed");
  t.deepEqual(publisher.announceSuccessor(successor), []);
});

test("state publisher: latencies of a previous incarnation do not count for the new one", (t) => {
  const { clusterState, publisher, holder, report } = createPublisher();
  const { fleet, registry } = clusterState;
  const previous = fleet.get("i-0")!.entry;
  const restarted = { ...previous, incarnation: 100 };
  const register = (position: number, entry: BackendServer) => {
    const entries = [entry];
    registry.applyRead({
      entries,
      removed: [],
      unreadable: [],
      isWhole: false,
      position,
    }, 0);
    fleet.apply(entries, [], 0);
  };
  register(5, previous);
  register(7, restarted);
  const reportLatency = (position: number | null) =>
    publisher.reportReceived(holder, "f", {
      ...report(0),
      latencies: [{ server: "i-0", mean: 900, count: 3 }],
      position,
    }, 10);
  reportLatency(6);
  reportLatency(null);
  t.is(fleet.get("i-0")!.latency, null);
  t.is(fleet.get("i-0")!.lastSeenAt, -Infinity);
  reportLatency(7);
  t.is(fleet.get("i-0")!.latency, 900);
});

/**
 * Guards against saturating the holder's link with repeated assignments. After
 * a restart of all 72 VMs, every report was answered with all assignments,
 * about 10 kB. By this size, reports every 500 ms take at least 6 Mbit/s of the
 * holder's 10 Mbit/s, urgent reports several times that. Each holder had no
 * answer to hundreds of orders in 1.5 s, followers received nothing, and eleven
 * VMs of low fitness held the term for 2 s each. The repeated assignments were
 * not shown to be the only cause.
 */
test("state publisher: all assignments are repeated to a follower only after a delay", (t) => {
  const { publisher, holder, report, sent, advanceHolder } = createPublisher();
  advanceHolder(0);
  publisher.advance(holder, 0);
  const sentTimes: number[] = [];
  for (let now = 10; now <= 2_000; now += 60) {
    publisher.reportReceived(holder, "f", report(0), now);
    if (sent().length > 0) sentTimes.push(now);
  }
  t.deepEqual(sentTimes, [10, 910, 1_810]);
});

test("state publisher: a restarted follower gets all assignments immediately", (t) => {
  const { publisher, holder, report, sent, advanceHolder } = createPublisher();
  advanceHolder(0);
  publisher.advance(holder, 0);
  const countSent = (sentAt: number, now: number) => {
    publisher.reportReceived(holder, "f", { ...report(0), sentAt }, now);
    return sent().length;
  };
  t.is(countSent(5_000, 10), 1);
  t.is(countSent(5_060, 70), 0);
  t.is(countSent(400, 600), 1);
  t.is(countSent(460, 660), 0);
});

test("state publisher: followers without the new term get it immediately", (t) => {
  const { publisher, holder, report, sent, advanceHolder } = createPublisher();
  advanceHolder(0);
  publisher.advance(holder, 0);
  publisher.reportReceived(holder, "f", report(0), 10);
  publisher.reportReceived(holder, "g", report(0), 20);
  t.deepEqual(sent().map(({ kind }) => kind), [
    "assignments.told",
    "assignments.told",
  ]);
});

test("state publisher: reports between two publications wait for the next one", (t) => {
  const { publisher, holder, report, sent, advanceHolder } = createPublisher();
  for (let i = 0; i < 90; i++) {
    publisher.reportReceived(holder, `f-${i}`, report(0), 0);
  }
  publisher.advance(holder, 0);
  sent();
  advanceHolder(10);
  publisher.reportReceived(holder, "f-0", report(0), 20);
  t.deepEqual(sent(), []);
  advanceHolder(30);
  publisher.advance(holder, 100);
  t.true(sent().length >= 90);
});

// Guards against sending the configuration again after every report of a
// follower with a slow link before the first copy has arrived. The copies kept
// the link full and delayed the holder's answers until the follower assumed
// that the holder had failed.
test("state publisher: a configuration in transit is not sent again", (t) => {
  const { clusterState, publisher, holder, report, sent } = createPublisher();
  clusterState.configure(emptyConfiguration(2), "store", 0);
  const isSent = (sentAt: number) => {
    const outdated = { ...report(0), isTold: true, sentAt };
    publisher.reportReceived(holder, "f", outdated, sentAt);
    return sent().some(({ kind }) => kind === "configuration.told");
  };
  t.deepEqual([isSent(0), isSent(500), isSent(1_000)], [true, false, true]);
  // A restarted process lacks the configuration, and its clock starts again.
  t.true(isSent(20));
});

test("state publisher: a follower that lacks the configuration for some time gets it", (t) => {
  const { clusterState, publisher, holder, report, sent } = createPublisher();
  const limits = {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerTimeout: 1,
    idleTimeout: 1,
  };
  clusterState.configure(
    { version: 7, routes: [], services: [], limits },
    "store",
    0,
  );
  publisher.reportReceived(holder, "f", report(0), 0);
  t.false(sent().some(({ kind }) => kind === "configuration.told"));
  publisher.reportReceived(holder, "f", report(0), 500);
  t.true(sent().some(({ kind }) => kind === "configuration.told"));
  publisher.reportReceived(
    holder,
    "f",
    { ...report(0), configuration: 7 },
    1_000,
  );
  t.false(sent().some(({ kind }) => kind === "configuration.told"));
});

// A report of an older version has no demand.
test("state publisher: with schedulesReturns, answers have the returns to an overloaded service", (t) => {
  const returnsWith = (schedulesReturns: boolean) => {
    const { clusterState, publisher, holder, report } = createPublisher({
      ...NO_FEATURES,
      admitsByPriority: true,
      schedulesReturns,
    });
    clusterState.configure(
      {
        ...emptyConfiguration(1),
        services: [{ name: "s", maximumConnections: 9, isKeyed: false }],
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
      },
      "store",
      0,
    );
    // 40 servers with 6 slots run 800 requests a second.
    const samples = [{ server: "i-0", mean: 300, count: 1 }];
    clusterState.fleet.addPeerSamples(samples, "f", 0);
    publisher.advance(holder, 0);
    for (let now = 500; now <= 5_000; now += 500) {
      const arrived = now <= 4_000 ? 300 : 600;
      const demand = [
        { service: "s", priority: 2, arrived, returned: 0, refused: 0 },
      ];
      const received = { ...report(0), demand, sentAt: now };
      publisher.reportReceived(holder, "f", received, now);
      publisher.reportReceived(holder, "older", report(0), now);
      publisher.advance(holder, now + 200);
    }
    return publisher.admissions(5_200);
  };
  const [admission] = returnsWith(true);
  t.like(admission, { service: "s", wait: 0 });
  t.deepEqual(admission.returns?.map(({ priority }) => priority), [2]);
  t.true(admission.threshold !== undefined);
  t.deepEqual(returnsWith(false).map(({ returns }) => returns), [undefined]);
});
