/**
 * Serves the metrics of the process to operators.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { parseAddress } from "../settings/address.ts";
import type { EntryMetrics } from "./entry_metrics.ts";

/** Path of the metrics. */
const METRICS_PATH = "/metrics";

/** See the module's comment. */
export class MetricsServer {
  readonly #server: Server;

  private constructor(metrics: EntryMetrics) {
    this.#server = createServer((request, response) => {
      request.resume();
      if (request.url !== METRICS_PATH) {
        response.writeHead(404, { "content-length": 0 });
        response.end();
        return;
      }
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(metrics.render());
    });
  }

  /** A server of `metrics`. */
  static create(metrics: EntryMetrics): MetricsServer {
    return new MetricsServer(metrics);
  }

  /** Answers at `address`. Rejects when it cannot be had. */
  listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Ends all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
