import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { PlatformHeaderCodec } from "../../platform/index.ts";
import type { UntimedEvent } from "../core/entry_event.ts";
import {
  BackendPool,
  type BackendPoolOptions,
  type OutgoingRequest,
} from "./backend_pool.ts";
import { HeldBytes } from "./held_bytes.ts";
import type { EarlyResponse } from "./request_rest.ts";
import { RelayConnector } from "./relay_connector.ts";

/** Maximum duration of an attempt, in milliseconds. */
const TIMEOUT = 5_000;

/** Starts a server that calls `handler` with each request and its ordinal. */
async function startServer(
  t: ExecutionContext,
  handler: (socket: Socket, request: string, ordinal: number) => void,
): Promise<{ server: Server; address: string }> {
  let count = 0;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      count += 1;
      handler(socket, bytes.toString("latin1"), count);
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

/**
 * Creates a pool. `send` resolves to the next outcome of any attempt; outcomes
 * that nothing waits for are collected in `outcomes`.
 */
function createPool(
  t: ExecutionContext,
  address: string,
  options: Partial<BackendPoolOptions> = {},
) {
  const outcomes: UntimedEvent[] = [];
  const waiters: ((outcome: UntimedEvent) => void)[] = [];
  const push = (event: UntimedEvent) => {
    const next = waiters.shift();
    if (next === undefined) outcomes.push(event);
    else next(event);
  };
  const pool = BackendPool.create(
    PlatformHeaderCodec.create(),
    { push },
    RelayConnector.create({ vm: "vm-1", peerAddress: "127.0.0.1:1" }),
    options,
  );
  t.teardown(() => pool.close());
  let count = 0;
  const send = (
    id: string,
    body = "",
    method = body === "" ? "GET" : "POST",
    ordinal = 1,
  ): Promise<UntimedEvent> => {
    count += 1;
    const outgoing: OutgoingRequest = {
      id,
      method,
      target: "/stock/7",
      headers: ["Host", "shop.example", "X-Plumloft-Request-Id", id],
      body: Buffer.from(body),
    };
    pool.send({
      kind: "attempt.start",
      attempt: count,
      ordinal,
      exchange: count,
      server: "server-1",
      address,
      relay: null,
      mayReuseDirect: true,
      remaining: 1_000,
    }, outgoing);
    return new Promise((resolve, reject) => {
      waiters.push(resolve);
      const onTimeout = () => reject(new Error("no outcome"));
      setTimeout(onTimeout, TIMEOUT).unref();
    });
  };
  return { pool, send, outcomes };
}

function responseHead(id: string, lines: string[] = []): string {
  return [
    "HTTP/1.1 200 OK",
    `X-Plumloft-Request-Id: ${id}`,
    "X-Plumloft-Response-Signature: s",
    ...lines,
    "",
    "",
  ].join("\r\n");
}

function refusalOf(id: string): string {
  return responseHead(id, ["Content-Length: 0", "X-Plumloft-Not-Executed: 1"])
    .replace("200 OK", "503 Service Unavailable");
}

function outcomeKind(event: UntimedEvent): string {
  if (event.kind !== "attempt.ended") return event.kind;
  const { outcome } = event;
  if (outcome.kind === "failed") {
    return outcome.mayHaveBeenSent ? "failed, sent" : "failed, not sent";
  }
  if (outcome.isNotRun) return "not run";
  return outcome.isGenuine ? "genuine" : "spoilt";
}

/** Blocks the event loop until the bytes sent so far have arrived. */
function blockEventLoop(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

test("backend pool: closing a server's connections does not cut requests in flight", async (t) => {
  const pendingSockets: Socket[] = [];
  const { server, address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    const response = responseHead(id, ["Content-Length: 2"]) + "ok";
    if (id === "slow") pendingSockets.push(socket);
    else socket.write(response);
  });
  let connections = 0;
  server.on("connection", () => connections += 1);
  const { pool, send } = createPool(t, address);
  // Each promise resolves to the outcome of the attempt that ends next, so the
  // first one to that of the second attempt.
  const firstOutcome = send("slow");
  while (pendingSockets.length === 0) await delay(1);
  const secondOutcome = send("a");
  t.is(outcomeKind(await firstOutcome), "genuine");
  pool.closeConnections("server-1");
  pendingSockets[0].write(responseHead("slow", ["Content-Length: 2"]) + "ok");
  t.is(outcomeKind(await secondOutcome), "genuine");
  t.is(connections, 2);
  t.is(outcomeKind(await send("b")), "genuine");
  t.is(connections, 3);
});

const RESPONSES: Record<
  string,
  (socket: Socket, request: string, ordinal: number) => void
> = {
  "complete, with a length": (socket) =>
    socket.write(responseHead("a", ["Content-Length: 2"]) + "ok"),
  "complete, without a length": (socket) =>
    socket.end(responseHead("a") + "ok"),
  "without a length, then a reset": (socket) => {
    socket.write(responseHead("a") + "o");
    socket.resetAndDestroy();
    blockEventLoop(20);
  },
  "in a coding without chunks": (socket) =>
    socket.end(responseHead("a", ["Transfer-Encoding: identity"]) + "ok"),
  "in a coding without chunks, then a reset": (socket) => {
    socket.write(responseHead("a", ["Transfer-Encoding: identity"]) + "o");
    socket.resetAndDestroy();
    blockEventLoop(20);
  },
  "without a body, on a kept connection": (socket) =>
    socket.write(responseHead("a").replace("200 OK", "204 No Content")),
  "not modified, on a kept connection": (socket) =>
    socket.write(responseHead("a").replace("200 OK", "304 Not Modified")),
  "with more headers than Node keeps": (socket) =>
    socket.write(
      `${
        responseHead("a", [
          ...Array.from({ length: 2_500 }, (_, i) => `h${i}: x`),
          "Content-Length: 2",
        ])
      }ok`,
    ),
  "truncated": (socket) =>
    socket.end(responseHead("a", ["Content-Length: 9"]) + "ok"),
  "truncated in a chunk": (socket) =>
    socket.end(responseHead("a", ["Transfer-Encoding: chunked"]) + "5\r\nok"),
  "that is not HTTP": (socket) => socket.end("garbage\r\n\r\n"),
  "without a signature": (socket) =>
    socket.write(
      "HTTP/1.1 200 OK\r\nX-Plumloft-Request-Id: a\r\nContent-Length: 0\r\n\r\n",
    ),
  "to another request": (socket) =>
    socket.write(responseHead("b", ["Content-Length: 2"]) + "ok"),
  "missing before the close": (socket) => socket.destroy(),
};

for (const [name, handler] of Object.entries(RESPONSES)) {
  test(`backend pool: response ${name}`, async (t) => {
    const { address } = await startServer(t, handler);
    const { send } = createPool(t, address);
    t.snapshot(outcomeKind(await send("a")));
  });
}

test("backend pool: does not reuse a connection that receives bytes while idle", async (t) => {
  const sockets = new Set<Socket>();
  const { address } = await startServer(t, (socket, request) => {
    sockets.add(socket);
    const id = /request-id: (\w+)/i.exec(request)![1];
    socket.write(responseHead(id, ["Content-Length: 0"]));
    if (id === "a") setTimeout(() => socket.write(responseHead("a")), 5);
  });
  const { send } = createPool(t, address);
  t.is(outcomeKind(await send("a")), "genuine");
  await delay(100);
  t.is(outcomeKind(await send("b")), "genuine");
  t.is(sockets.size, 2);
});

test("backend pool: reuses a connection, and sends its second request only once", async (t) => {
  const requests: string[] = [];
  const { address } = await startServer(t, (socket, request, ordinal) => {
    requests.push(request);
    if (ordinal === 1) socket.write(responseHead("a", ["Content-Length: 0"]));
    else socket.destroy();
  });
  const { send } = createPool(t, address);
  t.is(outcomeKind(await send("a", "one")), "genuine");
  t.is(outcomeKind(await send("b", "two")), "failed, sent");
  t.is(requests.length, 2);
  t.snapshot(requests[0].replaceAll("\r\n", "\n"));
});

test("backend pool: a refused connection counts as not sent", async (t) => {
  const { server, address } = await startServer(t, () => {});
  await new Promise((done) => server.close(done));
  const { send } = createPool(t, address);
  t.is(outcomeKind(await send("a")), "failed, not sent");
});

// Guards against work that is done and whose caller gets 504.
test("backend pool: a response to HEAD is complete without a body", async (t) => {
  const { address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    socket.write(responseHead(id));
  });
  const { send } = createPool(t, address);
  t.is(outcomeKind(await send("a", "", "HEAD")), "genuine");
});

