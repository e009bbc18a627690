import test from "ava";
import {
  deliver,
  messageCollector,
} from "../../../test/support/peer_messages.ts";
import { Beliefs } from "../beliefs.ts";
import type { PeerSend } from "../peers/index.ts";
import { LONGEST_PERMIT } from "../quarantine/index.ts";
import { PermitExchange, type PermitMessage } from "./permit_exchange.ts";

const REQUEST = "fingerprint";
/** When the issuer's first permit is due. */
const OPEN_AT = LONGEST_PERMIT;

interface Vm {
  address: string;
  exchange: PermitExchange;
  sent: PeerSend[];
}

/** VMs that all follow the one named `holder` from time 0 on. */
function createVms(holder: string, addresses: readonly string[]): Vm[] {
  return addresses.map((address) => {
    const sent: PeerSend[] = [];
    const emit = messageCollector(sent);
    const clusterState = Beliefs.create(emit);
    const exchange = PermitExchange.create(clusterState, emit, address);
    const word = { term: 1, vm: holder, address: holder, fitness: 1 };
    clusterState.followHolder(word);
    exchange.follow(holder, 0);
    return { address, exchange, sent };
  });
}

function check({ exchange }: Vm, copy: string, now: number): string {
  return exchange.permits.check(REQUEST, copy, 800, now).kind;
}

test("permit exchange: copies at the holder and at two others run one at a time", (t) => {
  const vms = createVms("h", ["h", "a", "b"]);
  const [holder, a, b] = vms;
  t.is(check(a, "1", OPEN_AT), "asked");
  deliver(vms, OPEN_AT + 2);
  t.is(check(a, "1", OPEN_AT + 3), "granted");
  t.is(check(holder, "2", OPEN_AT + 4), "denied");
  t.is(check(b, "3", OPEN_AT + 4), "asked");
  deliver(vms, OPEN_AT + 5);
  t.is(check(b, "3", OPEN_AT + 6), "denied");
  a.exchange.permits.ended(REQUEST, "1", false);
  deliver(vms, OPEN_AT + 10);
  t.is(check(holder, "4", OPEN_AT + 300), "granted");
});

test("permit exchange: only the announced holder's word counts, and only it issues", (t) => {
  const vms = createVms("h", ["h", "a", "b"]);
  const [, a, b] = vms;
  check(a, "1", OPEN_AT);
  const [asked] = a.sent.splice(0);
  // A VM that is not the holder denies; another one's grant is not taken.
  b.exchange.receive("a", asked.message as PermitMessage, OPEN_AT);
  const [told] = b.sent.splice(0);
  t.like(told.message, { kind: "permit.told", isGranted: false });
  const forged = { ...told.message, isGranted: true } as PermitMessage;
  a.exchange.receive("b", forged, OPEN_AT + 1);
  t.is(check(a, "1", OPEN_AT + 2), "asked");
});

test("permit exchange: without a holder, or one that answers, copies are refused", (t) => {
  const clusterState = Beliefs.create(() => {});
  const alone = PermitExchange.create(clusterState, () => {}, "a");
  t.is(alone.permits.check(REQUEST, "1", 800, OPEN_AT).kind, "denied");
  const [a] = createVms("gone", ["a"]);
  t.is(check(a, "1", OPEN_AT), "asked");
  t.is(check(a, "1", OPEN_AT + 250), "denied");
});

test("permit exchange: a successor issues nothing before the former one's permits are over", (t) => {
  const vms = createVms("h", ["h", "a"]);
  const [holder, a] = vms;
  t.is(check(holder, "1", OPEN_AT), "granted");
  a.exchange.follow("a", OPEN_AT + 10);
  holder.exchange.follow("a", OPEN_AT + 10);
  a.exchange.receive("h", {
    kind: "permit.asked",
    term: 1,
    version: 0,
    configuration: -1,
    request: REQUEST,
    duration: 800,
  }, OPEN_AT + 500);
  t.like(a.sent[0].message, { isGranted: false });
});
