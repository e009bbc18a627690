import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { PlatformHeaders } from "../../platform/index.ts";
import type { Occurrence } from "../core/entry_event.ts";
import { BackendPool, type OutgoingRequest } from "./backend_pool.ts";

/** Longest time in which a test's attempt must end, in milliseconds. */
const PATIENCE = 5_000;

/** A server that answers each request, by its number, with `script`. */
async function listen(
  t: ExecutionContext,
  script: (socket: Socket, request: string, ordinal: number) => void,
): Promise<{ server: Server; address: string }> {
  let count = 0;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      count += 1;
      script(socket, bytes.toString("latin1"), count);
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

/** A pool whose attempts can be awaited one after the other. */
function createPool(t: ExecutionContext, address: string) {
  const outcomes: Occurrence[] = [];
  const waiting: ((outcome: Occurrence) => void)[] = [];
  const push = (occurrence: Occurrence) => {
    const next = waiting.shift();
    if (next === undefined) outcomes.push(occurrence);
    else next(occurrence);
  };
  const pool = BackendPool.create(PlatformHeaders.create(), { push });
  t.teardown(() => pool.close());
  let count = 0;
  const send = (id: string, body = ""): Promise<Occurrence> => {
    count += 1;
    const outgoing: OutgoingRequest = {
      id,
      method: body === "" ? "GET" : "POST",
      target: "/stock/7",
      headers: ["Host", "shop.example", "X-Plumloft-Request-Id", id],
      body: Buffer.from(body),
    };
    pool.send({
      kind: "attempt.start",
      attempt: count,
      exchange: count,
      server: "server-1",
      address,
      remaining: 1_000,
    }, outgoing);
    return new Promise((resolve, reject) => {
      waiting.push(resolve);
      const late = () => reject(new Error("no outcome"));
      setTimeout(late, PATIENCE).unref();
    });
  };
  return { pool, send, outcomes };
}

function head(id: string, lines: string[] = []): string {
  return [
    "HTTP/1.1 200 OK",
    `X-Plumloft-Request-Id: ${id}`,
    "X-Plumloft-Response-Signature: s",
    ...lines,
    "",
    "",
  ].join("\r\n");
}

function outcomeKind(occurrence: Occurrence): string {
  if (occurrence.kind !== "attempt.ended") return occurrence.kind;
  const { outcome } = occurrence;
  if (outcome.kind === "failed") {
    return outcome.wasSent ? "failed, sent" : "failed, not sent";
  }
  return outcome.isGenuine ? "genuine" : "spoilt";
}

/** Waits until this process has read what was sent to it before. */
function stall(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

test("pool: a server that is forgotten keeps no connection, and cuts none in use", async (t) => {
  const held: Socket[] = [];
  const { server, address } = await listen(t, (socket, request) => {
    const id = /request-id: (\w+)/i.exec(request)![1];
    const answer = head(id, ["Content-Length: 2"]) + "ok";
    if (id === "slow") held.push(socket);
    else socket.write(answer);
  });
  let connections = 0;
  server.on("connection", () => connections += 1);
  const { pool, send } = createPool(t, address);
  // Outcomes are handed over in the order in which attempts end.
  const firstEnd = send("slow");
  while (held.length === 0) await delay(1);
  const secondEnd = send("a");
  t.is(outcomeKind(await firstEnd), "genuine");
  pool.closeConnections("server-1");
  held[0].write(head("slow", ["Content-Length: 2"]) + "ok");
  t.is(outcomeKind(await secondEnd), "genuine");
  t.is(connections, 2);
  t.is(outcomeKind(await send("b")), "genuine");
  t.is(connections, 3);
});

const SCRIPTS: Record<
  string,
  (socket: Socket, request: string, ordinal: number) => void
> = {
  "whole, with a length": (socket) =>
    socket.write(head("a", ["Content-Length: 2"]) + "ok"),
  "whole, without a length": (socket) => socket.end(head("a") + "ok"),
  "without a length, reset": (socket) => {
    socket.write(head("a") + "o");
    socket.resetAndDestroy();
    stall(20);
  },
  "cut short": (socket) => socket.end(head("a", ["Content-Length: 9"]) + "ok"),
  "cut short in chunks": (socket) =>
    socket.end(head("a", ["Transfer-Encoding: chunked"]) + "5\r\nok"),
  "no answer in the protocol": (socket) => socket.end("garbage\r\n\r\n"),
  "no signature": (socket) =>
    socket.write(
      "HTTP/1.1 200 OK\r\nX-Plumloft-Request-Id: a\r\nContent-Length: 0\r\n\r\n",
    ),
  "of another request": (socket) =>
    socket.write(head("b", ["Content-Length: 2"]) + "ok"),
  "closed without an answer": (socket) => socket.destroy(),
};

for (const [name, script] of Object.entries(SCRIPTS)) {
  test(`answer ${name}`, async (t) => {
    const { address } = await listen(t, script);
    const { send } = createPool(t, address);
    t.snapshot(outcomeKind(await send("a")));
  });
}

test("a connection that brings bytes while idle is not used again", async (t) => {
  const sockets = new Set<Socket>();
  const { address } = await listen(t, (socket, request) => {
    sockets.add(socket);
    const id = /request-id: (\w+)/i.exec(request)![1];
    socket.write(head(id, ["Content-Length: 0"]));
    if (id === "a") setTimeout(() => socket.write(head("a")), 5);
  });
  const { send } = createPool(t, address);
  t.is(outcomeKind(await send("a")), "genuine");
  await delay(100);
  t.is(outcomeKind(await send("b")), "genuine");
  t.is(sockets.size, 2);
});

test("a connection is kept, and its second request is sent once", async (t) => {
  const requests: string[] = [];
  const { address } = await listen(t, (socket, request, ordinal) => {
    requests.push(request);
    if (ordinal === 1) socket.write(head("a", ["Content-Length: 0"]));
    else socket.destroy();
  });
  const { send } = createPool(t, address);
  t.is(outcomeKind(await send("a", "one")), "genuine");
  t.is(outcomeKind(await send("b", "two")), "failed, sent");
  t.is(requests.length, 2);
  t.snapshot(requests[0].replaceAll("\r\n", "\n"));
});

test("nothing was sent where nobody listens", async (t) => {
  const { server, address } = await listen(t, () => {});
  await new Promise((done) => server.close(done));
  const { send } = createPool(t, address);
  t.is(outcomeKind(await send("a")), "failed, not sent");
});
