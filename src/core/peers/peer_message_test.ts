import test from "ava";
import { peerMessageSchema } from "./peer_message.ts";

const STATE = { term: 1, version: 1, configuration: 1 };
const ANSWER = {
  kind: "holder.alive",
  ...STATE,
  vms: 2,
  fittest: 1,
  registry: null,
};
const REPORT = {
  kind: "keys.asked",
  ...STATE,
  samples: [],
  latencies: [],
  position: null,
  sentAt: 0,
  fitness: 1,
};

test("messages: the VMs that reach the servers may be absent, as in older versions", (t) => {
  t.true(peerMessageSchema.safeParse(ANSWER).success);
  t.true(peerMessageSchema.safeParse(REPORT).success);
  const answer = { ...ANSWER, relays: ["10.0.0.1:80"] };
  t.like(peerMessageSchema.parse(answer), { relays: ["10.0.0.1:80"] });
  const report = { ...REPORT, relayZone: "a" };
  t.like(peerMessageSchema.parse(report), { relayZone: "a" });
});

/** Values that are none of the VMs or of a zone. */
const BAD_VALUES: [string, object][] = [
  ["relays that are text", { ...ANSWER, relays: "10.0.0.1:80" }],
  ["relays that are numbers", { ...ANSWER, relays: [1] }],
  ["too many relays", { ...ANSWER, relays: Array(17).fill("10.0.0.1:80") }],
  ["a relay that is too long", { ...ANSWER, relays: ["x".repeat(256)] }],
  ["a zone that is a number", { ...REPORT, relayZone: 7 }],
  ["a zone that is too long", { ...REPORT, relayZone: "x".repeat(256) }],
  ["a closing without the sender's state", { kind: "relay.closing" }],
];

for (const [name, message] of BAD_VALUES) {
  test(`messages: bad input, ${name}: the message is rejected with a short error`, (t) => {
    const result = peerMessageSchema.safeParse(message);
    t.false(result.success);
    t.true(JSON.stringify(result.error!.issues).length < 2_000);
  });
}
