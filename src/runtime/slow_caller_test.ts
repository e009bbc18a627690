/**
 * Guards against callers that send or read slowly and thereby take the memory
 * of the process.
 *
 * @module
 */
import type { Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { connectCaller } from "../../test/support/caller_connection.ts";
import type { UntimedEvent } from "../core/entry_event.ts";
import { HeldBytes, type PressureChange } from "./held_bytes.ts";

const KILOBYTE = 1_024;
const MEGABYTE = 1_024 * KILOBYTE;
const LIMITS = {
  maximumHeaderBytes: 10_000,
  maximumBodyBytes: 64 * MEGABYTE,
  headerTimeout: 5_000,
  idleTimeout: 5_000,
};
/** Time for bytes to be processed, in milliseconds. */
const SETTLE_TIME = 150;
const BODY = "x".repeat(100 * KILOBYTE);
/** More requests than a connection may hold, pipelined. */
const REQUESTS = 100;

function post(body: string, length = body.length): string {
  return `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n${body}`;
}

function arrivalsOf(events: readonly UntimedEvent[]) {
  return events.flatMap((each) =>
    each.kind === "request.arrived" ? [each.arrival] : []
  );
}

test("slow caller: pipelined requests are not read while their connection holds too much", async (t) => {
  const held = HeldBytes.create({
    total: 100 * MEGABYTE,
    connection: 256 * KILOBYTE,
  });
  const { server, socket, events, read } = await connectCaller(t, LIMITS, held);
  for (let i = 0; i < REQUESTS; i++) socket.write(post(BODY));
  await delay(SETTLE_TIME);
  // The limit, one request beyond it, and what Node has read ahead.
  t.true(held.held < 700 * KILOBYTE, `${held.held}`);
  t.true(arrivalsOf(events).length < 8);
  // All are read as responses are sent, which releases the bytes.
  let answered = 0;
  const end = performance.now() + 10_000;
  while (answered < REQUESTS && performance.now() < end) {
    for (const { exchange } of arrivalsOf(events).slice(answered)) {
      answered += 1;
      const headers: string[] = [];
      const body = Buffer.from("ok");
      server.deliver(exchange, { status: 200, statusText: "", headers, body });
    }
    t.true(held.held < 700 * KILOBYTE, `${held.held}`);
    await delay(1);
  }
  await delay(SETTLE_TIME);
  t.is(read().split("HTTP/1.1 200").length - 1, REQUESTS);
  t.is(held.held, 0);
});

test("slow caller: a request is refused when the held bytes reach their bound", async (t) => {
  const held = HeldBytes.create({
    total: MEGABYTE,
    connection: 4 * MEGABYTE,
  });
  const { server, socket, events, read } = await connectCaller(t, LIMITS, held);
  socket.write(post("x".repeat(KILOBYTE), 8 * MEGABYTE));
  for (let i = 0; i < 7; i++) {
    await delay(10);
    socket.write("x".repeat(128 * KILOBYTE));
  }
  await delay(SETTLE_TIME);
  t.deepEqual(arrivalsOf(events), []);
  socket.write("x".repeat(256 * KILOBYTE));
  await delay(SETTLE_TIME);
  // The core refuses each request that arrives with this share.
  const arrivals = arrivalsOf(events);
  t.deepEqual(arrivals.map(({ memoryShare }) => memoryShare), [1]);
  server.refuse({
    kind: "request.refuse",
    exchange: arrivals[0].exchange,
    status: 503,
    retryAfter: 100,
    reason: "memory",
  });
  // The rest of its body is discarded, and the connection remains usable.
  const sent = KILOBYTE + 7 * 128 * KILOBYTE + 256 * KILOBYTE;
  socket.write("x".repeat(8 * MEGABYTE - sent));
  socket.write(post("small"));
  await delay(SETTLE_TIME);
  t.regex(read(), /^HTTP\/1\.1 503 /);
  t.is(arrivalsOf(events).length, 2);
  t.true(arrivalsOf(events)[1].memoryShare! < 0.01);
  t.is(held.held, 5);
});

// Guards against a response that counts together with its request: responses
// would be cut off, and connections paused, although the memory is free.
test("slow caller: a request is released before its response counts", async (t) => {
  const limits = { total: 220 * KILOBYTE, connection: MEGABYTE };
  const changes: PressureChange[] = [];
  const held = HeldBytes.create(limits, (each) => changes.push(each));
  const { server, socket, events, read } = await connectCaller(t, LIMITS, held);
  socket.write(post(BODY));
  while (arrivalsOf(events).length === 0) await delay(1);
  const { exchange } = arrivalsOf(events)[0];
  const headers: string[] = [];
  const body = Buffer.from(BODY);
  server.deliver(exchange, { status: 200, statusText: "", headers, body });
  while (read().length < body.length) await delay(1);
  await delay(SETTLE_TIME);
  t.deepEqual(changes, []);
  t.is(held.held, 0);
});

test("slow caller: a response counts until its caller has read it or has disconnected", async (t) => {
  const held = HeldBytes.create(null);
  const { server, socket, events, read } = await connectCaller(t, LIMITS, held);
  const body = Buffer.alloc(16 * MEGABYTE, "x");
  const deliverNext = async () => {
    const count = arrivalsOf(events).length;
    socket.write(post(""));
    while (arrivalsOf(events).length === count) await delay(1);
    const { exchange } = arrivalsOf(events)[count];
    const headers: string[] = [];
    server.deliver(exchange, { status: 200, statusText: "", headers, body });
  };
  socket.pause();
  await deliverNext();
  await delay(SETTLE_TIME);
  t.is(held.held, body.length);
  socket.resume();
  while (read().length < body.length) await delay(5);
  await delay(SETTLE_TIME);
  t.is(held.held, 0);
  socket.pause();
  await deliverNext();
  await delay(SETTLE_TIME);
  t.is(held.held, body.length);
  socket.destroy();
  await delay(SETTLE_TIME);
  t.is(held.held, 0);
});

/**
 * Delivers a response of 16 MB to a caller that reads nothing, and checks 20
 * times, with `between` before each, as if 20 seconds had passed. Returns the
 * bytes that are still held.
 */
async function heldAfterChecks(
  t: ExecutionContext,
  total: number,
  between: (socket: Socket) => void = () => {},
): Promise<number> {
  const held = HeldBytes.create({ total, connection: 64 * MEGABYTE });
  const caller = await connectCaller(t, LIMITS, held);
  const { server, socket, events } = caller;
  socket.on("error", () => {});
  socket.pause();
  socket.write(post(""));
  while (arrivalsOf(events).length === 0) await delay(1);
  const { exchange } = arrivalsOf(events)[0];
  const headers: string[] = [];
  const body = Buffer.alloc(16 * MEGABYTE, "x");
  server.deliver(exchange, { status: 200, statusText: "", headers, body });
  await delay(SETTLE_TIME);
  for (let i = 0; i < 20; i++) {
    between(socket);
    await delay(5);
    server.checkUnread();
  }
  await delay(SETTLE_TIME);
  return held.held;
}

// Guards against a few callers that read nothing and for which all others are
// refused without end.
test("slow caller: under pressure, a response of which nothing is read is given up", async (t) => {
  t.is(await heldAfterChecks(t, 20 * MEGABYTE), 0);
});

test("slow caller: an unread response is kept without pressure", async (t) => {
  t.is(await heldAfterChecks(t, 64 * MEGABYTE), 16 * MEGABYTE);
});

test("slow caller: under pressure, a response that is read slowly is kept", async (t) => {
  // The operating system accepts further bytes only after many were read.
  const read = (socket: Socket) => void socket.read(512 * KILOBYTE);
  t.is(await heldAfterChecks(t, 20 * MEGABYTE, read), 16 * MEGABYTE);
});
