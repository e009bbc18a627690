/**
 * HTTP server for callers. Receives requests, checks them against the limits,
 * and sends exactly one final response to each.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { CallerLimits } from "../core/catalog/index.ts";
import type { ErrorResponse } from "../core/dispatch/index.ts";
import { Fingerprint } from "../core/quarantine/index.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { BackendResponse, OutgoingRequest } from "./backend_pool.ts";
import type { EventSink } from "./entry_loop.ts";
import type { HeaderCodec } from "./header_codec.ts";
import { HeldBytes } from "./held_bytes.ts";
import { listenAt } from "./listen.ts";
import { afterPendingReads, type LoopLag } from "./loop_lag.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { readBody } from "./request_body.ts";
import {
  BAD_REQUEST,
  BODY_TOO_LARGE,
  canMeetExpectation,
  checkHeaders,
  EXPECTATION_FAILED,
  PARSER_REJECTIONS,
  rawResponse,
  READ_TOO_LATE,
  type RequestRejection,
  TUNNEL_UNSUPPORTED,
} from "./request_rejection.ts";
import { UnreadResponses } from "./unread_responses.ts";

/**
 * Maximum size of the headers that Node's parser accepts, in bytes. The
 * configured limit is checked afterwards, since it may change while the server
 * runs.
 */
const MAXIMUM_HEADER_SIZE = 64 * 1024;
/** Interval between checks of the callers' timeouts, in milliseconds. */
const CHECK_INTERVAL = 1_000;
/**
 * Time in which a caller must send its whole request, in milliseconds. The
 * received part stays in memory for that long.
 */
const REQUEST_TIMEOUT = 30_000;
/**
 * Age up to which a request counts as just received and keeps its whole
 * timeout, in milliseconds. The delay of the event loop is not known more
 * precisely, and it is acceptable that servers work for up to half a second for
 * callers that have disconnected.
 */
const MAXIMUM_FRESH_AGE = 150;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Codes of the errors that occur when a caller has closed its connection, in
 * the middle of a request or between requests.
 */
const DISCONNECT_ERRORS = new Set(["ECONNRESET", "HPE_INVALID_EOF_STATE"]);

/** One request of a caller and its response. */
interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  connection: CallerConnection;
  outgoing: OutgoingRequest;
  /** When the headers of the request were read. */
  arrivedAt: number;
  /** Bytes that are held of the body. */
  heldBytes: number;
  /** Whether the whole body has been received. */
  isReceived: boolean;
  /** Whether it was passed to the core. */
  isForwarded: boolean;
}

/** Records every response in the metrics. */
export interface ResponseObserver {
  /**
   * Records a response to a caller; `isOwn` if plumloft itself produced it, and
   * `milliseconds` since its request arrived.
   */
  recordResponse(status: number, isOwn: boolean, milliseconds: number): void;
}

/** Connections and requests of the server. */
export interface CallerCounts {
  connections: number;
  /**
   * Requests without a response, including those that are still being received.
   */
  unanswered: number;
  /** Responses that the operating system has not accepted completely. */
  unsent: number;
  /** Requests that were discarded because their connection was closing. */
  notTaken: number;
  /**
   * Requests that were rejected because their deadline had passed when they
   * were read.
   */
  late: number;
}

/** See the module's comment. */
export class CallerServer {
  readonly #server: Server;
  readonly #exchanges = new Map<number, Exchange>();
  readonly #connections = new Map<Duplex, CallerConnection>();
  readonly #unread = UnreadResponses.create();
  #checkTimer: NodeJS.Timeout | null = null;
  #limits: CallerLimits | null = null;
  #exchangeCount = 0;
  #discardedRequests = 0;
  #lateRequests = 0;
  #isDraining = false;
  #isClosed = false;
  #isClosedReported = false;

