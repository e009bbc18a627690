/**
 * A link of a small VM: passes connections on to an address, and all that comes
 * back over them together no faster than so many bytes a second.
 *
 * @module
 */
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { parseAddress } from "../../src/settings/index.ts";

/** Pause between two portions, in milliseconds. */
const TICK = 10;

/** Bytes that wait for the link, by connection. */
interface Waiting {
  socket: Socket;
  bytes: Buffer;
}

/** Opens one to `target`; resolves to the address that leads there. */
export async function openSmallLink(
  t: ExecutionContext,
  target: string,
  bytesPerSecond: number,
): Promise<string> {
  const sockets = new Set<Socket>();
  let waiting: Waiting[] = [];
  const server = createServer((near) => {
    const { host, port } = parseAddress(target);
    const far = connect(port, host);
    sockets.add(near).add(far);
    for (const [one, other] of [[near, far], [far, near]]) {
      one.on("error", () => other.destroy());
      one.on("close", () => {
        sockets.delete(one);
        other.destroy();
      });
    }
    near.on("data", (bytes) => far.write(bytes));
    far.on("data", (bytes) => waiting.push({ socket: near, bytes }));
  });
  const timer = setInterval(() => {
    let left = bytesPerSecond * TICK / 1_000;
    while (left > 0 && waiting.length > 0) {
      const [{ socket, bytes }] = waiting;
      if (!socket.destroyed) socket.write(bytes.subarray(0, left));
      waiting[0].bytes = bytes.subarray(left);
      if (waiting[0].bytes.length === 0 || socket.destroyed) waiting.shift();
      left -= Math.min(left, bytes.length);
    }
    waiting = waiting.filter(({ socket }) => !socket.destroyed);
  }, TICK);
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
