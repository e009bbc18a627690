/**
 * Guards against requests that ran at their backend servers but got no response
 * while a VM stopped. Callers that pipeline have several requests on one
 * connection, which servers complete in any order. The header that closes a
 * connection was set on the response that completed last, although another one
 * was sent last; responses after that header are dropped. The first test then
 * received one response of two. The other tests cover the same class of
 * failure: a connection that is closed, or sends another response, before its
 * pending responses.
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
/** Time for bytes to be read, in milliseconds. */
const PAUSE = 50;

async function start(t: ExecutionContext) {
  const { server, socket, events, read } = await connectCaller(t, {
    maximumHeaderBytes: 16_000,
    maximumBodyBytes: 1_000,
    headerTimeout: HEADER_TIMEOUT,
    idleTimeout: 5_000,
  });
  socket.on("error", () => {});
  const ended = new Promise((resolve) => socket.once("close", resolve));
  const arrivals = () =>
    events.flatMap((each) =>
      each.kind === "request.arrived" ? [each.arrival] : []
    );
  const respond = (target: string) => {
    const { exchange } = arrivals().find((each) => each.target === target)!;
    const body = Buffer.from(`answer ${target};`);
    server.deliver(exchange, {
      status: 200,
      statusText: "OK",
      headers: [],
      body,
    });
  };
  const waitUntil = async (isMet: () => boolean) => {
    const end = Date.now() + TIMEOUT;
    while (!isMet()) {
      if (Date.now() > end) throw new Error(`timed out: ${read()}`);
      await pause(5);
    }
  };
  /**
   * Waits for the end of the connection; returns the statuses and the paths of
   * the responses in the order in which they were received.
   */
  const readResponses = async () => {
    await Promise.race([ended, pause(TIMEOUT)]);
    const received = [...read().matchAll(/HTTP\/1\.1 (\d+)|answer (\S+);/g)];
    return received.map((match) => match[2] ?? match[1]).join(" ");
  };
  const waitForRequests = (...targets: string[]) =>
    waitUntil(() =>
      arrivals().map((each) => each.target).join() === targets.join()
    );
  return {
    server,
    socket,
    events,
    arrivals,
    respond,
    waitForRequests,
    readResponses,
  };
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function get(path: string, headers = ""): string {
  return `GET ${path} HTTP/1.1\r\nHost: h.example\r\n${headers}\r\n`;
}

test("order: while draining, sends all responses that complete out of order", async (t) => {
  const { server, socket, respond, waitForRequests, readResponses } =
    await start(t);
  socket.write(get("/1") + get("/2"));
  await waitForRequests("/1", "/2");
  server.drain();
  respond("/2");
  respond("/1");
  t.is(await readResponses(), "200 /1 200 /2");
});

test("order: sends all responses that complete out of order around the close", async (t) => {
  const { server, socket, respond, waitForRequests, readResponses } =
    await start(t);
  socket.write(get("/1") + get("/2") + get("/3"));
  await waitForRequests("/1", "/2", "/3");
  respond("/3");
  server.drain();
  server.close();
  respond("/2");
  await pause(PAUSE);
  respond("/1");
  t.is(await readResponses(), "200 /1 200 /2 200 /3");
});

test("order: an oversized body closes its connection after pending responses", async (t) => {
  const { server, socket, respond, waitForRequests, readResponses } =
    await start(t);
  socket.write(
    get("/1") + get("/2") +
      "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" +
      "x".repeat(1_001) + get("/4"),
  );
  await waitForRequests("/1", "/2");
  server.drain();
  respond("/2");
  respond("/1");
  t.is(await readResponses(), "200 /1 200 /2 413");
});

test("order: a malformed request is rejected after pending responses", async (t) => {
  const { socket, respond, waitForRequests, readResponses } = await start(t);
  socket.write(`${get("/1")}GE T /2\r\n\r\n`);
  await waitForRequests("/1");
  await pause(PAUSE);
  respond("/1");
  t.is(await readResponses(), "200 /1 400");
});

test("order: the timeout of a partial request does not cut an earlier response", async (t) => {
  const { socket, respond, waitForRequests, readResponses } = await start(t);
  socket.write(`${get("/1")}GET /2 HT`);
  await waitForRequests("/1");
  // Node checks for such callers once a second.
  await pause(1_000 + 2 * HEADER_TIMEOUT);
  respond("/1");
  t.is(await readResponses(), "200 /1 408");
});

test("order: a response is sent before the close that its request asked for", async (t) => {
  const { socket, respond, waitForRequests, readResponses } = await start(t);
  socket.write(get("/1", "Connection: close\r\n") + get("/2"));
  await waitForRequests("/1");
  await pause(PAUSE);
  respond("/1");
  t.is(await readResponses(), "200 /1");
});

test("order: no request is accepted after one without a host", async (t) => {
  const { socket, respond, waitForRequests, readResponses } = await start(t);
  socket.write(`${get("/1")}GET /2 HTTP/1.1\r\n\r\n${get("/3")}`);
  await waitForRequests("/1");
  await pause(PAUSE);
  await waitForRequests("/1");
  respond("/1");
  t.is(await readResponses(), "200 /1 400");
});

test("order: a CONNECT request does not cut an earlier response", async (t) => {
  const { socket, respond, waitForRequests, readResponses } = await start(t);
  socket.write(
    `${get("/1")}CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n${get("/3")}`,
  );
  await waitForRequests("/1");
  await pause(PAUSE);
  respond("/1");
  t.is(await readResponses(), "200 /1 501");
});

test("order: an unsupported expectation is rejected in its turn", async (t) => {
  const { server, socket, respond, waitForRequests, readResponses } =
    await start(t);
  socket.write(
    get("/1") + get("/2", "Expect: a-pony\r\n") + get("/3"),
  );
  await waitForRequests("/1", "/3");
  server.drain();
  respond("/3");
  respond("/1");
  t.is(await readResponses(), "200 /1 417 200 /3");
});

test("order: a request that expects 100 Continue is answered in its turn", async (t) => {
  const { server, socket, respond, waitForRequests, readResponses } =
    await start(t);
  socket.write(
    get("/1") +
      "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
  );
  await waitForRequests("/1");
  server.drain();
  respond("/1");
  await pause(PAUSE);
  socket.write("ok");
  await waitForRequests("/1", "/2");
  respond("/2");
  t.is(await readResponses(), "200 /1 100 200 /2");
});

test("order: reports a disconnect for each pending request", async (t) => {
  const { socket, events, waitForRequests } = await start(t);
  socket.write(get("/1") + get("/2") + get("/3"));
  await waitForRequests("/1", "/2", "/3");
  socket.destroy();
  await pause(2 * PAUSE);
  const left = events.filter((each) => each.kind === "request.left");
  t.is(left.length, 3);
});

test("order: a connection closes when its caller disconnects after a CONNECT request", async (t) => {
  const { server, socket, events, waitForRequests } = await start(t);
  socket.write(`${get("/1")}CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n`);
  await waitForRequests("/1");
  await pause(PAUSE);
  socket.end();
  await pause(4 * PAUSE);
  t.is(events.filter(({ kind }) => kind === "request.left").length, 1);
  t.is(server.counts.connections, 0);
});
