/**
 * Addresses of this machine that are free. Each test process draws from a range
 * of its own, so that two of them never wait for the same one.
 *
 * @module
 */
import { type AddressInfo, createServer } from "node:net";

/** An address that is free now. */
export async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}
