import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import {
  deliver,
  messageCollector,
} from "../../../test/support/peer_messages.ts";
import { ClusterState } from "../cluster_state.ts";
import { configurationSchema } from "../catalog/index.ts";
import type { PeerSend } from "../peers/index.ts";
import { createUniformGenerator } from "../random.ts";
import { ServerLimits } from "../rates/index.ts";
import { TokenExchange, type TokenMessage } from "./token_exchange.ts";

/** Time between two tokens of the server, in milliseconds. */
const TOKEN_INTERVAL = 200;
/** When the buckets, which are empty at time 0, are full, in milliseconds. */
const FULL_AT = 2_000;

/**
 * Creates VMs that follow the holder `h` from time 0 and know a server that is
 * limited to five requests per second.
 */
function createVms(addresses: readonly string[]) {
  return addresses.map((address) => {
    const sent: PeerSend[] = [];
    const emit = messageCollector(sent);
    const clusterState = ClusterState.create(emit);
    clusterState.fleet.apply([backendServer("s")], [], 0);
    const server = clusterState.fleet.get("s")!;
    server.rateLimit.applyResponse(1_000 / TOKEN_INTERVAL, 0, 0);
    const exchange = TokenExchange.create(
      clusterState,
      ServerLimits.create(clusterState.catalog),
      () => address === "h" ? 1 : null,
      emit,
      address,
      () => 3,
      () => 0.5,
    );
    clusterState.acceptHolder({ term: 1, vm: "h", address: "h", fitness: 1 });
    exchange.holderChanged();
    exchange.holderAnswered(true);
    exchange.advance(0);
    const check = (now: number) =>
      exchange.tokens.check(server, true, now).kind;
    return { address, exchange, sent, server, check };
  });
}

test("token exchange: all VMs combined use the rate limit and stay within it", (t) => {
  const vms = createVms(["h", "a", "b"]);
  let sent = 0;
  for (let now = FULL_AT; now < FULL_AT + 4_000; now += 10) {
    for (const vm of vms) {
      const kind = vm.check(now);
      deliver(vms, now);
      if (kind !== "ready" && vm.check(now) !== "ready") continue;
      vm.exchange.tokens.requestSent(vm.server, now);
      sent += 1;
    }
  }
  t.true(sent >= 4_000 / TOKEN_INTERVAL, `${sent}`);
  t.true(sent <= 4_000 / TOKEN_INTERVAL + 4, `${sent}`);
});

test("token exchange: an answer that is not from the holder is ignored", (t) => {
  const vms = createVms(["h", "a", "b"]);
  const [, a, b] = vms;
  t.is(a.check(FULL_AT), "asked");
  a.exchange.receive("b", {
    kind: "token.told",
    term: 0,
    version: 0,
    configuration: -1,
    server: "s",
    isGranted: true,
    left: 0,
  }, FULL_AT);
  t.is(a.check(FULL_AT + 1), "asked");
  t.deepEqual(b.sent, []);
});

// Guards against a holder of an older version closing the connection on a
// message of unknown kind.
test("token exchange: no token is requested from a holder without token support", (t) => {
  const [a] = createVms(["a"]);
  a.exchange.holderAnswered(false);
  t.not(a.check(FULL_AT), "asked");
  t.deepEqual(a.sent, []);
});

/** Rate of a cold server, in requests per second. */
const RATES = [1, 3.6, 4.3, 4.7, 20, 100];
const WARM_UP = 8_000;
/** Largest delay of a message, in milliseconds. */
const MAXIMUM_DELAY = 300;

/** A VM of a deployment with one cold server, which it discovers at a time. */
function createColdVm(
  address: string,
  requestsPerSecond: number,
  discoversAt: number,
  authorityTerm: (address: string, now: number) => number | null,
  draw: () => number,
) {
  const sent: PeerSend[] = [];
  const emit = messageCollector(sent);
  const clusterState = ClusterState.create(emit);
  const service = {
    name: "s",
    maximumConnections: 9,
    isKeyed: false,
    warmUp: { duration: WARM_UP, requestsPerSecond },
  };
  clusterState.catalog.apply(configurationSchema.parse({
    version: 1,
    routes: [],
    services: [service],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  }));
  const entry = backendServer("s", { warmUp: WARM_UP });
  clusterState.fleet.apply([entry], [], discoversAt);
  const exchange = TokenExchange.create(
    clusterState,
    ServerLimits.create(clusterState.catalog),
    (now) => authorityTerm(address, now),
    emit,
    address,
    () => null,
    draw,
  );
  const follow = (holder: string, term: number) => {
    clusterState.acceptHolder({
      term,
      vm: holder,
      address: holder,
      fitness: 1,
    });
    exchange.holderChanged();
    exchange.holderAnswered(true);
  };
  const server = clusterState.fleet.get("s")!;
  return { address, exchange, sent, server, discoversAt, follow };
}