// Guards against listeners that each response leaves on its connection.
test("backend pool: the connection of responses without a body is used again", async (t) => {
  const sockets = new Set<Socket>();
  const { address } = await startServer(t, (socket, request) => {
    sockets.add(socket);
    const id = /request-id: (\w+)/i.exec(request)![1];
    socket.write(responseHead(id).replace("200 OK", "204 No Content"));
  });
  const warnings: Error[] = [];
  const onWarning = (warning: Error) => warnings.push(warning);
  process.on("warning", onWarning);
  t.teardown(() => process.off("warning", onWarning));
  const { send } = createPool(t, address);
  for (let i = 0; i < 20; i++) {
    t.is(outcomeKind(await send(`r${i}`)), "genuine");
  }
  t.is(sockets.size, 1);
  t.deepEqual(warnings, []);
});

// Guards against a request that is answered 503, or sent again, although the
// server runs it: a second copy of the response to an earlier attempt has its id
// and arrives where the response to the later one is expected.
test("backend pool: a late copy of a refusal is not taken for the response to the next attempt", async (t) => {
  const refusals = new Map<Socket, string>();
  const { address } = await startServer(t, (socket, request, ordinal) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    const refusal = refusalOf(id);
    const copy = refusals.get(socket);
    refusals.set(socket, refusal);
    if (copy !== undefined) socket.write(copy);
    setTimeout(() =>
      socket.write(
        ordinal < 3 ? refusal : responseHead(id, ["Content-Length: 2"]) + "ok",
      ), 10);
  });
  const { send } = createPool(t, address);
  const outcomes: string[] = [];
  for (const ordinal of [1, 2, 3]) {
    outcomes.push(outcomeKind(await send("a", "body", "POST", ordinal)));
  }
  t.deepEqual(outcomes, ["not run", "not run", "genuine"]);
});

