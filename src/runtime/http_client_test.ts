import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { HttpClient } from "./http_client.ts";

const OPTIONS = { connectTimeout: 300, connections: 4, idleTimeout: 4_000 };
const CALL = { method: "GET", path: "/", timeout: 150 } as const;

/** A server whose handler is asked for each request, with its connections. */
async function startServer(
  t: ExecutionContext,
  answer: (path: string) => string | null,
) {
  const connections = new Set<unknown>();
  const server: Server = createServer((request, response) => {
    connections.add(request.socket);
    const text = answer(request.url ?? "");
    if (text !== null) response.end(text);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, connections };
}

function createClient(t: ExecutionContext): HttpClient {
  const client = HttpClient.create(OPTIONS);
  t.teardown(() => client.close());
  return client;
}

test("http client: keeps a connection for the next call", async (t) => {
  const { address, connections } = await startServer(t, () => "yes");
  const client = createClient(t);
  const bodies: string[] = [];
  for (let i = 0; i < 3; i++) {
    const answer = await client.send(address, CALL);
    bodies.push(`${answer.status} ${answer.body}`);
  }
  t.is(connections.size, 1);
  t.snapshot(bodies);
});

test("http client: a call without an answer ends in time, and no idle connection outlives it", async (t) => {
  const { address, connections } = await startServer(
    t,
    (path) => path === "/silent" ? null : "yes",
  );
  const client = createClient(t);
  // Two connections, both idle afterwards.
  await Promise.all([client.send(address, CALL), client.send(address, CALL)]);
  t.is(connections.size, 2);
  const silent = client.send(address, { ...CALL, path: "/silent" });
  const error = await t.throwsAsync(silent);
  t.is(error?.message, "no answer");
  await client.send(address, CALL);
  t.is(connections.size, 3);
});

test("http client: a call that is given up resets its connection", async (t) => {
  const { address } = await startServer(t, () => null);
  const client = createClient(t);
  const controller = new AbortController();
  const call = client.send(address, { ...CALL, signal: controller.signal });
  controller.abort();
  await t.throwsAsync(call);
});

test("http client: an answer that is cut short is none", async (t) => {
  const server = createServer((_, response) => {
    response.writeHead(200, { "content-length": "100" });
    response.write("half");
    setTimeout(() => response.destroy(), 10);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  await t.throwsAsync(createClient(t).send(`127.0.0.1:${port}`, CALL));
});

test("http client: bytes of a call that timed out are not delivered later", async (t) => {
  const ends: Promise<string>[] = [];
  const server = createServer().on("connection", (socket) => {
    ends.push(
      new Promise((resolve) => {
        socket.once("error", (error: NodeJS.ErrnoException) => {
          resolve(error.code ?? "");
        });
        socket.once("end", () => resolve("orderly end"));
      }),
    );
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const client = createClient(t);
  await t.throwsAsync(client.send(`127.0.0.1:${port}`, CALL), {
    message: "no answer",
  });
  t.deepEqual(await Promise.all(ends), ["ECONNRESET"]);
});

test("http client: a call that timed out leaves connections to other addresses", async (t) => {
  const sound = await startServer(t, () => "yes");
  const silent = await startServer(t, () => null);
  const client = createClient(t);
  await client.send(sound.address, CALL);
  await t.throwsAsync(client.send(silent.address, CALL));
  await client.send(sound.address, CALL);
  t.is(sound.connections.size, 1);
});

test("http client: a call opens no connection after its time for that", async (t) => {
  const { address, connections } = await startServer(
    t,
    (path) => path === "/silent" ? null : "text",
  );
  const client = HttpClient.create({ ...OPTIONS, connections: 1 });
  t.teardown(() => client.close());
  const none = client.send(address, { ...CALL, connectWithin: 0 });
  await t.throwsAsync(none, { message: "no connection" });
  const silent = client.send(address, { ...CALL, path: "/silent" });
  // It waits for the connection of the call before, which is reset.
  const late = { ...CALL, timeout: 1_000, connectWithin: 50 };
  const waiting = client.send(address, late);
  await t.throwsAsync(silent, { message: "no answer" });
  await t.throwsAsync(waiting, { message: "no connection" });
  t.is(connections.size, 1);
  await client.send(address, { ...CALL, connectWithin: 50 });
  const kept = client.send(address, { ...CALL, connectWithin: 0 });
  await t.notThrowsAsync(kept);
});

/** A server that sends half of an answer, piece by piece, and then the rest or
 * nothing more. */
async function startSlowServer(t: ExecutionContext, isWhole: boolean) {
  const pieces = 8;
  const server = createServer((_, response) => {
    response.writeHead(200, { "content-length": String(pieces) });
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      response.write("x");
      const isLast = sent === (isWhole ? pieces : pieces / 2);
      if (isLast) clearInterval(timer);
    }, 60);
    response.once("close", () => clearInterval(timer));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

test("http client: an answer that keeps coming is taken, one that stalls is not", async (t) => {
  const client = createClient(t);
  const transfer = { stall: 250, longest: 5_000 };
  const whole = await startSlowServer(t, true);
  const call = { ...CALL, timeout: 250, transfer };
  t.is((await client.send(whole, call)).body.length, 8);
  const bounded = { ...call, transfer: { ...transfer, longest: 300 } };
  const stalling = await startSlowServer(t, false);
  for (
    const calls of [client.send(whole, bounded), client.send(stalling, call)]
  ) {
    t.is((await t.throwsAsync(calls))?.message, "no answer");
  }
});
