/**
 * Tells the platform's balancer whether this VM takes new connections.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { listenAt } from "./listen.ts";

/** See the module's comment. */
export class ReadinessServer {
  readonly #server: Server;
  #isReady = false;

  private constructor() {
    this.#server = createServer((request, response) => {
      request.resume();
      response.writeHead(this.#isReady ? 200 : 503, { "content-length": 0 });
      response.end();
    });
  }

  /** A server that says "not ready". */
  static create(): ReadinessServer {
    return new ReadinessServer();
  }

  /** Answers at `address`. Rejects when it cannot be had. */
  listen(address: string): Promise<void> {
    return listenAt(this.#server, address);
  }

  /** Changes what is told. */
  set(isReady: boolean): void {
    this.#isReady = isReady;
  }

  /** Ends all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
