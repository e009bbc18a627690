/**
 * Operators' view of one VM: status, metrics and health over HTTP.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import { parseAddress } from "../settings/index.ts";

/** What the pages show. */
export interface AdminPages {
  /** The status as a JSON value. */
  status(): unknown;
  /** The metrics as text. */
  metrics(): Promise<string>;
  /** Whether the platform's balancer should send callers here. */
  isReady(): boolean;
}

/** See the module's comment. */
export class AdminServer {
  readonly #server: Server;

  private constructor(
    private readonly address: string,
    private readonly pages: AdminPages,
  ) {
    this.#server = createServer((request, response) => {
      request.resume();
      void this.#show(request.url ?? "/", response);
    });
  }

  /** A server at `address`. */
  static create(address: string, pages: AdminPages): AdminServer {
    return new AdminServer(address, pages);
  }

  /** Accepts operators. Rejects when the address is in use. */
  listen(): Promise<void> {
    const { host, port } = parseAddress(this.address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Closes every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #show(url: string, response: ServerResponse): Promise<void> {
    switch (url) {
      case "/status":
        return end(
          response,
          200,
          "application/json",
          JSON.stringify(this.pages.status()),
        );
      case "/metrics":
        return end(
          response,
          200,
          "text/plain; version=0.0.4",
          await this.pages.metrics(),
        );
      case "/ready": {
        const isReady = this.pages.isReady();
        return end(
          response,
          isReady ? 200 : 503,
          "text/plain",
          isReady ? "ready\n" : "not ready\n",
        );
      }
      default:
        return end(
          response,
          404,
          "text/plain",
          "expected /status, /metrics or /ready\n",
        );
    }
  }
}

function end(
  response: ServerResponse,
  status: number,
  type: string,
  body: string,
): void {
  response.writeHead(status, { "content-type": type });
  response.end(body);
}
