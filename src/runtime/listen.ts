/**
 * Makes servers listen at addresses from the settings.
 *
 * @module
 */
import type { Server } from "node:net";
import { parseAddress } from "../settings/address.ts";

/**
 * Maximum number of connections that wait to be accepted: many callers may
 * connect at the same time.
 */
const BACKLOG = 1_024;

/**
 * Makes `server` listen at `address`. Rejects if the address cannot be used.
 */
export function listenAt(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: BACKLOG }, () => resolve());
  });
}
