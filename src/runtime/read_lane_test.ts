import { createServer, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { loopbackAddress } from "../../test/support/loopback_address.ts";
import { parseAddress } from "../settings/index.ts";
import { PacedSocket } from "./paced_socket.ts";
import { ReadLane } from "./read_lane.ts";

const KILOBYTE = 1_024;

/**
 * Creates a lane whose clock advances by `cost` milliseconds with each slice.
 */
function createLane(cost: number) {
  let now = 0;
  const lane = ReadLane.create(() => now);
  const events: string[] = [];
  const open = (name: string, accepts = () => true) => {
    const state = { isDestroyed: false };
    const reads = lane.open({
      deliver: (bytes) => {
        now += cost;
        events.push(`${name} ${bytes.length / KILOBYTE} KB`);
        return accepts();
      },
      resume: () => events.push(`${name} resumes`),
      isDestroyed: () => state.isDestroyed,
    });
    return { reads, state };
  };
  return { events, open };
}

test("read lane: bytes that are cheap to read are delivered at once", (t) => {
  const { events, open } = createLane(0.01);
  const { reads } = open("a");
  t.true(reads.push(Buffer.alloc(20 * KILOBYTE)));
  t.false(reads.isPending);
  t.snapshot(events);
});

// Guards against a connection that keeps the event loop from all others.
test("read lane: costly bytes are delivered in later turns, one connection after the other", async (t) => {
  const { events, open } = createLane(3);
  const connections = ["a", "b"].map((name) => open(name));
  for (const { reads } of connections) {
    t.false(reads.push(Buffer.alloc(20 * KILOBYTE)));
  }
  const atOnce = [...events];
  while (connections.some(({ reads }) => reads.isPending)) await delay(1);
  t.snapshot({ atOnce, all: events });
});

// Guards against a connection that is never paused, since each slice is the last
// one that is pending.
test("read lane: the lane pauses after costly bytes, whether or not others wait", async (t) => {
  const { events, open } = createLane(3);
  const { reads } = open("a");
  reads.push(Buffer.alloc(9 * KILOBYTE));
  while (reads.isPending) await delay(1);
  const pushedAt = performance.now();
  reads.push(Buffer.alloc(KILOBYTE));
  while (reads.isPending) await delay(1);
  // Three times the 3 ms of the slice before, less what is usual; the clock of
  // the lane stands still meanwhile.
  t.true(performance.now() - pushedAt >= 8);
  t.is(events.filter((each) => each.endsWith("KB")).length, 3);
});

test("read lane: a new response is read at once again", (t) => {
  const { events, open } = createLane(3);
  const { reads } = open("a");
  t.true(reads.push(Buffer.alloc(KILOBYTE)));
  t.false(reads.push(Buffer.alloc(KILOBYTE)));
  t.is(events.length, 1);
  const other = open("b").reads;
  other.push(Buffer.alloc(KILOBYTE));
  other.startResponse();
  t.true(other.push(Buffer.alloc(KILOBYTE)));
});

test("read lane: a connection whose reader accepts no more waits for it", async (t) => {
  const { events, open } = createLane(0.01);
  let isFull = true;
  const { reads } = open("a", () => !isFull);
  t.false(reads.push(Buffer.alloc(20 * KILOBYTE)));
  await delay(5);
  t.is(events.length, 1);
  isFull = false;
  t.false(reads.unblock());
  while (reads.isPending) await delay(1);
  t.snapshot(events);
});

test("read lane: the bytes of a closed connection are dropped", async (t) => {
  const { events, open } = createLane(3);
  const { reads, state } = open("a");
  reads.push(Buffer.alloc(64 * KILOBYTE));
  state.isDestroyed = true;
  while (reads.isPending) await delay(1);
  t.true(events.length <= 2);
});

/** Connects a paced socket to a server that `respond` simulates. */
async function connect(
  t: ExecutionContext,
  respond: (socket: Socket) => void,
): Promise<PacedSocket> {
  const { host, port } = parseAddress(loopbackAddress());
  const server = createServer(respond);
  await new Promise<void>((done) => server.listen(port, host, done));
  t.teardown(() => server.close());
  const socket = PacedSocket.connect({ host, port });
  t.teardown(() => socket.destroy());
  return socket;
}

test("paced socket: all bytes are delivered in order, and its end after them", async (t) => {
  const sent = Buffer.from(
    Array.from({ length: 300 * KILOBYTE }, (_, i) => i % 251),
  );
  const socket = await connect(t, (each) => each.end(sent));
  const received: Buffer[] = [];
  socket.on("data", (bytes) => {
    received.push(bytes);
    const until = performance.now() + 1;
    while (performance.now() < until);
  });
  await new Promise((done) => socket.once("end", done));
  t.deepEqual(Buffer.concat(received), sent);
});

test("paced socket: a paused reader gets the rest once it resumes", async (t) => {
  const sent = Buffer.alloc(600 * KILOBYTE, "x");
  const socket = await connect(t, (each) => each.end(sent));
  let received = 0;
  socket.on("data", (bytes) => {
    received += bytes.length;
    socket.pause();
    setTimeout(() => socket.resume(), 1);
  });
  await new Promise((done) => socket.once("end", done));
  t.is(received, sent.length);
});
