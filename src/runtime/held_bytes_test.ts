import test from "ava";
import { setImmediate as nextTurn } from "node:timers/promises";
import { HeldBytes, heldLimitsOf, type PressureChange } from "./held_bytes.ts";

const KILOBYTE = 1_024;
const LIMITS = { total: 1_000 * KILOBYTE, connection: 100 * KILOBYTE };

/** Opens a connection; `pauses` collects when it is not to be read from. */
function openConnection(held: HeldBytes) {
  const pauses: boolean[] = [];
  const bytes = held.openConnection((isPaused) => pauses.push(isPaused));
  return { bytes, pauses };
}

test("held bytes: counts requests and responses until they are released", (t) => {
  const held = HeldBytes.create(LIMITS);
  const { bytes } = openConnection(held);
  bytes.receive(100);
  bytes.received(100);
  bytes.add(50);
  const response = held.openResponse(() => t.fail());
  response.add(20);
  t.is(held.held, 170);
  bytes.release(100, false);
  response.end();
  response.add(20);
  response.end();
  t.is(held.held, 50);
  bytes.close();
  bytes.release(50, false);
  t.is(held.held, 0);
});

// Guards against a bound that is in force although none is set.
test("held bytes: without limits nothing is paused, cut off or under pressure", async (t) => {
  const held = HeldBytes.create(null, () => t.fail());
  const { bytes, pauses } = openConnection(held);
  held.openResponse(() => t.fail()).add(2 ** 40);
  bytes.add(2 ** 40);
  await nextTurn();
  t.is(held.held, 2 ** 41);
  t.is(held.share, 0);
  t.deepEqual(pauses, []);
});

test("held bytes: a connection above its limit is paused until half has drained", (t) => {
  const held = HeldBytes.create(LIMITS);
  const { bytes, pauses } = openConnection(held);
  bytes.add(60 * KILOBYTE);
  bytes.add(60 * KILOBYTE);
  t.deepEqual(pauses, [true]);
  bytes.release(60 * KILOBYTE, false);
  t.deepEqual(pauses, [true]);
  bytes.release(60 * KILOBYTE, false);
  t.deepEqual(pauses, [true, false]);
});

// Guards against a request that can never be received to its end, because its
// connection waits for its own bytes to drain.
test("held bytes: a request above the limit of its connection does not pause it", (t) => {
  const held = HeldBytes.create(LIMITS);
  const { bytes, pauses } = openConnection(held);
  bytes.add(10 * KILOBYTE);
  bytes.receive(80 * KILOBYTE);
  t.deepEqual(pauses, []);
  bytes.receive(20 * KILOBYTE);
  t.deepEqual(pauses, [true]);
  // Nothing else is left that could drain.
  bytes.release(10 * KILOBYTE, false);
  t.deepEqual(pauses, [true, false]);
  bytes.receive(200 * KILOBYTE);
  t.deepEqual(pauses, [true, false]);
  bytes.received(300 * KILOBYTE);
  t.deepEqual(pauses, [true, false, true]);
});

// Guards against requests that are refused because of responses that would be
// cut off before the memory ends.
test("held bytes: large responses that are being received are not lasting", (t) => {
  const held = HeldBytes.create(LIMITS);
  const { bytes } = openConnection(held);
  const response = held.openResponse(() => t.fail());
  const shares: [number, number][] = [];
  const record = () => shares.push([held.share, held.lastingShare]);
  bytes.add(100 * KILOBYTE);
  response.add(60 * KILOBYTE);
  record();
  response.add(640 * KILOBYTE);
  record();
  response.add(-50 * KILOBYTE);
  record();
  response.end();
  // It is complete and delivered to its caller.
  bytes.add(650 * KILOBYTE);
  record();
  t.deepEqual(shares, [
    [0.16, 0.16],
    [0.8, 0.1],
    [0.75, 0.1],
    [0.75, 0.75],
  ]);
});

test("held bytes: at the bound the largest incoming response is cut off first", async (t) => {
  const held = HeldBytes.create(LIMITS);
  const cuts: string[] = [];
  const open = (name: string) => held.openResponse(() => cuts.push(name));
  const [small, large, complete, tiny] = ["small", "large", "complete", "tiny"]
    .map(open);
  small.add(200 * KILOBYTE);
  large.add(300 * KILOBYTE);
  complete.add(400 * KILOBYTE);
  complete.end();
  const { bytes } = openConnection(held);
  bytes.add(400 * KILOBYTE);
  tiny.add(50 * KILOBYTE);
  await nextTurn();
  t.deepEqual(cuts, []);
  bytes.add(50 * KILOBYTE);
  await nextTurn();
  t.deepEqual(cuts, ["large"]);
  t.is(held.held, 700 * KILOBYTE);
  bytes.add(600 * KILOBYTE);
  await nextTurn();
  // Cutting off the tiny one would free next to nothing.
  t.deepEqual(cuts, ["large", "small"]);
});

// Guards against the cut of a response whose last bytes reach the bound: Node
// reports its end after them, in the same turn of the event loop.
test("held bytes: a response that is complete in the same turn is not cut off", async (t) => {
  const held = HeldBytes.create(LIMITS);
  const response = held.openResponse(() => t.fail());
  response.add(LIMITS.total);
  process.nextTick(() => response.end());
  await nextTurn();
  t.is(held.held, 0);
});

test("held bytes: pressure is reported when it begins and when it ends", async (t) => {
  const changes: PressureChange[] = [];
  const held = HeldBytes.create(LIMITS, (change) => changes.push(change));
  const { bytes } = openConnection(held);
  bytes.add(750 * KILOBYTE);
  t.deepEqual(changes, []);
  for (let i = 0; i < 10; i++) {
    bytes.add(KILOBYTE);
    bytes.release(KILOBYTE, false);
  }
  // Guards against a report for a response that is complete and then delivered.
  bytes.release(700 * KILOBYTE, false);
  bytes.add(700 * KILOBYTE);
  await nextTurn();
  bytes.release(200 * KILOBYTE, false);
  await nextTurn();
  const bound = LIMITS.total;
  t.deepEqual(changes, [
    { isHigh: true, held: 751 * KILOBYTE, bound },
    { isHigh: false, held: 550 * KILOBYTE, bound },
  ]);
});

test("held bytes: limits follow from the settings", (t) => {
  const memory = { heldShare: 0.25, connectionKilobytes: 4_096 };
  t.is(heldLimitsOf(memory), null);
  const limits = heldLimitsOf({ ...memory, processMegabytes: 256 })!;
  t.deepEqual(limits, {
    total: 64 * KILOBYTE * KILOBYTE,
    connection: 4_096 * KILOBYTE,
  });
});
