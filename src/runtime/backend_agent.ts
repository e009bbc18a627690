/**
 * Pool of the connections to one backend server.
 *
 * @module
 */
import { Agent, type ClientRequest, type ClientRequestArgs } from "node:http";
import type { NetConnectOpts, Socket } from "node:net";
import type { Duplex } from "node:stream";
import { PacedSocket } from "./paced_socket.ts";

/** Options of a request that determine which connections it may use. */
export interface OrdinalOptions {
  /**
   * Position among the attempts of a caller's request at the server, from 1; 1
   * if omitted. A connection is used for one ordinal only.
   */
  ordinal?: number;
}

/**
 * Keeps connections alive, and destroys an idle connection on which bytes
 * arrive, since they belong to no request.
 *
 * Bytes that arrive later, when the next response is expected, are distinguished
 * from it by the id of their request. So a connection never carries two attempts
 * of one request: its attempts at one server have different ordinals.
 */
export class BackendAgent extends Agent {
  #isRetired = false;

  /**
   * Whether a connection is idle, so that an attempt with this ordinal need not
   * open one.
   */
  hasIdle(ordinal: number): boolean {
    return Object.entries(this.freeSockets).some(([name, sockets = []]) =>
      name.endsWith(nameSuffix(ordinal)) &&
      sockets.some((socket) => !socket.destroyed)
    );
  }

  /** Called by Node: a connection is used again by requests of its name. */
  override getName(options?: ClientRequestArgs & OrdinalOptions): string {
    return super.getName(options) + nameSuffix(options?.ordinal ?? 1);
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

  /** Called by Node for a request without an idle connection. */
  override createConnection(
    options: ClientRequestArgs,
    _callback?: (error: Error | null, socket: Duplex) => void,
  ): Duplex | null | undefined {
    return PacedSocket.connect(options as NetConnectOpts);
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.#isRetired) return false;
    // They belong to no request, and would be read as the next response.
    if (socket instanceof PacedSocket && socket.hasPendingBytes) return false;
    // Node's types omit the returned boolean, which tells whether the socket is
    // kept.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on("data", destroySocket);
    return isKept;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", destroySocket);
    if (socket instanceof PacedSocket) socket.startResponse();
    super.reuseSocket(socket, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}

/** End of the name of connections that are used for an ordinal. */
function nameSuffix(ordinal: number): string {
  return `#${ordinal}`;
}
