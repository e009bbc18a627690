/**
 * Starts servers at addresses of the settings.
 *
 * @module
 */
import type { Server } from "node:net";
import { parseAddress } from "../settings/address.ts";

/**
 * Maximum number of connections that wait to be accepted. Many callers connect
 * at the same time.
 */
const BACKLOG = 1_024;

/** Listens at `address`. Rejects if it cannot. */
export function listenAt(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: BACKLOG }, () => resolve());
  });
}
