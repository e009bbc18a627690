/**
 * What the stand-ins share: a small HTTP service that answers in JSON.
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

/** A stand-in: one HTTP server at an address of its own. */
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

  /** The address it listens at. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Answers one request. */
  protected abstract handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;

  /** Bounds the connections, and keeps idle ones for a while. */
  protected limit(connections: number, keepAlive: number): void {
    this.#server.maxConnections = connections;
    this.#server.keepAliveTimeout = keepAlive;
  }

  /** Listens at `address`; port 0 takes any. Rejects when it is in use. */
  protected listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }
}

/** Answers with a JSON value. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/** The whole body of a request. */
export async function readBytes(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** The body of a request as JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  return JSON.parse((await readBytes(request)).toString("utf8"));
}
