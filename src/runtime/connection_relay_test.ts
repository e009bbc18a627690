import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { PassThrough } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { loopbackAddress } from "../../test/support/loopback_address.ts";
import type { UntimedEvent } from "../core/entry_event.ts";
import type { RelayRefusal } from "../core/reach/index.ts";
import { Logger } from "../logging/index.ts";
import { parseAddress } from "../settings/index.ts";
import { ConnectionRelay } from "./connection_relay.ts";
import { encodeFrame, FrameDecoder, PROTOCOL_VERSION } from "./frame.ts";
import { detectReset } from "./orderly_end.ts";
import { PeerNetwork } from "./peer_network.ts";
import { RelayConnector, RelayError } from "./relay_connector.ts";

/** Starts a TCP server; returns its address. */
async function listen(
  t: ExecutionContext,
  onSocket: (socket: Socket) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    onSocket(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/**
 * Starts a VM that opens each connection that another VM requests, or refuses
 * it for `refusal`.
 */
async function startRelay(
  t: ExecutionContext,
  refusal: RelayRefusal | null = null,
) {
  const address = loopbackAddress();
  const events: UntimedEvent[] = [];
  const output = new PassThrough();
  let log = "";
  output.on("data", (bytes) => log += String(bytes));
  const logger = Logger.create(address, "info", output);
  const lag = { lateness: 0 };
  const push = (event: UntimedEvent) => {
    events.push(event);
    if (event.kind !== "relay.requested") return;
    const { connection, address } = event.request;
    if (refusal === null) {
      relay.open({ kind: "relay.open", connection, address });
    } else relay.refuse({ kind: "relay.refuse", connection, reason: refusal });
  };
  const identity = { vm: "relay", peerAddress: address };
  const network = PeerNetwork.create(identity, { push }, logger);
  const relay = ConnectionRelay.create({ push }, lag, logger);
  network.onRelayOpen((socket, request) => relay.accept(socket, request));
  await network.listen();
  t.teardown(() => network.close());
  const readLog = () => {
    logger.flush();
    return log.split("\n").filter((line) => line !== "")
      .map((line) => JSON.parse(line));
  };
  // The kernel ends the connections of a killed process in the same way.
  const endConnections = () => network.close();
  return { address, relay, events, lag, readLog, endConnections };
}

const CONNECTOR = RelayConnector.create({
  vm: "vm-1",
  peerAddress: "127.0.0.1:1",
});

/** First frame of a connection, as VMs of an older version send it. */
const OPEN_FRAME = {
  kind: "relay.open",
  protocol: PROTOCOL_VERSION,
  vm: "vm-1",
  peerAddress: "127.0.0.1:1",
  server: "s",
  address: "127.0.0.1:1",
  responseTimeout: 100,
};

/** Opens a connection through the VM at `relay`. */
function open(
  relay: string,
  address: string,
  responseTimeout = 1_000,
): Promise<Socket> {
  return new Promise((resolve, reject) =>
    CONNECTOR.open(
      { relay, server: "s", address, responseTimeout },
      (error, socket) => error === null ? resolve(socket!) : reject(error),
    )
  );
}

/** Error of a connection that cannot be opened. */
async function failureOf(opening: Promise<Socket>): Promise<RelayError> {
  try {
    (await opening).destroy();
  } catch (error) {
    if (error instanceof RelayError) return error;
    throw error;
  }
  throw new Error("the connection was opened");
}

/** Bytes that a socket receives until it is closed, and the error, if any. */
function received(socket: Socket): Promise<{ text: string; error?: string }> {
  return new Promise((resolve) => {
    let text = "";
    let error: string | undefined;
    socket.on("data", (bytes) => text += String(bytes));
    socket.on("error", ({ code }: NodeJS.ErrnoException) => error = code);
    socket.once("close", () => resolve({ text, error }));
  });
}

test("relay: passes bytes on in both directions, and the end of the connection", async (t) => {
  const address = await listen(t, (socket) => {
    socket.on("data", (bytes) => {
      socket.write(`echo ${String(bytes)}`);
      if (String(bytes) === "last") socket.end();
    });
  });
  const relay = await startRelay(t);
  const socket = await open(relay.address, address);
  socket.write("first ");
  await once(socket, "data");
  socket.write("last");
  t.deepEqual(await received(socket), { text: "echo last", error: undefined });
  await delay(20);
  t.is(relay.relay.count, 0);
  t.is(relay.events.at(-1)?.kind, "relay.ended");
});

// Guards against a truncated response that the VM between makes look complete.
test("relay: a reset by the server, also with its last bytes, arrives as a reset", async (t) => {
  const address = await listen(t, (socket) => {
    socket.once("data", () => {
      socket.write("half a response", () => socket.resetAndDestroy());
    });
  });
  const relay = await startRelay(t);
  const socket = await open(relay.address, address);
  const error = Promise.race([
    detectReset(socket),
    once(socket, "error").then(([error]) => error as Error),
  ]);
  socket.resume();
  socket.write("request");
  t.not(await error, null);
});

// Guards against a truncated response that passes as complete since the VM
// between was killed.
test("relay: the end of the VM between is not taken for that of the server", async (t) => {
  const address = await listen(t, (socket) => {
    socket.once("data", () => socket.write("half a response"));
  });
  const relay = await startRelay(t);
  const socket = await open(relay.address, address);
  const end = detectReset(socket);
  socket.write("request");
  t.is(String(await once(socket, "data")), "half a response");
  relay.endConnections();
  t.regex(String(await end), /ended by the VM between/);
});

test("relay: the end of the server is stated, after all of its bytes", async (t) => {
  const text = "x".repeat(4_000_000);
  const address = await listen(t, (socket) => {
    socket.once("data", () => socket.end(text));
  });
  const relay = await startRelay(t);
  const socket = await open(relay.address, address);
  const end = detectReset(socket);
  socket.write("request");
  // A slow reader: the VM between has to wait for it.
  await delay(100);
  t.true(socket.bytesRead < text.length);
  t.true((await received(socket)).text === text);
  t.is(await end, null);
});

/** Bytes that the VM between sends after the connection is open. */
const BAD_FRAMES_AFTER_OPENING: [string, Buffer][] = [
  ["an unknown frame", encodeFrame({ kind: "relay.unknown" })],
  ["a second answer", encodeFrame({ kind: "relay.opened" })],
  [
    "data without bytes",
    encodeFrame({ kind: "relay.data", bytes: 7 }),
  ],
  [
    "data after the end of the server",
    Buffer.concat([
      encodeFrame({ kind: "relay.server_ended" }),
      encodeFrame(
        { kind: "relay.data", bytes: Buffer.from("x") },
      ),
    ]),
  ],
  ["bytes that are no frame", Buffer.alloc(64, 255)],
];

for (const [name, bytes] of BAD_FRAMES_AFTER_OPENING) {
  test(`relay: bad input, ${name} after the opening: the connection is destroyed`, async (t) => {
    const address = await listen(t, (socket) => {
      const opened = { kind: "relay.opened", isFramed: true };
      socket.once("data", () => {
        socket.write(encodeFrame(opened));
        socket.once("data", () => socket.write(bytes));
      });
    });
    const socket = await open(address, "127.0.0.1:1");
    socket.write("request");
    t.is((await received(socket)).text, "");
    t.not(socket.errored, null);
  });
}

// Guards against VMs that do not understand one another during an update.
test("relay: a VM of an older version receives the bytes of the server as they are", async (t) => {
  const address = await listen(t, (socket) => {
    socket.once("data", () => socket.end("response"));
  });
  const relay = await startRelay(t);
  const openFrame = { ...OPEN_FRAME, address };
  const socket = connect(parseAddress(relay.address));
  socket.write(encodeFrame(openFrame));
  const decoder = FrameDecoder.create();
  for (let isOpen = false; !isOpen;) {
    const [bytes] = await once(socket, "data");
    isOpen = decoder.push(bytes).some((frame) =>
      (frame as { kind: string }).kind === "relay.opened"
    );
  }
  socket.write("request");
  t.is((await received(socket)).text, "response");
});

test("relay: through a VM of an older version the bytes arrive, and their end is not proven", async (t) => {
  const address = await listen(t, (socket) => {
    socket.once("data", () => {
      socket.write(encodeFrame({ kind: "relay.opened" }));
      socket.once("data", () => socket.end("response"));
    });
  });
  const socket = await open(address, "127.0.0.1:1");
  const end = detectReset(socket);
  socket.write("request");
  t.is((await received(socket)).text, "response");
  t.not(await end, null);
});

// Guards against work at a server whose caller has left.
test("relay: the connection to the server ends with that of the other VM", async (t) => {
  let end: Promise<unknown> = Promise.resolve();
  const address = await listen(t, (socket) => {
    end = received(socket);
  });
  const relay = await startRelay(t);
  const socket = await open(relay.address, address);
  socket.write("request");
  await delay(30);
  socket.resetAndDestroy();
  await end;
  t.pass();
});

test("relay: a refused connection states what the server's address did", async (t) => {
  const relay = await startRelay(t);
  const error = await failureOf(open(relay.address, loopbackAddress()));
  t.true(error.isServerRefused);
  t.false(error.isRelayFault);
});

for (
  const refusal of ["stopping", "isolated", "unknown_server", "busy"] as const
) {
  test(`relay: a VM that refuses with ${refusal} is distinguished from a server that refuses`, async (t) => {
    const relay = await startRelay(t, refusal);
    const error = await failureOf(open(relay.address, "127.0.0.1:1"));
    t.is(error.failure, refusal);
    t.true(error.isRelayFault);
    t.regex(error.message, /connect through VM at .*: /);
  });
}

// Guards against an order that reaches its server after it has timed out, since
// the reset by its sender was lost between the VMs.
test("relay: a server that does not respond in time: both connections are reset", async (t) => {
  let end: Promise<unknown> = Promise.resolve();
  const address = await listen(t, (socket) => {
    end = received(socket);
  });
  const relay = await startRelay(t);
  const socket = await open(relay.address, address, 100);
  socket.write("order");
  t.is((await received(socket)).error, "ECONNRESET");
  await end;
  const [ended] = relay.readLog();
  t.like(ended, { message: "relay.ended", cause: "no_response" });
});

// Guards against a request or an order that waited while the VM between did not
// run, and reaches its server late.
test("relay: bytes that are read late are discarded with their connection", async (t) => {
  let text = "";
  const address = await listen(t, (socket) => {
    socket.on("data", (bytes) => text += String(bytes));
  });
  const relay = await startRelay(t);
  const socket = await open(relay.address, address);
  relay.lag.lateness = 300;
  socket.write("late");
  const { error } = await received(socket);
  t.is(error, "ECONNRESET");
  await delay(50);
  t.is(text, "");
});

test("relay: a stop for its users resets all connections", async (t) => {
  const address = await listen(t, () => {});
  const relay = await startRelay(t);
  const socket = await open(relay.address, address);
  relay.relay.abort();
  t.is((await received(socket)).error, "ECONNRESET");
  t.is(relay.relay.count, 0);
});

/** First frames that open no connection. */
const BAD_FRAMES: [string, object][] = [
  ["without a server", { ...OPEN_FRAME, server: undefined }],
  ["an address that is a number", { ...OPEN_FRAME, address: 7 }],
  ["an address that is too long", { ...OPEN_FRAME, address: "x".repeat(300) }],
  ["a negative timeout", { ...OPEN_FRAME, responseTimeout: -1 }],
  ["an endless timeout", { ...OPEN_FRAME, responseTimeout: Infinity }],
  ["another protocol", { ...OPEN_FRAME, protocol: 99 }],
];

for (const [name, frame] of BAD_FRAMES) {
  test(`relay: bad input, ${name}: the connection is closed with one short log line`, async (t) => {
    const relay = await startRelay(t);
    const socket = connect(parseAddress(relay.address));
    socket.write(encodeFrame(frame as { kind: string }));
    await received(socket);
    t.is(relay.relay.count, 0);
    t.deepEqual(relay.events, []);
    const lines = relay.readLog();
    t.deepEqual(lines.map(({ message }) => message), ["peer.cut_off"]);
    t.true(JSON.stringify(lines[0]).length < 1_000);
    // Other connections are not affected.
    const address = await listen(t, (server) => {
      server.once("data", () => server.end("here"));
    });
    const other = await open(relay.address, address);
    other.write("request");
    t.is((await received(other)).text, "here");
  });
}

test("relay: bad input, an address that is none: the connection is refused", async (t) => {
  const relay = await startRelay(t);
  const error = await failureOf(open(relay.address, "no address"));
  t.is(error.failure, "unknown_server");
});

/** What a VM that is no relay may do with a connection. */
const BAD_ANSWERS: [string, (socket: Socket) => void][] = [
  // A VM of an older version does not know the frame.
  ["closes it", (socket) => socket.end()],
  ["resets it", (socket) => socket.resetAndDestroy()],
  ["does not answer", () => {}],
  [
    "answers with a huge frame",
    (socket) => socket.write(Buffer.alloc(64, 255)),
  ],
  [
    "answers with an unknown reason",
    (socket) => socket.end(encodeFrame({ kind: "relay.refused" })),
  ],
];

for (const [name, answer] of BAD_ANSWERS) {
  test(`relay: bad input, a VM that ${name}: the connection fails in time, and nothing was sent`, async (t) => {
    const address = await listen(t, (socket) => {
      socket.once("data", () => answer(socket));
    });
    const startedAt = performance.now();
    const error = await failureOf(open(address, "127.0.0.1:1"));
    t.true(error.isRelayFault);
    t.true(performance.now() - startedAt < 1_000);
  });
}

for (const address of ["", "nowhere", "127.0.0.1:99999999", "::::"]) {
  test(`relay: bad input, the VM at "${address}": the connection fails`, async (t) => {
    const error = await failureOf(open(address, "127.0.0.1:1"));
    t.true(error.isRelayFault);
  });
}
