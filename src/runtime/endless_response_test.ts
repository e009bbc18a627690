/**
 * Guards against servers that send bytes that are not a response without end.
 * They were collected in memory until the deadline of the request.
 *
 * @module
 */
import { createServer, type Socket } from "node:net";
import { PassThrough } from "node:stream";
import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import {
  PlatformHeaderCodec,
  PlatformOrderSender,
} from "../../platform/index.ts";
import { loopbackAddress } from "../../test/support/loopback_address.ts";
import type { AttemptOutcome } from "../core/dispatch/index.ts";
import type { UntimedEvent } from "../core/entry_event.ts";
import { Logger } from "../logging/index.ts";
import { BackendPool } from "./backend_pool.ts";
import { ConnectionRelay } from "./connection_relay.ts";
import { listenAt } from "./listen.ts";
import { PeerNetwork } from "./peer_network.ts";
import { RelayConnector } from "./relay_connector.ts";
import type { ResponseCut } from "./response_limits.ts";

const KILOBYTE = 1_024;
const MEGABYTE = 1_024 * KILOBYTE;
const LIMITS = { headBytes: 64 * KILOBYTE, bodyBytes: 4 * MEGABYTE };
/** Bytes that a connection holds beyond those that were read, at most. */
const READ_AHEAD = 256 * KILOBYTE;
/** Bytes that are sent while the memory of the process is measured. */
const FLOOD_BYTES = 200 * MEGABYTE;
/** Maximum growth of the memory of the process meanwhile. */
const MAXIMUM_GROWTH = 32 * MEGABYTE;
/** Time within which an endless response must be cut off, in milliseconds. */
const CUT_TIME = 4_000;
const HEAD = "HTTP/1.1 200 OK\r\nX-Plumloft-Request-Id: r\r\n" +
  "X-Plumloft-Response-Signature: s\r\n";

/** A server that repeats bytes after the beginning of a response. */
interface EndlessServer {
  address: string;
  /** Requests that it has received. */
  requests: number;
  /** Bytes that it has sent. */
  sent: number;
  /** Error codes of its connections. */
  errors: string[];
  /** Number of connections that are open. */
  open: number;
}

/** Sends `piece` without end, as fast as it is read. */
function sendEndlessly(socket: Socket, piece: Buffer): void {
  while (!socket.destroyed && socket.write(piece));
  if (!socket.destroyed) {
    socket.once("drain", () => sendEndlessly(socket, piece));
  }
}

async function startServer(
  t: ExecutionContext,
  respond: (socket: Socket) => void,
): Promise<EndlessServer> {
  const address = loopbackAddress();
  const state = {
    address,
    requests: 0,
    sent: 0,
    errors: [] as string[],
    open: 0,
  };
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    state.open += 1;
    sockets.add(socket);
    socket.on("error", (error: NodeJS.ErrnoException) => {
      state.errors.push(error.code ?? "");
    });
    socket.once("close", () => {
      state.open -= 1;
      state.sent += socket.bytesWritten;
    });
    socket.on("data", () => {
      state.requests += 1;
      respond(socket);
    });
  });
  await listenAt(server, address);
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return state;
}

function createPool(t: ExecutionContext) {
  const cuts: ResponseCut[] = [];
  const waiters: ((outcome: AttemptOutcome) => void)[] = [];
  const pool = BackendPool.create(
    PlatformHeaderCodec.create(),
    {
      push: (event) => {
        if (event.kind === "attempt.ended") waiters.shift()!(event.outcome);
      },
    },
    RelayConnector.create({ vm: "vm-1", peerAddress: "127.0.0.1:1" }),
    {
      responseLimits: LIMITS,
      onResponseCut: (_, cut) => cuts.push(cut),
    },
  );
  t.teardown(() => pool.close());
  let attempt = 0;
  const send = (
    address: string,
    remaining = 10_000,
    relay: string | null = null,
  ) => {
    attempt += 1;
    pool.send({
      kind: "attempt.start",
      attempt,
      ordinal: 1,
      exchange: attempt,
      server: "server-1",
      address,
      relay,
      mayReuseDirect: true,
      remaining,
    }, {
      id: "r",
      method: "POST",
      target: "/",
      headers: ["Host", "h"],
      body: Buffer.from("body"),
    });
    return new Promise<AttemptOutcome>((next) => waiters.push(next));
  };
  return { pool, send, cuts };
}

