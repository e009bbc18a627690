/**
 * Passes on the bytes of connections that other VMs have to backend servers
 * through this process.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import type { RelayOpen, RelayRefuse } from "../core/reach/index.ts";
import type { Logger } from "../logging/index.ts";
import { parseAddress } from "../settings/index.ts";
import type { EventSink } from "./entry_loop.ts";
import { encodeFrame } from "./frame.ts";
import type { LoopLag } from "./loop_lag.ts";
import { resetSocket } from "./socket_reset.ts";
import { detectReset } from "./orderly_end.ts";
import type {
  RelayFailure,
  RelayFrame,
  RelayOpenFrame,
} from "./relay_frame.ts";

/** Connect timeout, in milliseconds. */
const CONNECT_TIMEOUT = 250;
/**
 * Time without bytes in either direction after which a connection is closed, in
 * milliseconds. The other VM closes idle ones earlier, unless it has ended
 * without closing them.
 */
const IDLE_TIMEOUT = 60_000;
/**
 * Delay of the event loop after which bytes for a server are discarded with
 * their connection, in milliseconds. Their sender may have timed out meanwhile,
 * and an order must not arrive later than that.
 */
const MAXIMUM_DELAY = 250;
/** Error code of a connection to an address at which no process listens. */
const CONNECTION_REFUSED = "ECONNREFUSED";

/** One connection of another VM. */
interface RelayedConnection {
  request: RelayOpenFrame;
  /** Connection to the other VM. */
  client: Socket;
  /** Connection to the server; null before it is opened. */
  server: Socket | null;
  isOpen: boolean;
  responseTimer: NodeJS.Timeout | null;
  openedAt: number;
}

/** See the module's comment. */
export class ConnectionRelay {
  readonly #connections = new Map<number, RelayedConnection>();
  #count = 0;

  private constructor(
    private readonly sink: EventSink,
    private readonly lag: Pick<LoopLag, "lateness">,
    private readonly logger: Logger,
  ) {}

  /** Creates a relay without connections. */
  static create(
    sink: EventSink,
    lag: Pick<LoopLag, "lateness">,
    logger: Logger,
  ): ConnectionRelay {
    return new ConnectionRelay(sink, lag, logger);
  }

  /** Number of connections that are open or being opened. */
  get count(): number {
    return this.#connections.size;
  }

  /**
   * Takes over a connection whose first frame was `request`, and pushes
   * `relay.requested`.
   */
  accept(client: Socket, request: RelayOpenFrame): void {
    this.#count += 1;
    const connection = this.#count;
    client.pause();
    client.setTimeout(IDLE_TIMEOUT);
    this.#connections.set(connection, {
      request,
      client,
      server: null,
      isOpen: false,
      responseTimer: null,
      openedAt: 0,
    });
    client.once("error", () => this.#end(connection, "vm_error"));
    client.once("timeout", () => this.#end(connection, "idle"));
    client.once("close", () => this.#end(connection, "vm_closed"));
    const { peerAddress: vm, server, address } = request;
    const { lateness } = this.lag;
    this.sink.push({
      kind: "relay.requested",
      request: { connection, vm, server, address, lateness },
    });
  }

  /** Refuses a connection. */
  refuse({ connection, reason }: RelayRefuse): void {
    this.#refuse(connection, reason);
  }

  /** Connects to the server, and passes on bytes from then on. */
  open({ connection, address }: RelayOpen): void {
    const found = this.#connections.get(connection);
    // The other VM may have closed it in the same turn of the event loop.
    if (found === undefined) {
      return this.sink.push({ kind: "relay.ended", connection });
    }
    let server: Socket;
    try {
      server = connect(parseAddress(address));
    } catch {
      return this.#refuse(connection, "unknown_server");
    }
    found.server = server;
    server.setNoDelay(true);
    server.setTimeout(CONNECT_TIMEOUT);
    server.once("timeout", () => {
      if (!found.isOpen) this.#refuse(connection, "server_silent");
    });
    server.once("error", ({ code }: NodeJS.ErrnoException) => {
      if (found.isOpen) return this.#end(connection, "server_error");
      const isRefused = code === CONNECTION_REFUSED;
      this.#refuse(connection, isRefused ? "server_refused" : "server_silent");
    });
    server.once("connect", () => this.#connected(connection, found, server));
  }

  /** Resets all connections. */
  abort(): void {
    for (const connection of [...this.#connections.keys()]) {
      this.#end(connection, "aborted");
    }
  }

  #connected(
    connection: number,
    found: RelayedConnection,
    server: Socket,
  ): void {
    const { client, request } = found;
    found.isOpen = true;
    found.openedAt = performance.now();
    server.setTimeout(0);
    send(client, { kind: "relay.opened", isFramed: request.takesFrames });
    client.on("data", () => {
      // Pipes pass the bytes on after this.
      if (this.lag.lateness > MAXIMUM_DELAY) {
        return this.#end(connection, "stalled");
      }
      found.responseTimer ??= setTimeout(
        () => this.#end(connection, "no_response"),
        request.responseTimeout,
      );
    });
    server.on("data", () => {
      if (found.responseTimer !== null) clearTimeout(found.responseTimer);
      found.responseTimer = null;
    });
    // The other VM must see a reset as such: it may cut off a response.
    void detectReset(server).then((error) => {
      this.#end(connection, error === null ? "server_closed" : "server_error");
    });
    server.once("close", () => this.#end(connection, "server_error"));
    client.pipe(server);
    if (request.takesFrames) sendFrames(server, client);
    else server.pipe(client, { end: false });
  }

  #refuse(connection: number, why: RelayFailure): void {
    const found = this.#connections.get(connection);
    if (found === undefined) return;
    this.#connections.delete(connection);
    send(found.client, { kind: "relay.refused", why });
    found.client.end();
    this.#close(found.server);
    this.#report(connection, found, why);
  }

  /** Ends a connection on both sides. */
  #end(connection: number, cause: string): void {
    const found = this.#connections.get(connection);
    if (found === undefined) return;
    this.#connections.delete(connection);
    const { client, server } = found;
    if (found.responseTimer !== null) clearTimeout(found.responseTimer);
    // Bytes that were not delivered must not be delivered later. A response
    // that ends with its connection has arrived completely by then.
    if (cause !== "server_closed") this.#close(client);
    else if (!client.destroyed) {
      if (found.request.takesFrames) {
        send(client, { kind: "relay.server_ended" });
      }
      client.end();
    }
    this.#close(server);
    this.#report(connection, found, cause);
  }

  /** Resets one side of a connection. */
  #close(socket: Socket | null): void {
    if (socket === null || socket.destroyed) return;
    socket.on("error", () => {});
    resetSocket(socket);
  }

  #report(
    connection: number,
    { client, server, request, openedAt }: RelayedConnection,
    cause: string,
  ): void {
    this.logger.write("info", "relay.ended", {
      connection,
      by: request.peerAddress,
      server: request.server,
      cause,
      took: openedAt === 0 ? null : Math.round(performance.now() - openedAt),
      sent: server?.bytesWritten ?? 0,
      received: client.bytesWritten,
    });
    this.sink.push({ kind: "relay.ended", connection });
  }
}

/** Sends a frame to another VM; returns whether it may send more now. */
function send(client: Socket, frame: RelayFrame): boolean {
  return client.write(encodeFrame(frame));
}

/** Passes on the bytes of a server in frames, as fast as the other VM reads. */
function sendFrames(server: Socket, client: Socket): void {
  server.on("data", (bytes: Buffer) => {
    if (!send(client, { kind: "relay.data", bytes })) server.pause();
  });
  client.on("drain", () => server.resume());
}
