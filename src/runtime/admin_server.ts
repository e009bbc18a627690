/**
 * HTTP server for operators: metrics and the status of the process.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { EntryStatus } from "../core/entry_status.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import { listenAt } from "./listen.ts";

/** See the module's comment. */
export class AdminServer {
  readonly #server: Server;

  private constructor(
    private readonly metrics: EntryMetrics,
    private readonly readStatus: () => EntryStatus,
  ) {
    this.#server = createServer((request, response) => {
      request.resume();
      this.#respond(request.url ?? "/", response);
    });
  }

  /**
   * Creates a server that publishes `metrics` and the status that `readStatus`
   * returns. It does not listen yet.
   */
  static create(
    metrics: EntryMetrics,
    readStatus: () => EntryStatus,
  ): AdminServer {
    return new AdminServer(metrics, readStatus);
  }

  /** Listens at `address`. Rejects if it cannot. */
  listen(address: string): Promise<void> {
    return listenAt(this.#server, address);
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #respond(path: string, response: ServerResponse): void {
    if (path === "/metrics") {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(this.metrics.render());
    } else if (path === "/status") {
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify(this.readStatus()));
    } else {
      response.writeHead(404, { "content-type": "text/plain" });
      response.end("expected /metrics or /status\n");
    }
  }
}
