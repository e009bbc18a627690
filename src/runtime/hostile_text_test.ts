/**
 * Tests with text that Node refuses to send: an exception while an effect is
 * executed would end the process and all requests in flight. Invalid text from
 * the registry or from a backend server must fail at most one attempt.
 *
 * @module
 */
import { createServer, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { PlatformHeaderCodec } from "../../platform/index.ts";
import { connectCaller } from "../../test/support/caller_connection.ts";
import { loopbackAddress } from "../../test/support/loopback_address.ts";
import { BackendPool, type BackendResponse } from "./backend_pool.ts";
import { RelayConnector } from "./relay_connector.ts";
import { listenAt } from "./listen.ts";

/** Time for an attempt to end, in milliseconds. */
const PAUSE = 200;
const SERVER = "i-1";

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, PAUSE));
}

/**
 * Sends a request to a server of the registry; returns the outcomes and the
 * response.
 */
async function runAttempt(server: string, address: string) {
  const outcomes: string[] = [];
  let response: BackendResponse | null = null;
  const pool = BackendPool.create(PlatformHeaderCodec.create(), {
    push: (each) => {
      if (each.kind !== "attempt.ended") return;
      outcomes.push(each.outcome.kind);
      response = pool.takeResponse(each.attempt);
    },
  }, RelayConnector.create({ vm: "vm-1", peerAddress: "127.0.0.1:1" }));
  pool.send({
    kind: "attempt.start",
    attempt: 1,
    ordinal: 1,
    exchange: 1,
    server,
    address,
    relay: null,
    mayReuseDirect: true,
    remaining: 1_000,
  }, {
    id: "r",
    method: "GET",
    target: "/",
    headers: ["Host", "h"],
    body: Buffer.alloc(0),
  });
  await pause();
  pool.close();
  return { outcomes, response: response as BackendResponse | null };
}

/**
 * Starts a server that responds with this status line and a signature; returns
 * its address.
 */
async function startServer(
  t: ExecutionContext,
  statusLine: string,
): Promise<string> {
  const server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    socket.once("data", () =>
      socket.end(
        `HTTP/1.1 ${statusLine}\r\nX-Plumloft-Request-Id: r\r\n` +
          "X-Plumloft-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
      ));
  });
  const address = loopbackAddress();
  await listenAt(server, address);
  t.teardown(() => server.close());
  return address;
}

/**
 * Forwards a response to a caller; returns the bytes that the caller receives.
 */
async function forward(t: ExecutionContext, response: BackendResponse) {
  const { server, socket, read } = await connectCaller(t, {
    maximumHeaderBytes: 1_000,
    maximumBodyBytes: 1_000,
    headerTimeout: 1_000,
    idleTimeout: 5_000,
  });
  socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  await pause();
  server.deliver(1, response);
  await pause();
  return read();
}

test("hostile text: a registry entry with an invalid port fails its attempt", async (t) => {
  const { outcomes } = await runAttempt(SERVER, "127.0.0.1:99999");
  t.deepEqual(outcomes, ["failed"]);
});

test("hostile text: a registry entry whose id is not a valid header value fails its attempt", async (t) => {
  const { outcomes } = await runAttempt("i-\ufffd", loopbackAddress());
  t.deepEqual(outcomes, ["failed"]);
});

test("hostile text: a response with an invalid status fails its attempt", async (t) => {
  const address = await startServer(t, "099 Odd");
  const { outcomes } = await runAttempt(SERVER, address);
  t.deepEqual(outcomes, ["failed"]);
});

test("hostile text: forwards a response with an invalid status text", async (t) => {
  const address = await startServer(t, "200 O\x01K");
  const { outcomes, response } = await runAttempt(SERVER, address);
  t.deepEqual(outcomes, ["answered"]);
  t.regex(await forward(t, response!), /^HTTP\/1\.1 200 .*\r\n\r\nok$/s);
});
