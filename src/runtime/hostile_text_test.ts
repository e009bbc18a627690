/**
 * An error that is thrown while an effect is carried out ends the process, and
 * with it every request that it has in hand. Texts from outside, of the registry
 * or of a backend server, that cannot be sent on must end one attempt at most.
 *
 * @module
 */
import { createServer, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { PlatformHeaders } from "../../platform/index.ts";
import { connectCaller } from "../../test/support/caller_connection.ts";
import { loopbackAddress } from "../../test/support/loopback_address.ts";
import { BackendPool, type BackendResponse } from "./backend_pool.ts";
import { listenAt } from "./listen.ts";

/** Time for an attempt to end, in milliseconds. */
const PAUSE = 200;
const SERVER = "i-1";

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, PAUSE));
}

/** Sends a request to a server as it is listed; what came of it. */
async function attempt(server: string, address: string) {
  const outcomes: string[] = [];
  let answer: BackendResponse | null = null;
  const pool = BackendPool.create(PlatformHeaders.create(), {
    push: (each) => {
      if (each.kind !== "attempt.ended") return;
      outcomes.push(each.outcome.kind);
      answer = pool.takeResponse(each.attempt);
    },
  });
  pool.send({
    kind: "attempt.start",
    attempt: 1,
    exchange: 1,
    server,
    address,
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
  return { outcomes, answer: answer as BackendResponse | null };
}

/** Address of a server that answers with this line, signed. */
async function answering(t: ExecutionContext, line: string): Promise<string> {
  const server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    socket.once("data", () =>
      socket.end(
        `HTTP/1.1 ${line}\r\nX-Plumloft-Request-Id: r\r\n` +
          "X-Plumloft-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
      ));
  });
  const address = loopbackAddress();
  await listenAt(server, address);
  t.teardown(() => server.close());
  return address;
}

/** What a caller gets of an answer. */
async function passOn(t: ExecutionContext, answer: BackendResponse) {
  const { server, socket, read } = await connectCaller(t, {
    maximumHeaderBytes: 1_000,
    maximumBodyBytes: 1_000,
    headerTimeout: 1_000,
    idleTimeout: 5_000,
  });
  socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  await pause();
  server.deliver(1, answer);
  await pause();
  return read();
}

test("hostile text: an entry with a port that there is not fails its attempt", async (t) => {
  const { outcomes } = await attempt(SERVER, "127.0.0.1:99999");
  t.deepEqual(outcomes, ["failed"]);
});

test("hostile text: an entry whose id fits into no header fails its attempt", async (t) => {
  const { outcomes } = await attempt("i-\ufffd", loopbackAddress());
  t.deepEqual(outcomes, ["failed"]);
});

test("hostile text: an answer with a status that there is not is none", async (t) => {
  const address = await answering(t, "099 Odd");
  const { outcomes } = await attempt(SERVER, address);
  t.deepEqual(outcomes, ["failed"]);
});

test("hostile text: an answer is passed on whatever its status is called", async (t) => {
  const address = await answering(t, "200 O\x01K");
  const { outcomes, answer } = await attempt(SERVER, address);
  t.deepEqual(outcomes, ["answered"]);
  t.regex(await passOn(t, answer!), /^HTTP\/1\.1 200 .*\r\n\r\nok$/s);
});
