import test from "ava";
import { RelayChoice } from "./relay_choice.ts";

const SERVERS = Array.from({ length: 40 }, (_, i) => `i-${i}`);

/** Creates a choice among `count` VMs. */
function createChoice(count: number): RelayChoice {
  const choice = RelayChoice.create();
  choice.replace(Array.from({ length: count }, (_, i) => `vm-${i}:1`));
  return choice;
}

test("relay choice: servers are spread over all VMs, and each keeps its VM", (t) => {
  const choice = createChoice(4);
  const relays = SERVERS.map((server) => choice.choose(server, 0));
  t.is(new Set(relays).size, 4);
  t.deepEqual(SERVERS.map((server) => choice.choose(server, 100)), relays);
  // Only the servers of the VM that is gone get another one.
  choice.remove("vm-0:1");
  const after = SERVERS.map((server) => choice.choose(server, 200));
  t.true(
    after.every((relay, i) => relay === relays[i] || relays[i] === "vm-0:1"),
  );
});

test("relay choice: a VM that could not be used is paused, for longer each time", (t) => {
  const choice = createChoice(1);
  const pauses: number[] = [];
  let now = 0;
  for (let i = 0; i < 6; i++) {
    choice.failed("vm-0:1", now);
    const since = now;
    while (choice.choose("i-1", now) === null) now += 100;
    pauses.push(now - since);
  }
  t.deepEqual(pauses, [500, 1_000, 2_000, 2_000, 2_000, 2_000]);
});

test("relay choice: a response through a VM ends its pause", (t) => {
  const choice = createChoice(1);
  choice.started("a", "vm-0:1", 100, 0);
  choice.failed("vm-0:1", 10);
  t.is(choice.choose("i-1", 20), null);
  choice.answered("a", 30);
  t.is(choice.choose("i-1", 40), "vm-0:1");
});

// Guards against requests that are sent through a VM that has ended without a
// sign.
test("relay choice: a VM without a response to overdue requests is paused, unless others arrive", (t) => {
  const choice = createChoice(1);
  choice.started("a", "vm-0:1", 50, 0);
  choice.started("b", "vm-0:1", 50, 0);
  choice.answered("b", 300);
  choice.advance(400);
  t.is(choice.choose("i-1", 400), "vm-0:1");
  choice.started("c", "vm-0:1", 50, 1_000);
  choice.advance(1_399);
  t.is(choice.choose("i-1", 1_399), "vm-0:1");
  choice.advance(1_400);
  t.is(choice.choose("i-1", 1_400), null);
});

test("relay choice: the time of a stall does not make requests overdue", (t) => {
  const choice = createChoice(1);
  choice.started("a", "vm-0:1", 50, 0);
  choice.processStalled(2_000);
  choice.advance(2_100);
  t.is(choice.choose("i-1", 2_100), "vm-0:1");
});

test("relay choice: without VMs there is none", (t) => {
  const choice = RelayChoice.create();
  t.true(choice.isEmpty);
  choice.failed("vm-9:1", 0);
  t.is(choice.choose("i-1", 0), null);
});