// Guards against a response that is taken for that to the next request on its
// connection, and so on with each further one.
test("backend pool: the connection of a response to another request is closed", async (t) => {
  const sockets = new Set<Socket>();
  const { address } = await startServer(t, (socket, request, ordinal) => {
    sockets.add(socket);
    const id = /request-id: (\w+)/i.exec(request)![1];
    const copy = responseHead("other", ["Content-Length: 0"]);
    socket.write(ordinal === 1 ? copy : "");
    setTimeout(
      () => socket.write(responseHead(id, ["Content-Length: 0"])),
      20,
    );
  });
  const { send } = createPool(t, address);
  const outcomes: string[] = [];
  for (const id of ["a", "b", "c"]) outcomes.push(outcomeKind(await send(id)));
  t.deepEqual(outcomes, ["spoilt", "genuine", "genuine"]);
  t.is(sockets.size, 2);
});

// Guards against "not run" of a late second response to an earlier request.
test("backend pool: a refusal without an id counts only as the first response on its connection", async (t) => {
  const sockets: Socket[] = [];
  const { address } = await startServer(t, (socket, request) => {
    sockets.push(socket);
    const id = /request-id: (\w+)/i.exec(request)![1];
    const response = id.startsWith("own")
      ? responseHead(id, ["Content-Length: 0"])
      : refusalOf(id).replace(/X-Plumloft-Request-Id: .*\r\n/, "");
    socket.write(response);
  });
  const { send } = createPool(t, address);
  const outcomes: string[] = [];
  for (const id of ["first", "second", "own1", "own2", "third", "own3"]) {
    outcomes.push(outcomeKind(await send(id, "body")));
  }
  t.deepEqual(outcomes, [
    "not run",
    "not run",
    "genuine",
    "genuine",
    "spoilt",
    "genuine",
  ]);
  const order = sockets.map((each) => [...new Set(sockets)].indexOf(each));
  t.deepEqual(order, [0, 1, 2, 2, 2, 3]);
});

