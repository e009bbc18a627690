import test from "ava";
import { backendServer } from "../../../test/support/backend_server.ts";
import { Fleet } from "../fleet/index.ts";
import { RelayGate, type RelayRequest } from "./relay_gate.ts";

/** Creates a gate for the server `s` at `s:1`. */
function createGate() {
  const fleet = Fleet.create();
  fleet.apply([backendServer("s", { address: "s:1" })], [], 0);
  const gate = RelayGate.create(fleet);
  let count = 0;
  const request = (overrides: Partial<RelayRequest> = {}): RelayRequest => {
    count += 1;
    return {
      connection: count,
      vm: "vm-1",
      server: "s",
      address: "s:1",
      lateness: 0,
      ...overrides,
    };
  };
  /** Requests a connection; returns why it is refused, or `opened`. */
  const ask = (
    overrides: Partial<RelayRequest> = {},
    reachesServers = true,
    isStopping = false,
  ) => {
    const decision = gate.requested(
      request(overrides),
      reachesServers,
      isStopping,
    );
    return decision.kind === "relay.open" ? "opened" : decision.reason;
  };
  return { gate, ask };
}

test("relay gate: a connection to a listed server is opened and counted until it ends", (t) => {
  const { gate, ask } = createGate();
  t.is(ask(), "opened");
  t.is(gate.connections, 1);
  t.deepEqual(gate.users, ["vm-1"]);
  gate.ended(1);
  t.is(gate.connections, 0);
});

// Guards against circles: two VMs that each take the other for connected.
test("relay gate: a VM that does not reach the servers itself refuses", (t) => {
  t.is(createGate().ask({}, false), "isolated");
});

test("relay gate: a VM that stops or has no processor time to spare refuses", (t) => {
  const { gate, ask } = createGate();
  t.is(ask({}, true, true), "stopping");
  t.is(ask({ lateness: 500 }), "busy");
  t.is(gate.connections, 0);
});

test("relay gate: bad input, a server or address that is not listed is refused", (t) => {
  const { ask } = createGate();
  t.is(ask({ server: "other" }), "unknown_server");
  t.is(ask({ address: "s:22" }), "unknown_server");
  t.is(ask({ server: "", address: "" }), "unknown_server");
});

test("relay gate: the connections of one VM and of all are bounded", (t) => {
  const { gate, ask } = createGate();
  for (let i = 0; i < 256; i++) t.is(ask(), "opened");
  t.is(ask(), "busy");
  t.is(ask({ vm: "vm-2" }), "opened");
  for (let vm = 3; vm < 10; vm++) {
    for (let i = 0; i < 256; i++) ask({ vm: `vm-${vm}` });
  }
  t.is(gate.connections, 1_024);
});