/** Beginnings of responses, and the bytes that follow without end. */
const ENDLESS: Record<string, [part: string, start: string, piece: Buffer]> = {
  "line of a head": ["head", `${HEAD}X-Long: `, Buffer.alloc(1_000, "x")],
  "number of head lines": ["head", HEAD, Buffer.from("X-Line: 1\r\n")],
  "bytes without a line end": ["head", "HTTP/1.1 200 ", Buffer.alloc(99, "x")],
  "empty lines": ["head", "", Buffer.alloc(1_000, "\r\n")],
  "interim responses": [
    "head",
    "",
    Buffer.from("HTTP/1.1 102 Processing\r\n\r\n".repeat(50)),
  ],
  "body in chunks": [
    "body",
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    Buffer.from("1000\r\n" + "x".repeat(4_096) + "\r\n"),
  ],
  "body in chunks of a byte": [
    "body",
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    Buffer.from("1\r\nx\r\n".repeat(500)),
  ],
  "body up to the close": ["body", `${HEAD}\r\n`, Buffer.alloc(9_000, "x")],
  "body of a declared length": [
    "body",
    `${HEAD}Content-Length: 9000000000\r\n\r\n`,
    Buffer.alloc(9_000, "x"),
  ],
};

for (const [name, [part, start, piece]] of Object.entries(ENDLESS)) {
  test.serial(`endless response: ${name}`, async (t) => {
    const server = await startServer(t, (socket) => {
      socket.write(start);
      sendEndlessly(socket, piece);
    });
    const { send, cuts } = createPool(t);
    const startedAt = performance.now();
    const outcome = await send(server.address);
    t.true(performance.now() - startedAt < CUT_TIME);
    t.true(outcome.kind === "failed" && outcome.mayHaveBeenSent);
    t.deepEqual(cuts.map((cut) => cut.part), [part]);
    const limit = part === "head" ? LIMITS.headBytes : LIMITS.bodyBytes;
    t.true(cuts[0].bytes <= limit + READ_AHEAD, `${cuts[0].bytes}`);
    while (server.open > 0) await delay(1);
    t.true(server.errors.length > 0, "the connection was not reset");
    t.is(server.requests, 1);
  });
}

test.serial("endless response: responses within the limits are delivered", async (t) => {
  const body = Buffer.alloc(LIMITS.bodyBytes - 1, "x");
  const server = await startServer(t, (socket) => {
    socket.write(`${HEAD}X-Long: ${"x".repeat(LIMITS.headBytes - 300)}\r\n`);
    socket.write(`Content-Length: ${body.length}\r\n\r\n`);
    socket.write(body);
  });
  const { pool, send, cuts } = createPool(t);
  t.is((await send(server.address)).kind, "answered");
  t.deepEqual(pool.takeResponse(1)?.body.equals(body), true);
  t.deepEqual(cuts, []);
});

test.serial("endless response: memory does not grow while 200 MB are sent", async (t) => {
  const [, start, piece] = ENDLESS["body in chunks of a byte"];
  const [, , largePiece] = ENDLESS["body up to the close"];
  let count = 0;
  const server = await startServer(t, (socket) => {
    const isChunked = (count += 1) % 4 === 0;
    socket.write(isChunked ? start : `${HEAD}\r\n`);
    sendEndlessly(socket, isChunked ? piece : largePiece);
  });
  const { send } = createPool(t);
  for (let i = 0; i < 8; i++) await send(server.address);
  const before = process.memoryUsage.rss();
  const sentBefore = server.sent;
  let growth = 0;
  while (server.sent - sentBefore < FLOOD_BYTES) {
    await send(server.address);
    growth = Math.max(growth, process.memoryUsage.rss() - before);
  }
  t.log(`growth: ${(growth / MEGABYTE).toFixed(1)} MB`);
  t.true(growth < MAXIMUM_GROWTH);
});

test.serial("endless response: bytes on an idle connection close it", async (t) => {
  const server = await startServer(t, (socket) => {
    socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
    setTimeout(() => sendEndlessly(socket, Buffer.alloc(9_000, "x")), 20);
  });
  const { send } = createPool(t);
  t.is((await send(server.address)).kind, "answered");
  const end = performance.now() + CUT_TIME;
  while (server.open > 0 && performance.now() < end) await delay(1);
  t.is(server.open, 0);
  t.true(server.sent < 8 * MEGABYTE);
});

