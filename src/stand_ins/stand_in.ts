/**
 * Base class of the stand-ins, which simulate services of the platform, and
 * helpers to read requests and send JSON responses.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { parseAddress } from "../settings/address.ts";

/** A simulated service of the platform: an HTTP server at its own address. */
export abstract class StandIn {
  readonly #server: Server;

  protected constructor() {
    this.#server = createServer((request, response) => {
      this.handle(request, response).catch((error: Error) => {
        if (response.headersSent) response.destroy();
        else sendJson(response, 400, { error: error.message });
      });
    });
  }

  /** The address at which it listens. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Handles one request. If it rejects, the response has status 400. */
  protected abstract handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;

  /**
   * Sets the maximum number of connections, and the time in milliseconds for
   * which idle ones are kept.
   */
  protected limitConnections(connections: number, keepAlive: number): void {
    this.#server.maxConnections = connections;
    this.#server.keepAliveTimeout = keepAlive;
  }

  /**
   * Listens at `address`; port 0 selects a free port. Rejects if it is in use.
   */
  protected listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }
}

/** Sends `value` as a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Reads the body of a request as JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  return JSON.parse((await readBody(request)).toString("utf8"));
}