interface ColdSituation {
  vms: number;
  requestsPerSecond: number;
  seed: number;
  /** Requests per second of all callers at a time. */
  demand: (now: number) => number;
  discoversAt: (vm: number) => number;
  /** Whether a VM does not run at a time. */
  isPaused: (vm: number, now: number) => boolean;
  /** When the term passes to the second VM, in milliseconds. */
  holderChangesAt: number;
}

/** Times at which VMs send to a cold server, each as often as it may. */
function coldSends(situation: ColdSituation): number[] {
  const { vms: count, requestsPerSecond, seed, holderChangesAt } = situation;
  const draw = createUniformGenerator(seed);
  // The authority of the first holder ends before that of the second begins.
  const authorityTerm = (address: string, now: number) => {
    if (address === "0") return now < holderChangesAt ? 1 : null;
    return address === "1" && now > holderChangesAt + 100 ? 2 : null;
  };
  const vms = Array.from({ length: count }, (_, i) =>
    createColdVm(
      `${i}`,
      requestsPerSecond,
      situation.discoversAt(i),
      authorityTerm,
      draw,
    ));
  for (const vm of vms) vm.follow("0", 1);
  const inTransit: { at: number; from: string; send: PeerSend }[] = [];
  const times: number[] = [];
  let arrivals = 0;
  for (let now = 0; now < WARM_UP; now += 5) {
    for (const { at, from, send } of inTransit.splice(0)) {
      const to = Number(send.address);
      if (at > now || situation.isPaused(to, now)) {
        inTransit.push({ at, from, send });
        continue;
      }
      vms[to].exchange.receive(from, send.message as TokenMessage, now);
    }
    for (const [i, vm] of vms.entries()) {
      const learnsAt = holderChangesAt + 5 * i;
      if (count > 1 && now >= learnsAt && now < learnsAt + 5) vm.follow("1", 2);
    }
    arrivals += situation.demand(now) * 5 / 1_000;
    for (; arrivals >= 1; arrivals -= 1) {
      const i = Math.floor(draw() * count);
      const { exchange, server, discoversAt } = vms[i];
      if (now < discoversAt || situation.isPaused(i, now)) continue;
      if (exchange.tokens.check(server, true, now).kind !== "ready") continue;
      exchange.tokens.requestSent(server, now);
      times.push(now);
    }
    for (const { address, sent } of vms) {
      for (const send of sent.splice(0)) {
        const at = now + MAXIMUM_DELAY * draw() ** 4;
        inTransit.push({ at, from: address, send });
      }
    }
  }
  return times;
}

function mostPerSecond(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

const COLD_SITUATIONS: Record<string, Partial<ColdSituation>> = {
  "discovered at the same time": {},
  "discovered one after another": { discoversAt: (vm) => 25 * vm },
  "without requests for a while": {
    demand: (now) => now < 500 || now > 4_000 ? 5_000 : 0,
  },
  "while VMs are paused": {
    isPaused: (vm, now) => vm % 3 === 2 && now > 1_000 && now < 4_000,
  },
  "while the term holder changes": { holderChangesAt: 3_000 },
  "while VMs are paused and the term holder changes": {
    isPaused: (vm, now) => vm % 3 === 2 && now > 1_000 && now < 3_200,
    holderChangesAt: 3_000,
  },
};

// Guards against more requests to a cold server than operators permit, which
// are few compared with the number of VMs.
for (const [name, situation] of Object.entries(COLD_SITUATIONS)) {
  test(`token exchange: all VMs combined stay within the rate of a cold server: ${name}`, (t) => {
    for (const vms of [4, 11, 61, 195, 300]) {
      for (const requestsPerSecond of RATES) {
        const times = coldSends({
          vms,
          requestsPerSecond,
          seed: vms,
          demand: () => 5_000,
          discoversAt: () => 0,
          isPaused: () => false,
          holderChangesAt: Infinity,
          ...situation,
        });
        const most = mostPerSecond(times);
        t.true(
          most <= requestsPerSecond * 1.5 + 8,
          `${vms} VMs, ${requestsPerSecond}: ${most} in a second`,
        );
        t.true(times.length > 0, `${vms} VMs, ${requestsPerSecond}`);
      }
    }
  });
}

// Guards against a cold server that is idle although callers need it.
test("token exchange: the rate of a cold server is used", (t) => {
  for (const vms of [4, 11, 61, 195, 300]) {
    const times = coldSends({
      vms,
      requestsPerSecond: 4.3,
      seed: 1,
      demand: () => 5 * vms,
      discoversAt: () => 0,
      isPaused: () => false,
      holderChangesAt: Infinity,
    });
    const use = times.length / (4.3 * WARM_UP / 1_000);
    t.true(use >= 0.7, `${vms} VMs: ${use} of the rate`);
  }
});

test("token exchange: no tokens for cold servers are granted without authority", (t) => {
  const [a] = [
    createColdVm("0", 4.3, 0, () => null, () => 0.5),
  ];
  a.follow("0", 1);
  for (let now = 0; now < WARM_UP; now += 50) {
    t.is(a.exchange.tokens.check(a.server, true, now).kind, "denied");
  }
});