// Guards against a success that its caller cannot tell from one of another
// origin.
test("backend pool: a signature without a value is none", async (t) => {
  const values = ["", " ", "\t", "s"];
  const { address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    const head = responseHead(id, ["Content-Length: 2"]);
    const value = values[Number(id.slice(1))];
    socket.write(head.replace("Signature: s", `Signature: ${value}`) + "ok");
  });
  const { send } = createPool(t, address);
  const outcomes: string[] = [];
  for (let i = 0; i < values.length; i++) {
    outcomes.push(outcomeKind(await send(`r${i}`, "body")));
  }
  t.deepEqual(outcomes, ["spoilt", "spoilt", "spoilt", "genuine"]);
});

// Guards against a request that has run and is sent again, since its success
// carries the header of a refusal.
test("backend pool: a success that states that it has not run is spoilt", async (t) => {
  const statuses = ["200 OK", "302 Found", "400 Bad", "500 Error", "503 Full"];
  const { address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    const status = statuses[Number(id.slice(1))];
    socket.write(refusalOf(id).replace("503 Service Unavailable", status));
  });
  const { send } = createPool(t, address);
  const outcomes: string[] = [];
  for (let i = 0; i < statuses.length; i++) {
    outcomes.push(outcomeKind(await send(`r${i}`, "body")));
  }
  t.deepEqual(outcomes, ["spoilt", "spoilt", "not run", "not run", "not run"]);
});

// Guards against a status that is no final one, such as a 101 that nobody has
// asked for, being delivered as the response.
test("backend pool: a response with an invalid status fails the attempt, and its connection is closed", async (t) => {
  const closed: string[] = [];
  const statuses = ["101 Switching", "099 Low", "600 High", "999 High"];
  const { address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    const status = statuses[Number(id.slice(1))];
    socket.once("close", () => closed.push(id));
    const head = responseHead(id, ["Content-Length: 2"]);
    socket.write(head.replace("200 OK", status) + "ok");
  });
  const { send } = createPool(t, address);
  const outcomes: string[] = [];
  for (let i = 0; i < statuses.length; i++) {
    outcomes.push(outcomeKind(await send(`r${i}`, "body")));
  }
  t.deepEqual(outcomes, statuses.map(() => "failed, sent"));
  for (let i = 0; i < 100 && closed.length < 4; i++) await delay(10);
  t.is(closed.length, 4);
});

test("backend pool: attempts of the same ordinal use the same connections", async (t) => {
  const sockets = new Set<Socket>();
  const { address } = await startServer(t, (socket, request) => {
    sockets.add(socket);
    const id = /request-id: (\w+)/i.exec(request)![1];
    socket.write(responseHead(id, ["Content-Length: 2"]) + "ok");
  });
  const { send } = createPool(t, address);
  for (let i = 0; i < 5; i++) {
    for (const ordinal of [1, 2]) {
      t.is(outcomeKind(await send(`r${i}`, "x", "POST", ordinal)), "genuine");
    }
  }
  t.is(sockets.size, 2);
});

// Guards against a cancelled attempt whose bytes a silent link delivers later,
// when the retry budget no longer counts it.
test("backend pool: a cancelled attempt resets its connection", async (t) => {
  const ends: string[] = [];
  const { server, address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    if (id === "first") {
      socket.write(responseHead(id, ["Content-Length: 2"]) + "ok");
    }
  });
  server.on("connection", (socket) => {
    socket.once("error", (error: NodeJS.ErrnoException) => {
      ends.push(error.code ?? "");
    });
    socket.once("end", () => ends.push("orderly end"));
  });
  const { pool, send } = createPool(t, address);
  // The second attempt uses the kept connection of the first one.
  t.is(outcomeKind(await send("first")), "genuine");
  void send("second").catch(() => {});
  await delay(50);
  pool.cancel(2);
  for (let i = 0; i < 100 && ends.length === 0; i++) await delay(10);
  t.deepEqual(ends, ["ECONNRESET"]);
});

/**
 * Starts a server that responds to each request with `status` at once and does
 * not read the rest of it until `readOn`. Counts the bytes that it reads.
 */
async function startEarlyServer(t: ExecutionContext, status: string) {
  const sockets = new Set<Socket>();
  const state = { received: 0, isClosed: false };
  const { server, address } = await startServer(t, (socket, request) => {
    state.received += request.length;
    if (sockets.has(socket)) return;
    sockets.add(socket);
    socket.pause();
    const id = /request-id: (\w+)/i.exec(request)![1];
    socket.write(
      responseHead(id, ["Content-Length: 0"]).replace("200 OK", status),
    );
  });
  server.on("connection", (socket: Socket) => {
    socket.once("close", () => state.isClosed = true);
  });
  const readOn = () => {
    for (const socket of sockets) socket.resume();
  };
  return { address, state, readOn };
}

