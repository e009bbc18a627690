import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import {
  deliver,
  messageCollector,
} from "../../../test/support/peer_messages.ts";
import { ClusterState } from "../cluster_state.ts";
import type { PeerSend } from "../peers/index.ts";
import { TokenExchange } from "./token_exchange.ts";

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
      emit,
      address,
      () => 3,
      () => 0.5,
    );
    clusterState.acceptHolder({ term: 1, vm: "h", address: "h", fitness: 1 });
    exchange.follow("h", 0);
    exchange.holderAnswered(true);
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
