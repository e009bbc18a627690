/**
 * Guards against admissions that are computed but do not reach the VMs, and
 * against a VM that applies them without the feature.
 */
import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { fingerprintOf } from "../../../test/support/fingerprint.ts";
import { createSteppedEntry } from "../../../test/support/stepped_entry.ts";
import { configurationSchema } from "../catalog/index.ts";
import { ClusterState } from "../cluster_state.ts";
import type { EntryEffect } from "../entry_effect.ts";
import { NO_FEATURES } from "../features.ts";
import {
  KeyLoads,
  leaseTimingSchema,
  TermCampaign,
  TermHolder,
} from "../keyspace/index.ts";
import type { MessageOf, PriorityDemand } from "../peers/index.ts";
import { RelayRoster } from "../reach/index.ts";
import { StoreHealth } from "../store_health.ts";
import { RetryShares } from "./retry_shares.ts";
import { StatePublisher } from "./state_publisher.ts";

const HOLDER = "holder:1";
const FEATURES = { ...NO_FEATURES, admitsByPriority: true };
const CONFIGURATION = configurationSchema.parse({
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
    timeout: 1_000,
    targetLatency: 500,
    maximumAttempts: 2,
    priority: 2,
  }],
});
const STATE = { term: 1, version: 1, configuration: 1 };

/** Creates a VM that follows a holder, with or without the feature. */
function createFollower(features = FEATURES) {
  const { step } = createSteppedEntry({ features });
  step(0, { kind: "configuration.read", configuration: CONFIGURATION });
  const read = {
    entries: [backendServer("s-1", { address: "h:1", slots: 50 })],
    removed: [],
    unreadable: [],
    isWhole: true,
    position: 5,
  };
  step(0, { kind: "servers.read", read, sentAt: 0 });
  const holder = { term: 1, vm: "v", address: HOLDER, fitness: 1 };
  step(0, { kind: "holder.announced", holder });
  let exchange = 0;
  /** Whether a new request is sent to a server. */
  const isSent = (now: number): boolean => {
    exchange += 1;
    const arrival = {
      exchange,
      id: `r-${exchange}`,
      host: "h",
      target: "/",
      timeout: 1_000,
      key: null,
      fingerprint: fingerprintOf("/"),
    };
    return step(now, { kind: "request.arrived", arrival })
      .some(({ kind }) => kind === "attempt.start");
  };
  const answer = (
    now: number,
    fields: Partial<MessageOf<"holder.alive">>,
  ) => {
    const message = {
      kind: "holder.alive" as const,
      ...STATE,
      vms: 2,
      fittest: 1,
      registry: null,
      ...fields,
    };
    step(now, { kind: "peer.received", address: HOLDER, message });
  };
  const reports = (now: number) =>
    step(now, { kind: "timer" }).flatMap((each) =>
      each.kind === "peer.send" && each.message.kind === "keys.asked"
        ? [each.message]
        : []
    );
  return { isSent, answer, reports };
}

const ADMISSIONS = [{ service: "s", threshold: 2, wait: 0 }];

test("admission exchange: a follower applies the holder's admissions", (t) => {
  const { isSent, answer, reports } = createFollower();
  t.true(isSent(10));
  answer(20, { admissions: ADMISSIONS });
  t.false(isSent(30));
  t.is(reports(30 + 60).length, 1, "reports more often");
  // An older holder sends answers without the field.
  answer(100, {});
  t.true(isSent(110));
  answer(200, { admissions: ADMISSIONS });
  t.false(isSent(1_400));
  t.true(isSent(1_401), "no answer for 1.2 s");
});

test("admission exchange: a report contains the demand only with the feature", (t) => {
  const { isSent, reports } = createFollower();
  isSent(10);
  isSent(20);
  t.deepEqual(reports(600)[0].demand, [
    { service: "s", priority: 2, arrived: 2, returned: 0, refused: 0 },
  ]);
  const without = createFollower(NO_FEATURES);
  without.isSent(10);
  t.is(without.reports(600)[0].demand, undefined);
  without.answer(610, { admissions: ADMISSIONS });
  t.true(without.isSent(620));
});

/** Creates the publisher of a holder of 4 servers that run 400 requests/s. */
function createPublisher(features = FEATURES) {
  const effects: EntryEffect[] = [];
  const clusterState = ClusterState.create(
    (...some) => effects.push(...some),
    undefined,
    undefined,
    features,
  );
  const { fleet } = clusterState;
  const servers = [1, 2, 3, 4].map((n) =>
    backendServer(`s-${n}`, { slots: 5 })
  );
  fleet.apply(servers, [], 0);
  fleet.addPeerSamples(
    servers.map(({ id }) => ({ server: id, mean: 50, count: 20 })),
    "f",
    0,
  );
  const loads = KeyLoads.create();
  const timing = leaseTimingSchema.parse({});
  const campaign = TermCampaign.create(timing, fleet, loads, 1);
  const holder = TermHolder.create(1, [], timing, fleet, loads, () => 1, 0);
  const publisher = StatePublisher.create(
    clusterState,
    campaign,
    loads,
    StoreHealth.create(),
    (...some) => effects.push(...some),
    RelayRoster.create(),
    RetryShares.create(10, () => null),
  );
  const demand = (priority: number, arrived: number): PriorityDemand => (
    { service: "s", priority, arrived, returned: 0, refused: 0 }
  );
  /** Advances to `now`, with a report of 480 requests/s if it is due. */
  const advance = (now: number): MessageOf<"holder.alive">[] => {
    if (now % 200 === 0) {
      publisher.reportReceived(holder, "f", {
        kind: "keys.asked",
        ...STATE,
        samples: [],
        latencies: [],
        position: null,
        sentAt: now,
        fitness: 1,
        demand: [demand(0, 60), demand(2, 36)],
      }, now);
    }
    publisher.advance(holder, now);
    return effects.splice(0).flatMap((each) =>
      each.kind === "peer.send" && each.message.kind === "holder.alive"
        ? [each.message]
        : []
    );
  };
  return { advance, clusterState };
}

test("admission exchange: the holder sends a new threshold at once and with its answers", (t) => {
  const { advance, clusterState } = createPublisher();
  let sentAt = Infinity;
  for (let now = 0; now <= 1_000; now += 50) {
    for (const { admissions = [], answersTo } of advance(now)) {
      const [admission] = admissions;
      if (admission?.threshold === undefined) continue;
      if (answersTo === undefined) sentAt = Math.min(sentAt, now);
      // 380 of 400 requests/s are admitted: 300 of priority 0, 80 of 180.
      t.true(Math.abs(admission.threshold - (2 + 80 / 180)) < 0.01);
    }
  }
  t.is(sentAt, 500, "a new holder limits nothing for 0.5 s");
  t.is(clusterState.admission.current(1_000).length, 1, "its own requests");
});

test("admission exchange: a holder without the feature sends no admissions", (t) => {
  const { advance } = createPublisher(NO_FEATURES);
  for (let now = 0; now <= 1_000; now += 50) {
    t.true(advance(now).every(({ admissions }) => admissions === undefined));
  }
});
