/**
 * Ends of callers' connections that are not yet as they should be: an answer that
 * the system has taken and not delivered, an answer to a request that was answered
 * already, and a caller that leaves in the middle of a request.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { connectCaller } from "../../test/support/caller_connection.ts";

/** Longest time for something to happen, in milliseconds. */
const PATIENCE = 3_000;
/** Time for bytes to be read, in milliseconds. */
const PAUSE = 50;
/** An answer that fits into the system's buffers of both sides, in bytes. */
const LARGE = 1_000_000;

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
  const { server, socket, occurrences } = caller;
  socket.on("error", () => {});
  const count = (kind: string) =>
    occurrences.filter((each) => each.kind === kind).length;
  const until = async (holds: () => boolean) => {
    const end = Date.now() + PATIENCE;
    while (!holds()) {
      if (Date.now() > end) throw new Error("waited in vain");
      await pause(5);
    }
  };
  const answer = (exchange: number, body: string) =>
    server.deliver(exchange, {
      status: 200,
      statusText: "OK",
      headers: [],
      body: Buffer.from(body),
    });
  return { ...caller, count, until, answer };
}

function get(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h.example\r\n\r\n`;
}

// Answers given out of order leave a connection open while the process drains: the
// mark that ends it would have stood on the one that was given first. The close
// meets it without anything due, though its last answer is still on its way, and
// the process ends. What the caller sends then makes the system throw away what it
// has not delivered.
test("close: an answer that is on its way outlives the stop, whatever is sent then", async (t) => {
  const { server, socket, count, until, answer, read } = await start(t);
  socket.pause();
  socket.write(get("/1") + get("/2"));
  await until(() => count("request.arrived") === 2);
  answer(2, "x".repeat(LARGE));
  server.drain();
  answer(1, "one");
  await until(() => server.counts.unsent === 0);
  server.close();
  // The process ends as soon as it is told so.
  const stopping = until(() => count("callers.closed") === 1)
    .then(() => server.destroy());
  await pause();
  socket.write(get("/3"));
  await pause();
  socket.resume();
  await stopping;
  await until(() => socket.destroyed);
  t.is(read().match(/x+$/)?.[0].length, LARGE);
});

test("close: a request that was answered before its end is not answered again", async (t) => {
  const { socket, until, read } = await start(t);
  socket.write(
    "POST /1 HTTP/1.1\r\nHost: h\r\nExpect: a-pony\r\nContent-Length: 9\r\n\r\nhalf",
  );
  await until(() => read().includes("expectation failed"));
  socket.end();
  await until(() => socket.destroyed);
  t.deepEqual(read().match(/HTTP\/1\.1 \d+/g), ["HTTP/1.1 417"]);
});

test("close: a caller that leaves with half a request behind is told of", async (t) => {
  const { socket, count, until } = await start(t);
  socket.write(`${get("/1")}GET /2 HT`);
  await until(() => count("request.arrived") === 1);
  socket.end();
  await pause(500);
  t.is(count("request.left"), 1);
});
