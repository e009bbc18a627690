import test from "ava";
import {
  deliver,
  messageCollector,
} from "../../../test/support/peer_messages.ts";
import { ClusterState } from "../cluster_state.ts";
import type { PeerSend } from "../peers/index.ts";
import { MAXIMUM_PERMIT_DURATION } from "../quarantine/index.ts";
import { PermitExchange, type PermitMessage } from "./permit_exchange.ts";

const REQUEST = "fingerprint";
/** Time from which the issuer issues permits, in milliseconds. */
const ISSUING_FROM = MAXIMUM_PERMIT_DURATION;

interface Vm {
  address: string;
  exchange: PermitExchange;
  sent: PeerSend[];
}

/** Creates VMs that follow the VM `holder` from time 0. */
function createVms(holder: string, addresses: readonly string[]): Vm[] {
  return addresses.map((address) => {
    const sent: PeerSend[] = [];
    const emit = messageCollector(sent);
    const clusterState = ClusterState.create(emit);
    const exchange = PermitExchange.create(clusterState, emit, address);
    const holderAddress = { term: 1, vm: holder, address: holder, fitness: 1 };
    clusterState.acceptHolder(holderAddress);
    exchange.follow(holder, 0);
    return { address, exchange, sent };
  });
}

/** Returns the kind of the permission of a copy that is to run for 800 ms. */
function check({ exchange }: Vm, copy: string, now: number): string {
  return exchange.permits.check(REQUEST, copy, 800, now).kind;
}

test("permit exchange: copies on the holder and on two other VMs run one at a time", (t) => {
  const vms = createVms("h", ["h", "a", "b"]);
  const [holder, a, b] = vms;
  t.is(check(a, "1", ISSUING_FROM), "asked");
  deliver(vms, ISSUING_FROM + 2);
  t.is(check(a, "1", ISSUING_FROM + 3), "granted");
  t.is(check(holder, "2", ISSUING_FROM + 4), "denied");
  t.is(check(b, "3", ISSUING_FROM + 4), "asked");
  deliver(vms, ISSUING_FROM + 5);
  t.is(check(b, "3", ISSUING_FROM + 6), "denied");
  a.exchange.permits.copyEnded(REQUEST, "1", false);
  deliver(vms, ISSUING_FROM + 10);
  t.is(check(holder, "4", ISSUING_FROM + 300), "granted");
});

test("permit exchange: only the announced holder issues valid permits", (t) => {
  const vms = createVms("h", ["h", "a", "b"]);
  const [, a, b] = vms;
  check(a, "1", ISSUING_FROM);
  const [request] = a.sent.splice(0);
  // A VM that is not the holder denies, and a grant from it is ignored.
  b.exchange.receive("a", request.message as PermitMessage, ISSUING_FROM);
  const [answer] = b.sent.splice(0);
  t.like(answer.message, { kind: "permit.told", isGranted: false });
  const grant = { ...answer.message, isGranted: true } as PermitMessage;
  a.exchange.receive("b", grant, ISSUING_FROM + 1);
  t.is(check(a, "1", ISSUING_FROM + 2), "asked");
});

test("permit exchange: copies are denied without a holder or without its answer", (t) => {
  const clusterState = ClusterState.create(() => {});
  const alone = PermitExchange.create(clusterState, () => {}, "a");
  t.is(alone.permits.check(REQUEST, "1", 800, ISSUING_FROM).kind, "denied");
  const [a] = createVms("unreachable", ["a"]);
  t.is(check(a, "1", ISSUING_FROM), "asked");
  t.is(check(a, "1", ISSUING_FROM + 250), "denied");
});

test("permit exchange: a new holder issues no permits until earlier ones have expired", (t) => {
  const vms = createVms("h", ["h", "a"]);
  const [holder, a] = vms;
  t.is(check(holder, "1", ISSUING_FROM), "granted");
  a.exchange.follow("a", ISSUING_FROM + 10);
  holder.exchange.follow("a", ISSUING_FROM + 10);
  a.exchange.receive("h", {
    kind: "permit.asked",
    term: 1,
    version: 0,
    configuration: -1,
    request: REQUEST,
    duration: 800,
  }, ISSUING_FROM + 500);
  t.like(a.sent[0].message, { isGranted: false });
});