/** Longer than what the operating system takes for a connection. */
const LONG_BODY = "x".repeat(16 * 1_048_576);

// Guards against processes that exceed their memory, since bodies of requests
// that were rejected stay in it until their server has read them.
test("backend pool: the rest of a request that is rejected early is not sent", async (t) => {
  const { address, state, readOn } = await startEarlyServer(
    t,
    "413 Payload Too Large",
  );
  const early: EarlyResponse[] = [];
  const held = HeldBytes.create(null);
  const { send } = createPool(t, address, {
    held,
    onEarlyResponse: (response) => early.push(response),
  });
  t.is(outcomeKind(await send("a", LONG_BODY)), "genuine");
  await delay(20);
  readOn();
  for (let i = 0; i < 100 && !state.isClosed; i++) await delay(10);
  t.true(state.isClosed);
  t.true(state.received < LONG_BODY.length);
  t.is(held.held, 0);
  t.like(early, [{ request: "a", server: "server-1", status: 413 }]);
  t.true(early[0].isReset);
});

// Guards against a server that has accepted a request and gets only a part of it.
test("backend pool: the rest of a request that is accepted early is sent and counts as held", async (t) => {
  const { address, state, readOn } = await startEarlyServer(t, "200 OK");
  const held = HeldBytes.create(null);
  const { send } = createPool(t, address, { held });
  t.is(outcomeKind(await send("a", LONG_BODY)), "genuine");
  await delay(20);
  t.true(held.held > LONG_BODY.length / 4);
  readOn();
  for (let i = 0; i < 100 && held.held > 0; i++) await delay(10);
  t.is(held.held, 0);
  t.false(state.isClosed);
  for (let i = 0; i < 100 && state.received < LONG_BODY.length; i++) {
    await delay(10);
  }
  t.true(state.received > LONG_BODY.length);
});

// Guards against memory that is held without limit for a server that does not
// read on.
test("backend pool: the rest of a request that is accepted early is dropped at the deadline", async (t) => {
  const { address, state, readOn } = await startEarlyServer(t, "200 OK");
  const held = HeldBytes.create(null);
  const { send } = createPool(t, address, { held });
  t.is(outcomeKind(await send("a", LONG_BODY)), "genuine");
  // `send` sets a deadline of 1 s.
  await delay(1_100);
  t.is(held.held, 0);
  readOn();
  for (let i = 0; i < 100 && !state.isClosed; i++) await delay(10);
  t.true(state.isClosed);
});

test("backend pool: at the bound on held bytes a response is cut off, a complete one is not", async (t) => {
  const size = 300 * 1_024;
  const cuts: string[] = [];
  const held = HeldBytes.create({ total: size + 1, connection: size });
  const { address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    const length = id === "complete" ? size : 2 * size;
    socket.write(responseHead(id, [`Content-Length: ${length}`]));
    socket.write("x".repeat(length));
  });
  const { send } = createPool(t, address, {
    held,
    onResponseCut: (server, { part }) => cuts.push(`${server} ${part}`),
  });
  t.is(outcomeKind(await send("complete")), "genuine");
  t.deepEqual(cuts, []);
  t.is(outcomeKind(await send("large")), "failed, sent");
  t.deepEqual(cuts, ["server-1 body"]);
  t.is(held.held, 0);
});

// Guards against a complete response that is cut off with its last chunk, which
// reaches the bound before Node reports the end of the response.
test("backend pool: a response whose last bytes reach the bound is not cut off", async (t) => {
  const size = 100 * 1_024;
  const held = HeldBytes.create({ total: size, connection: size });
  const { address } = await startServer(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    socket.write(responseHead(id, [`Content-Length: ${size}`]));
    socket.write("x".repeat(size));
  });
  const { send } = createPool(t, address, {
    held,
    onResponseCut: () => t.fail(),
  });
  t.is(outcomeKind(await send("whole")), "genuine");
  t.is(held.held, 0);
});
