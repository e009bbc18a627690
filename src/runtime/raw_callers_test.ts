/**
 * Tests with malformed, incomplete and oversized requests that a caller sends
 * as raw bytes.
 *
 * @module
 */
import test, { type ExecutionContext } from "ava";
import { connectCaller } from "../../test/support/caller_connection.ts";

/** Maximum time for an expected event, in milliseconds. */
const TIMEOUT = 3_000;
/**
 * Time in which a caller must send its headers in these tests, in milliseconds.
 */
const HEADER_TIMEOUT = 300;

/**
 * Sends `text` on a new connection; returns the statuses of the responses, the
 * paths that were accepted as requests, and whether the connection was closed.
 */
async function send(t: ExecutionContext, text: string) {
  const { socket, events, read } = await connectCaller(t, {
    maximumHeaderBytes: 16_000,
    maximumBodyBytes: 1_000,
    headerTimeout: HEADER_TIMEOUT,
    idleTimeout: HEADER_TIMEOUT,
  });
  socket.on("error", () => {});
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.write(text, "latin1");
  const isEnded = await Promise.race([
    closed.then(() => true),
    new Promise<boolean>((resolve) =>
      setTimeout(() => resolve(false), TIMEOUT)
    ),
  ]);
  const paths = events.flatMap((each) =>
    each.kind === "request.arrived" ? [each.arrival.target] : []
  );
  const statuses = [...read().matchAll(/HTTP\/1\.1 (\d+)/g)]
    .map((match) => match[1]);
  return { paths, statuses, isEnded };
}

function get(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: h.example\r\n\r\n`;
}

function post(headers: string, body: string): string {
  return `POST /a HTTP/1.1\r\nHost: h.example\r\n${headers}\r\n\r\n${body}`;
}

test("raw callers: a partial request line times out", async (t) => {
  const { paths, isEnded } = await send(t, "GET /a HT");
  t.deepEqual(paths, []);
  t.true(isEnded);
});

test("raw callers: a malformed pipelined request is not accepted", async (t) => {
  const { paths } = await send(t, `${get("/1")}GE T /2\r\n\r\n`);
  t.deepEqual(paths, ["/1"]);
});

test("raw callers: a body truncated within a chunk is not a request", async (t) => {
  const { paths, isEnded } = await send(
    t,
    post("Transfer-Encoding: chunked", "ff\r\nhalf"),
  );
  t.deepEqual(paths, []);
  t.false(isEnded, "its request timeout has not expired");
});

test("raw callers: contradictory Content-Length headers are rejected", async (t) => {
  const { paths, statuses, isEnded } = await send(
    t,
    post("Content-Length: 2\r\nContent-Length: 30", "ok"),
  );
  t.deepEqual({ paths, statuses }, { paths: [], statuses: ["400"] });
  t.true(isEnded);
});

test("raw callers: a Content-Length together with chunked encoding is rejected", async (t) => {
  const { paths, statuses, isEnded } = await send(
    t,
    post(
      "Content-Length: 4\r\nTransfer-Encoding: chunked",
      `0\r\n\r\n${get("/smuggled")}`,
    ),
  );
  t.deepEqual({ paths, statuses }, { paths: [], statuses: ["400"] });
  t.true(isEnded);
});

test("raw callers: 100 KB of headers are rejected", async (t) => {
  const filler = `X-Filler: ${"x".repeat(100_000)}`;
  const { paths, statuses, isEnded } = await send(t, post(filler, ""));
  t.deepEqual({ paths, statuses }, { paths: [], statuses: ["431"] });
  t.true(isEnded);
});

test("raw callers: bare line feeds do not smuggle requests", async (t) => {
  const { paths } = await send(
    t,
    "GET /1 HTTP/1.1\nHost: h.example\nX-A: b\n\nGET /2 HTTP/1.1\n\n",
  );
  t.true(paths.every((path) => path === "/1" || path === "/2"));
  t.true(paths.length <= 2);
});
