/**
 * A TCP proxy that limits the download bandwidth like the network link of a
 * small VM. All connections share the limit. Uploads are not limited.
 *
 * @module
 */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { parseAddress } from "../../src/settings/index.ts";

/** Time between two writes to clients, in milliseconds. */
const SEND_INTERVAL = 10;

/** Bytes that wait to be written to a client connection. */
interface QueuedBytes {
  socket: Socket;
  bytes: Buffer;
}

/**
 * Starts a proxy to `target` and returns its address. The proxy is closed when
 * the test ends.
 */
export async function openThrottledLink(
  t: ExecutionContext,
  target: string,
  bytesPerSecond: number,
): Promise<string> {
  const sockets = new Set<Socket>();
  let queue: QueuedBytes[] = [];
  const server = createServer((client) => {
    const { host, port } = parseAddress(target);
    const upstream = connect(port, host);
    sockets.add(client).add(upstream);
    for (const [one, other] of [[client, upstream], [upstream, client]]) {
      one.on("error", () => other.destroy());
      one.on("close", () => {
        sockets.delete(one);
        other.destroy();
      });
    }
    client.on("data", (bytes) => upstream.write(bytes));
    upstream.on("data", (bytes) => queue.push({ socket: client, bytes }));
  });
  const timer = setInterval(() => {
    let budget = bytesPerSecond * SEND_INTERVAL / 1_000;
    while (budget > 0 && queue.length > 0) {
      const [{ socket, bytes }] = queue;
      if (!socket.destroyed) socket.write(bytes.subarray(0, budget));
      queue[0].bytes = bytes.subarray(budget);
      if (queue[0].bytes.length === 0 || socket.destroyed) queue.shift();
      budget -= Math.min(budget, bytes.length);
    }
    queue = queue.filter(({ socket }) => !socket.destroyed);
  }, SEND_INTERVAL);
  t.teardown(() => {
    clearInterval(timer);
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
}
