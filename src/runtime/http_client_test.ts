import { createServer, type Server } from "node:http";
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Socket,
} from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  type HttpCall,
  HttpClient,
  type HttpClientOptions,
  type TransferTimeouts,
} from "./http_client.ts";
import { encodeFrame } from "./frame.ts";
import { RelayConnector } from "./relay_connector.ts";

const OPTIONS: HttpClientOptions = {
  connectTimeout: 300,
  maximumConnections: 4,
  idleTimeout: 4_000,
};
const CALL = { method: "GET", path: "/", timeout: 150 } as const;

/**
 * Starts a server that sends the text that `respond` returns for a path, and
 * nothing if it returns null. Returns its address and all its connections.
 */
async function startServer(
  t: ExecutionContext,
  respond: (path: string) => string | null,
) {
  const connections = new Set<unknown>();
  const server: Server = createServer((request, response) => {
    connections.add(request.socket);
    const text = respond(request.url ?? "");
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
    const response = await client.send(address, CALL);
    bodies.push(`${response.status} ${response.body}`);
  }
  t.is(connections.size, 1);
  t.snapshot(bodies);
});

test("http client: a call that times out also closes idle connections to its address", async (t) => {
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
  t.is(error?.message, "response timed out");
  await client.send(address, CALL);
  t.is(connections.size, 3);
});

test("http client: an aborted call rejects", async (t) => {
  const { address } = await startServer(t, () => null);
  const client = createClient(t);
  const controller = new AbortController();
  const call = client.send(address, { ...CALL, signal: controller.signal });
  controller.abort();
  await t.throwsAsync(call);
});

test("http client: rejects a truncated response", async (t) => {
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

/** Starts a TCP server that calls `handler` for each connection. */
async function startTcpServer(
  t: ExecutionContext,
  handler: (socket: Socket) => void,
): Promise<string> {
  const server = createTcpServer((socket) => {
    socket.on("error", () => {});
    handler(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nhalf";

test("http client: accepts a response that ends with its connection", async (t) => {
  const address = await startTcpServer(t, (socket) => {
    socket.once("data", () => socket.end(UNFRAMED));
  });
  const { body } = await createClient(t).send(address, CALL);
  t.is(String(body), "half");
});

// Guards against a truncated document of the store.
test("http client: rejects a response without a length whose connection is reset", async (t) => {
  const address = await startTcpServer(t, (socket) => {
    socket.once("data", () => {
      socket.write(UNFRAMED);
      socket.resetAndDestroy();
      // The client reads the bytes and the reset together.
      const until = performance.now() + 20;
      while (performance.now() < until);
    });
  });
  await t.throwsAsync(createClient(t).send(address, CALL));
});

/** Heads of responses whose body ends with their connection. */
const UNFRAMED_HEADS: [string, string][] = [
  ["without a length", "HTTP/1.1 200 OK\r\n\r\n"],
  [
    "in a coding without chunks",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
  ],
];

for (const [name, head] of UNFRAMED_HEADS) {
  // Guards against a response to an order of which only a part has arrived.
  test(`http client: rejects a response ${name} if the VM between ends`, async (t) => {
    const relay = await startTcpServer(t, (socket) => {
      socket.once("data", () => {
        socket.write(encodeFrame({ kind: "relay.opened", isFramed: true }));
        socket.once("data", () => {
          const bytes = Buffer.from(`${head}half`);
          socket.end(encodeFrame({ kind: "relay.data", bytes }));
        });
      });
    });
    const connector = RelayConnector.create({
      vm: "vm-1",
      peerAddress: "127.0.0.1:1",
    });
    const client = HttpClient.create({ ...OPTIONS, connector });
    t.teardown(() => client.close());
    const call = { ...CALL, relay: { relay, server: "s" } };
    const error = await t.throwsAsync(client.send("127.0.0.1:1", call));
    t.is(error?.message, "connection ended by the VM between");
  });
}

// Guards against a store that cannot be called any more, since the calls that it
// has rejected keep their connections in use.
test("http client: the rest of a call that is rejected early is not sent", async (t) => {
  const address = await startTcpServer(t, (socket) => {
    socket.once("data", () => {
      socket.pause();
      socket.write("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
    });
  });
  const client = HttpClient.create({ ...OPTIONS, maximumConnections: 1 });
  t.teardown(() => client.close());
  const body = Buffer.alloc(16 * 1_048_576);
  for (let i = 0; i < 2; i++) {
    const call = { ...CALL, method: "POST", body } as const;
    const { status } = await client.send(address, call);
    t.is(status, 503);
  }
});

test("http client: resets the connection of a call that times out", async (t) => {
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
    message: "response timed out",
  });
  t.deepEqual(await Promise.all(ends), ["ECONNRESET"]);
});

test("http client: a call that times out keeps connections to other addresses", async (t) => {
  const responsive = await startServer(t, () => "yes");
  const unresponsive = await startServer(t, () => null);
  const client = createClient(t);
  await client.send(responsive.address, CALL);
  await t.throwsAsync(client.send(unresponsive.address, CALL));
  await client.send(responsive.address, CALL);
  t.is(responsive.connections.size, 1);
});

test("http client: a call opens no connection after its time limit", async (t) => {
  const { address, connections } = await startServer(
    t,
    (path) => path === "/silent" ? null : "text",
  );
  const client = HttpClient.create({ ...OPTIONS, maximumConnections: 1 });
  t.teardown(() => client.close());
  const rejected = client.send(address, { ...CALL, connectWithin: 0 });
  await t.throwsAsync(rejected, { message: "no connection available" });
  const silent = client.send(address, { ...CALL, path: "/silent" });
  // Waits for the connection of the previous call, which is reset.
  const late = { ...CALL, timeout: 1_000, connectWithin: 50 };
  const waiting = client.send(address, late);
  await t.throwsAsync(silent, { message: "response timed out" });
  await t.throwsAsync(waiting, { message: "no connection available" });
  t.is(connections.size, 1);
  await client.send(address, { ...CALL, connectWithin: 50 });
  const reused = client.send(address, { ...CALL, connectWithin: 0 });
  await t.notThrowsAsync(reused);
});

/**
 * Starts a server that sends its response in pieces: the complete response, or
 * only half of it, after which it stalls.
 */
async function startSlowServer(t: ExecutionContext, isComplete: boolean) {
  const pieces = 8;
  const server = createServer((_, response) => {
    response.writeHead(200, { "content-length": String(pieces) });
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      response.write("x");
      const isLast = sent === (isComplete ? pieces : pieces / 2);
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

test("http client: accepts a slow response, and rejects one that stalls", async (t) => {
  const client = createClient(t);
  const transfer: TransferTimeouts = { stallTimeout: 250, totalTimeout: 5_000 };
  const complete = await startSlowServer(t, true);
  const call: HttpCall = { ...CALL, timeout: 250, transfer };
  t.is((await client.send(complete, call)).body.length, 8);
  const bounded: HttpCall = {
    ...call,
    transfer: { ...transfer, totalTimeout: 300 },
  };
  const stalling = await startSlowServer(t, false);
  for (
    const slowCall of [
      client.send(complete, bounded),
      client.send(stalling, call),
    ]
  ) {
    t.is((await t.throwsAsync(slowCall))?.message, "response timed out");
  }
});
