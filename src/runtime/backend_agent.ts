/**
 * Pool of the connections to one backend server.
 *
 * @module
 */
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Keeps connections alive, and destroys an idle connection on which bytes
 * arrive, since they belong to no request.
 */
export class BackendAgent extends Agent {
  #isRetired = false;

  /** Whether a connection is idle, so that a request need not open one. */
  get hasIdle(): boolean {
    return Object.values(this.freeSockets).some((sockets) =>
      (sockets ?? []).some((socket) => !socket.destroyed)
    );
  }

  /**
   * Destroys idle connections now, and connections in use after their response
   * is complete.
   */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.#isRetired) return false;
    // Node's types omit the returned boolean, which tells whether the socket is
    // kept.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on("data", destroySocket);
    return isKept;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", destroySocket);
    super.reuseSocket(socket, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
