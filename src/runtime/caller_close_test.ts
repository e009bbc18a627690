/**
 * Tests of closing callers' connections: with a response that the operating
 * system has accepted but not delivered, after a request that was rejected
 * early, and when a caller disconnects in the middle of a request.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { connectCaller } from "../../test/support/caller_connection.ts";

/** Maximum time for an expected event, in milliseconds. */
const TIMEOUT = 3_000;
/** Time for bytes to be read, in milliseconds. */
const PAUSE = 50;
/**
 * Size of a response that fits into the socket buffers of both sides, in bytes.
 */
const LARGE_BODY_SIZE = 1_000_000;

function pause(milliseconds = PAUSE): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function start(t: ExecutionContext) {
  const caller = await connectCaller(t, {
    maximumHeaderBytes: 16_000,
    maximumBodyBytes: 1_000,
    headerTimeout: 5_000,
    idleTimeout: 5_000,
  });
  const { server, socket, events } = caller;
  socket.on("error", () => {});
  const count = (kind: string) =>
    events.filter((each) => each.kind === kind).length;
  const waitUntil = async (isMet: () => boolean) => {
    const end = Date.now() + TIMEOUT;
    while (!isMet()) {
      if (Date.now() > end) throw new Error("timed out");
      await pause(5);
    }
  };
  const respond = (exchange: number, body: string) =>
    server.deliver(exchange, {
      status: 200,
      statusText: "OK",
      headers: [],
      body: Buffer.from(body),
    });
  return { ...caller, count, waitUntil, respond };
}

function get(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h.example\r\n\r\n`;
}

// Guards against losing a response in transit. When responses complete out of
// order while the process drains, the connection stays open, since the header
// that closes it would have been set on the response that completed first. At
// the close nothing is pending, although the last response is still in transit,
// and the process exits. If the caller then sends bytes, the operating system
// discards the data that it has not delivered yet.
test("close: a response in transit is delivered although the caller keeps sending", async (t) => {
  const { server, socket, count, waitUntil, respond, read } = await start(t);
  socket.pause();
  socket.write(get("/1") + get("/2"));
  await waitUntil(() => count("request.arrived") === 2);
  respond(2, "x".repeat(LARGE_BODY_SIZE));
  server.drain();
  respond(1, "one");
  await waitUntil(() => server.counts.unsent === 0);
  server.close();
  // The process exits as soon as the close is reported.
  const stopping = waitUntil(() => count("callers.closed") === 1)
    .then(() => server.destroy());
  await pause();
  socket.write(get("/3"));
  await pause();
  socket.resume();
  await stopping;
  await waitUntil(() => socket.destroyed);
  t.is(read().match(/x+$/)?.[0].length, LARGE_BODY_SIZE);
});

test("close: a request that was rejected before its end gets no second response", async (t) => {
  const { socket, waitUntil, read } = await start(t);
  socket.write(
    "POST /1 HTTP/1.1\r\nHost: h\r\nExpect: a-pony\r\nContent-Length: 9\r\n\r\nhalf",
  );
  await waitUntil(() => read().includes("expectation failed"));
  socket.end();
  await waitUntil(() => socket.destroyed);
  t.deepEqual(read().match(/HTTP\/1\.1 \d+/g), ["HTTP/1.1 417"]);
});

test("close: reports a caller that disconnects in the middle of a pipelined request", async (t) => {
  const { socket, count, waitUntil } = await start(t);
  socket.write(`${get("/1")}GET /2 HT`);
  await waitUntil(() => count("request.arrived") === 1);
  socket.end();
  await pause(500);
  t.is(count("request.left"), 1);
});
