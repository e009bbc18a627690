/**
 * Health check endpoint for the platform's load balancer. It reports whether
 * new connections should be routed to this VM. During a shutdown they should
 * not, although the VM still accepts them for some seconds.
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

  /** Creates a server that reports "not ready". It does not listen yet. */
  static create(): ReadinessServer {
    return new ReadinessServer();
  }

  /** Listens at `address`. Rejects if it cannot. */
  listen(address: string): Promise<void> {
    return listenAt(this.#server, address);
  }

  /** Changes the reported readiness. */
  setReady(isReady: boolean): void {
    this.#isReady = isReady;
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
