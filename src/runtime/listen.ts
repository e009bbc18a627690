/**
 * Lets a server listen at an address of the settings.
 *
 * @module
 */
import type { Server } from "node:net";
import { parseAddress } from "../settings/address.ts";

/** Connections that may wait to be accepted; many callers come at once. */
const BACKLOG = 1_024;

/** Listens at `address`, or rejects when it cannot be had. */
export function listenAt(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: BACKLOG }, () => resolve());
  });
}
