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
import { parseAddress } from "../settings/index.ts";

/** Handles one request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** A listening HTTP server that a stand-in is built on. */
export class HttpService {
  private constructor(readonly server: Server) {}

  /** Listens at `address`; port 0 takes any. Rejects when it is in use. */
  static listen(address: string, handler: Handler): Promise<HttpService> {
    const server = createServer((request, response) => {
      Promise.resolve(handler(request, response)).catch((error: Error) => {
        if (response.headersSent) response.destroy();
        else sendJson(response, 400, { error: error.message });
      });
    });
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, () => resolve(new HttpService(server)));
    });
  }

  /** The address it listens at. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
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