  private constructor(
    private readonly codec: HeaderCodec,
    private readonly sink: EventSink,
    private readonly observer: ResponseObserver,
    private readonly lag: LoopLag,
    private readonly held: HeldBytes,
  ) {
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_SIZE,
      requestTimeout: REQUEST_TIMEOUT,
      connectionsCheckingInterval: CHECK_INTERVAL,
      // Node's own response to a request without a host closes the connection,
      // and requests pipelined behind it would run without a response.
      requireHostHeader: false,
    }, (request, response) => this.#handleRequest(request, response));
    this.#server.on(
      "checkExpectation",
      (request, response) => this.#handleRequest(request, response),
    );
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket) =>
        this.#handleClientError(error, socket),
    );
    this.#server.on(
      "connect",
      (_, socket: Duplex) => this.#rejectTunnel(socket),
    );
    this.#server.on(
      "connection",
      (socket: Socket) => this.#addConnection(socket),
    );
    // Node's implementation, which `close` calls, treats a connection as idle
    // once its response has ended, even if another pipelined request is
    // waiting.
    this.#server.closeIdleConnections = () => {};
  }

  /**
   * Creates a server that does not listen yet. The bytes of its connections are
   * counted in `held`.
   */
  static create(
    codec: HeaderCodec,
    sink: EventSink,
    observer: ResponseObserver,
    lag: LoopLag,
    held = HeldBytes.create(null),
  ): CallerServer {
    return new CallerServer(codec, sink, observer, lag, held);
  }

  /** Accepts callers at `address`. Rejects if it cannot listen there. */
  listen(address: string): Promise<void> {
    this.#checkTimer = setInterval(() => this.checkUnread(), CHECK_INTERVAL);
    this.#checkTimer.unref();
    return listenAt(this.#server, address);
  }

  /**
   * Resets the connections whose callers have not read their responses for a
   * while, if too many bytes are held. Called each second.
   */
  checkUnread(): void {
    const sockets = [...this.#connections.values()].map(({ socket }) => socket);
    this.#unread.check(sockets, this.held.isHigh);
  }

  /** Applies these limits to callers. */
  applyLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#server.headersTimeout = limits.headerTimeout;
    this.#server.keepAliveTimeout = limits.idleTimeout;
  }

  /** Closes each connection after its last pending response. */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Accepts no new connections or requests. Idle connections are closed, others
   * after their pending responses. Without this, the connection of a caller
   * that always sends its next request before the response would never close.
   * Pushes `callers.closed` once no response can be cut off any more.
   */
  close(): void {
    this.#isDraining = true;
    this.#isClosed = true;
    for (const connection of this.#connections.values()) connection.end();
    this.#server.close();
    this.#reportClosed();
  }

  /** Current counts of connections and requests. */
  get counts(): CallerCounts {
    let pending = 0;
    for (const each of this.#connections.values()) pending += each.pendingCount;
    const unanswered = this.#exchanges.size;
    return {
      connections: this.#connections.size,
      unanswered,
      unsent: pending - unanswered,
      notTaken: this.#discardedRequests,
      late: this.#lateRequests,
    };
  }

  /** Closes the server and destroys all connections. */
  destroy(): void {
    if (this.#checkTimer !== null) clearInterval(this.#checkTimer);
    this.#server.close();
    for (const { socket } of this.#connections.values()) socket.destroy();
  }

  #addConnection(socket: Socket): void {
    const connection = CallerConnection.create(socket, () => {
      this.#connections.delete(socket);
      this.#reportClosed();
    }, this.held);
    this.#connections.set(socket, connection);
    if (this.#isClosed) connection.end();
  }

  /**
   * Pushes `callers.closed` once the process may stop without cutting off a
   * request or response.
   */
  #reportClosed(): void {
    if (!this.#isClosed || this.#isClosedReported) return;
    for (const { isBusy } of this.#connections.values()) if (isBusy) return;
    this.#isClosedReported = true;
    this.sink.push({ kind: "callers.closed" });
  }

  /**
   * The request to forward for an exchange, or undefined if the exchange has
   * ended.
   */
  outgoing(exchange: number): OutgoingRequest | undefined {
    return this.#exchanges.get(exchange)?.outgoing;
  }

  /** Forwards a server's response to the caller. */
  deliver(exchange: number, response: BackendResponse): void {
    const { status, statusText, headers, body } = response;
    this.#respond(exchange, status, statusText, headers, body, false);
  }

  /** Sends an error response that plumloft generated. */
  refuse({ exchange, status, retryAfter, reason }: ErrorResponse): void {
    const headers = ["Content-Type", "text/plain"];
    if (retryAfter !== null) {
      headers.push(
        "Retry-After",
        (retryAfter / MILLISECONDS_PER_SECOND).toFixed(3),
      );
    }
    const body = Buffer.from(`plumloft: ${reason}\n`);
    this.#respond(exchange, status, "", headers, body, true);
  }

  #respond(
    id: number,
    status: number,
    statusText: string,
    headers: readonly string[],
    body: Buffer,
    isOwn: boolean,
  ): void {
    const exchange = this.#exchanges.get(id);
    if (exchange === undefined) return;
    this.#exchanges.delete(id);
    const { response, connection, arrivedAt } = exchange;
    // The other order would count both and exceed limits without need.
    connection.bytes.release(exchange.heldBytes, !exchange.isReceived);
    connection.bytes.add(body.length);
    response.once("close", () => connection.bytes.release(body.length, false));
    const isLast = connection.isLast(id);
    if (this.#isDraining && isLast) connection.end();
    const head = [...headers, "Content-Length", String(body.length)];
    if (isLast && !connection.isAccepting) head.push("Connection", "close");
    if (statusText === "") response.writeHead(status, head);
    else response.writeHead(status, statusText, head);
    response.end(body);
    this.observer.recordResponse(status, isOwn, monotonicNow() - arrivedAt);
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined || !connection.isAccepting) {
      this.#discardedRequests += 1;
      request.resume();
      return;
    }
    this.#exchangeCount += 1;
    const id = this.#exchangeCount;
    const exchange: Exchange = {
      request,
      response,
      connection,
      outgoing: {
        id: "",
        method: request.method ?? "GET",
        target: request.url ?? "/",
        headers: request.rawHeaders,
        body: Buffer.alloc(0),
      },
      arrivedAt: monotonicNow(),
      heldBytes: 0,
      isReceived: false,
      isForwarded: false,
    };
    this.#exchanges.set(id, exchange);
    connection.addRequest(
      id,
      response,
      () => this.#callerDisconnected(id),
    );
    const rejection = checkHeaders(request, this.#limits);
    if (rejection !== null) return this.#reject(id, rejection);
    if (!canMeetExpectation(request)) this.#sendError(id, EXPECTATION_FAILED);
    readBody(request, () => this.#limits?.maximumBodyBytes ?? Infinity, {
      onChunk: (bytes) => this.#countChunk(id, exchange, bytes),
      onTooLarge: () => this.#reject(id, BODY_TOO_LARGE),
      onComplete: (body) => {
        if (!this.#exchanges.has(id) || exchange.isForwarded) return;
        exchange.isReceived = true;
        connection.bytes.received(exchange.heldBytes);
        exchange.outgoing.body = body;
        this.#requestReceived(id, exchange);
      },
    });
  }

  /**
   * Counts bytes of a body that is being received; returns whether it is still
   * needed. When the held bytes reach their bound, the core refuses the request
   * before it is complete: its caller may be slow.
   */
  #countChunk(id: number, exchange: Exchange, bytes: number): boolean {
    if (!this.#exchanges.has(id) || exchange.isForwarded) return false;
    exchange.heldBytes += bytes;
    exchange.connection.bytes.receive(bytes);
    if (this.held.lastingShare < 1) return true;
    this.#forward(id, exchange, monotonicNow());
    return false;
  }

  /**
   * Forwards a complete request once all bytes that are pending on connections
   * have been read. The end of a caller's connection may be unread behind its
   * request: Node accepts one new connection per turn of its event loop, so on
   * a busy VM connections are queued with everything that was sent on them, and
   * the end is read one turn after the preceding bytes. Without this check,
   * servers would run requests whose callers have disconnected. Three turns of
   * an idle loop take 0.01 ms; on a busy VM they also accept waiting
   * connections before requests are processed.
   */
  #requestReceived(id: number, exchange: Exchange): void {
    const receivedAt = monotonicNow() - this.lag.lateness;
    afterPendingReads(() => {
      if (!this.#exchanges.has(id)) return;
      this.#forward(id, exchange, receivedAt);
    });
  }

  /**
   * Forwards a request with its remaining timeout, which counts from when its
   * bytes arrived at this VM. If it counted from when they were read, servers
   * would run requests whose callers have given up.
   */
  #forward(id: number, exchange: Exchange, receivedAt: number): void {
    const { headers } = exchange.request;
    const { timeout, ...metadata } = this.codec.readRequest(headers);
    const age = Math.round(monotonicNow() - receivedAt);
    const isDelayed = timeout !== null && age > MAXIMUM_FRESH_AGE;
    const remaining = isDelayed ? timeout - age : timeout;
    if (isDelayed && timeout <= age) {
      this.#lateRequests += 1;
      this.sink.push({ kind: "request.late", id: metadata.id, timeout, age });
      return this.#sendError(id, READ_TOO_LATE);
    }
    exchange.outgoing.id = metadata.id;
    exchange.isForwarded = true;
    this.sink.push({
      kind: "request.arrived",
      arrival: {
        exchange: id,
        host: headers.host ?? "",
        target: exchange.outgoing.target,
        timeout: remaining,
        fingerprint: fingerprintOf(exchange),
        ...this.#memoryShare(exchange),
        ...bodySize(exchange),
        ...metadata,
      },
    });
  }

  /** Held bytes as part of a request's arrival; none without a bound. */
  #memoryShare({ isReceived }: Exchange): { memoryShare?: number } {
    if (!isReceived) return { memoryShare: 1 };
    const { lastingShare } = this.held;
    return lastingShare > 0 ? { memoryShare: lastingShare } : {};
  }

  /** Responds to a request that is not forwarded and closes its connection. */
  #reject(id: number, rejection: RequestRejection): void {
    this.#exchanges.get(id)?.connection.end();
    this.#sendError(id, rejection);
  }

  #sendError(exchange: number, { status, reason }: RequestRejection): void {
    this.refuse({
      kind: "request.refuse",
      exchange,
      status,
      retryAfter: null,
      reason,
    });
  }

  /**
   * Handles bytes that are not an HTTP request, or a request that was not
   * completed in time. Pending responses are sent first: the caller would take
   * an earlier error response for one of them.
   */
  #handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || DISCONNECT_ERRORS.has(error.code ?? "")) {
      socket.destroy();
      return;
    }
    const rejection = PARSER_REJECTIONS[error.code ?? ""] ?? BAD_REQUEST;
    this.#rejectPartialRequest(connection, rejection);
    connection.end(rawResponse(rejection));
  }

  /** Rejects a request that was received only in part, if there is one. */
  #rejectPartialRequest(
    { lastExchange }: CallerConnection,
    rejection: RequestRejection,
  ): void {
    if (lastExchange === null) return;
    const isRead = this.#exchanges.get(lastExchange)?.request.complete ?? true;
    if (!isRead) this.#reject(lastExchange, rejection);
  }

  /**
   * Rejects a CONNECT request. Node has stopped reading from the connection and
   * handling its errors at this point.
   */
  #rejectTunnel(socket: Duplex): void {
    socket.on("error", () => socket.destroy());
    socket.resume();
    this.#connections.get(socket)?.end(rawResponse(TUNNEL_UNSUPPORTED));
  }

  /** Ends an exchange whose response can no longer be sent. */
  #callerDisconnected(id: number): void {
    const exchange = this.#exchanges.get(id);
    if (exchange === undefined) return;
    this.#exchanges.delete(id);
    const { connection, heldBytes, isReceived } = exchange;
    connection.bytes.release(heldBytes, !isReceived);
    this.sink.push({ kind: "request.left", exchange: id });
  }
}

/** Size of the body as part of a request's arrival; none without a body. */
function bodySize({ outgoing }: Exchange): { bodyBytes?: number } {
  const { length } = outgoing.body;
  return length > 0 ? { bodyBytes: length } : {};
}

function fingerprintOf({ request, outgoing }: Exchange): Fingerprint {
  return Fingerprint.create({
    method: outgoing.method,
    host: request.headers.host ?? "",
    target: outgoing.target,
    body: outgoing.body,
  });
}
