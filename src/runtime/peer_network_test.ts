import { createServer, type Socket } from "node:net";
import { PassThrough } from "node:stream";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { loopbackAddress } from "../../test/support/loopback_address.ts";
import { largeConfiguration } from "../../test/support/large_configuration.ts";
import type { UntimedEvent } from "../core/entry_event.ts";
import type { PeerMessage } from "../core/peers/index.ts";
import { Logger } from "../logging/index.ts";
import { PeerNetwork } from "./peer_network.ts";

const MESSAGE: PeerMessage = {
  kind: "state.wanted",
  term: 1,
  version: 1,
  configuration: 1,
};

/** Creates a network that records received messages. */
function createNetwork(address: string) {
  const received: UntimedEvent[] = [];
  const network = PeerNetwork.create(
    { vm: address, peerAddress: address },
    { push: (each) => void received.push(each) },
    Logger.create(address, "error", new PassThrough()),
  );
  return { network, received };
}

/**
 * Connects two networks. The second, at `b`, has received a message from the
 * first, which does not listen at `a`.
 */
async function connectNetworks(t: ExecutionContext) {
  const [a, b] = [loopbackAddress(), loopbackAddress()];
  const first = createNetwork(a);
  const second = createNetwork(b);
  t.teardown(() => {
    first.network.close();
    second.network.close();
  });
  await second.network.listen();
  while (second.received.length === 0) {
    first.network.send(b, MESSAGE);
    await delay(10);
  }
  return { a, first, second };
}

test("peer network: both sides use the connection that one has opened", async (t) => {
  const { a, first, second } = await connectNetworks(t);
  // The first network does not listen, so only the existing connection can be
  // used.
  while (first.received.length === 0) {
    second.network.send(a, MESSAGE);
    await delay(10);
  }
  t.pass();
});

test("peer network: replaces an unresponsive connection", async (t) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.resume();
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const { network } = createNetwork(loopbackAddress());
  t.teardown(() => {
    network.close();
    server.close();
  });
  const startedAt = Date.now();
  while (sockets.length < 2) {
    network.send(`127.0.0.1:${port}`, MESSAGE);
    await delay(50);
  }
  t.true(Date.now() - startedAt >= 1_500);
});

test("peer network: opens no second connection to a peer that has not responded yet", async (t) => {
  let count = 0;
  // Accepts connections, but is too busy to send anything.
  const server = createServer((socket) => {
    count += 1;
    socket.resume();
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const { network } = createNetwork(loopbackAddress());
  t.teardown(() => {
    network.close();
    server.close();
  });
  const end = Date.now() + 2_500;
  while (Date.now() < end) {
    network.send(`127.0.0.1:${port}`, MESSAGE);
    await delay(50);
  }
  t.is(count, 1);
});

/**
 * Maximum size of the message with a large configuration, in bytes: a link of
 * 7 Mbit/s, which also carries the answers that a VM depends on and all
 * responses to callers, needs 0.11 s for it.
 */
const MAXIMUM_BYTES = 100_000;

test("peer network: a configuration of 2,100 routes does not saturate a slow link", async (t) => {
  const { a, first, second } = await connectNetworks(t);
  await delay(50);
  const configuration = largeConfiguration(7);
  const before = second.network.traffic.bytesSent;
  second.network.send(a, {
    kind: "configuration.told",
    term: 1,
    version: 1,
    configuration: 7,
    told: configuration,
  });
  const bytes = second.network.traffic.bytesSent - before;
  while (first.received.length === 0) await delay(10);
  const [received] = first.received;
  t.deepEqual(
    received.kind === "peer.received" &&
      received.message.kind === "configuration.told" && received.message.told,
    configuration,
  );
  t.true(bytes < MAXIMUM_BYTES, `${bytes} bytes`);
});