test.serial("endless response: one that drips is cut off at the deadline", async (t) => {
  const server = await startServer(t, (socket) => {
    socket.write(`${HEAD}\r\n`);
    const timer = setInterval(() => socket.write("x"), 10);
    socket.once("close", () => clearInterval(timer));
  });
  const { pool, send, cuts } = createPool(t);
  void send(server.address, 150);
  await delay(200);
  // The core cancels the attempt at the deadline of the request.
  pool.cancel(1);
  t.deepEqual(cuts.map((cut) => cut.part), ["body"]);
  while (server.open > 0) await delay(1);
  t.deepEqual(server.errors, ["ECONNRESET"]);
});

/** Starts a VM that opens each connection that another VM requests. */
async function startRelay(t: ExecutionContext): Promise<string> {
  const address = loopbackAddress();
  const logger = Logger.create("relay", "info", new PassThrough().resume());
  const push = (event: UntimedEvent) => {
    if (event.kind !== "relay.requested") return;
    const { connection, address } = event.request;
    relay.open({ kind: "relay.open", connection, address });
  };
  const identity = { vm: "relay", peerAddress: address };
  const network = PeerNetwork.create(identity, { push }, logger);
  const relay = ConnectionRelay.create({ push }, { lateness: 0 }, logger);
  network.onRelayOpen((socket, request) => relay.accept(socket, request));
  await network.listen();
  t.teardown(() => network.close());
  return address;
}

// The VM between passes on bytes; it must neither collect them nor keep the
// connection to the server after the other one was reset.
for (const name of ["line of a head", "body up to the close"]) {
  test.serial(`endless response through another VM: ${name}`, async (t) => {
    const [part, start, piece] = ENDLESS[name];
    const server = await startServer(t, (socket) => {
      socket.write(start);
      sendEndlessly(socket, piece);
    });
    const relay = await startRelay(t);
    const { send, cuts } = createPool(t);
    const outcome = await send(server.address, 10_000, relay);
    t.true(outcome.kind === "failed" && outcome.mayHaveBeenSent);
    t.deepEqual(cuts.map((cut) => cut.part), [part]);
    const end = performance.now() + CUT_TIME;
    while (server.open > 0 && performance.now() < end) await delay(1);
    t.is(server.open, 0);
    t.true(server.sent < 32 * MEGABYTE, `${server.sent}`);
  });
}

test.serial("endless bytes on an idle connection through another VM close it", async (t) => {
  const server = await startServer(t, (socket) => {
    socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
    setTimeout(() => sendEndlessly(socket, Buffer.alloc(9_000, "x")), 20);
  });
  const relay = await startRelay(t);
  const { send } = createPool(t);
  t.is((await send(server.address, 10_000, relay)).kind, "answered");
  const end = performance.now() + CUT_TIME;
  while (server.open > 0 && performance.now() < end) await delay(1);
  t.is(server.open, 0);
});

/** Returns an order that releases keys of the server at `address`. */
function releaseOrder(address: string) {
  return {
    kind: "order.release",
    order: 1,
    service: "stock",
    first: 0,
    last: 9,
    server: "server-1",
    address,
    token: 7,
    mayConnect: true,
    relay: null,
  } as const;
}

test.serial("endless response: bytes on an idle connection for orders close it", async (t) => {
  const server = await startServer(t, (socket) => {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    setTimeout(() => sendEndlessly(socket, Buffer.alloc(9_000, "x")), 20);
  });
  const orders = PlatformOrderSender.create();
  t.teardown(() => orders.close());
  const order = releaseOrder(server.address);
  t.is((await orders.release(order, CUT_TIME)).kind, "accepted");
  const end = performance.now() + CUT_TIME;
  while (server.open > 0 && performance.now() < end) await delay(1);
  t.is(server.open, 0);
});

// Orders are sent by another HTTP client than requests.
for (const [name, [part, start, piece]] of Object.entries(ENDLESS)) {
  test.serial(`endless response to an order: ${name}`, async (t) => {
    const server = await startServer(t, (socket) => {
      socket.write(start);
      sendEndlessly(socket, piece);
    });
    const orders = PlatformOrderSender.create(undefined, LIMITS);
    t.teardown(() => orders.close());
    const parts: string[] = [];
    orders.onResponseCut = (_, cut) => parts.push(cut.part);
    const order = releaseOrder(server.address);
    t.is((await orders.release(order, CUT_TIME)).kind, "failed");
    t.deepEqual(parts, [part]);
    while (server.open > 0) await delay(1);
    t.is(server.requests, 1);
    t.true(server.sent < 32 * MEGABYTE, `${server.sent}`);
  });
}
