/**
 * Callers' side: takes requests over HTTP, checks them against the limits, and
 * gives each exactly one final answer.
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
import type { Refusal } from "../core/dispatch/index.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { OutgoingRequest, TakenAnswer } from "./backend_pool.ts";
import type { OccurrenceSink } from "./entry_loop.ts";
import type { HeaderCodec } from "./header_codec.ts";
import { listenAt } from "./listen.ts";
import { LoopLag } from "./loop_lag.ts";
import {
  BAD_REQUEST,
  BODY_TOO_LARGE,
  EXPECTATION_FAILED,
  HEADERS_TOO_LARGE,
  NO_HOST,
  NO_TUNNEL,
  PARSER_FAULTS,
  rawAnswer,
  type RequestFault,
} from "./request_fault.ts";

/** Largest headers that are read at all, in bytes; the configured limit is
 * looked at afterwards, since it may change while the server runs. */
const HEADER_CEILING = 64 * 1024;
/** How often callers' timeouts are looked at, in milliseconds. */
const CHECK_INTERVAL = 1_000;
/** Time in which a caller must send its whole request, in milliseconds: what
 * it has sent stays in memory so long. */
const REQUEST_TIMEOUT = 30_000;
/** Milliseconds in a second, the unit of `Retry-After`. */
const SECOND = 1_000;

/** One exchange with a caller. */
interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  connection: CallerConnection;
  outgoing: OutgoingRequest;
  arrivedAt: number;
}

/** Told of every answer, for metrics. */
export interface AnswerObserver {
  answered(status: number, isOwn: boolean, milliseconds: number): void;
}

/** What the callers' side has in hand. */
export interface CallerCounts {
  connections: number;
  /** Requests without an answer, also those that are still being read. */
  unanswered: number;
  /** Answers that the operating system has not taken whole. */
  unsent: number;
  /** Requests that were left unread since their connection was ending. */
  notTaken: number;
}

/** See the module's comment. */
export class CallerServer {
  readonly #server: Server;
  readonly #lag = LoopLag.create();
  readonly #exchanges = new Map<number, Exchange>();
  readonly #connections = new Map<Duplex, CallerConnection>();
  #limits: CallerLimits | null = null;
  #count = 0;
  #notTaken = 0;
  #isDraining = false;
  #isClosed = false;
  #isToldClosed = false;

  private constructor(
    private readonly codec: HeaderCodec,
    private readonly sink: OccurrenceSink,
    private readonly observer: AnswerObserver,
  ) {
    this.#server = createServer({
      maxHeaderSize: HEADER_CEILING,
      requestTimeout: REQUEST_TIMEOUT,
      connectionsCheckingInterval: CHECK_INTERVAL,
      // Node's own answer to a request without a host ends the connection, and
      // requests behind it would be taken in vain.
      requireHostHeader: false,
    }, (request, response) => this.#take(request, response));
    this.#server.on(
      "checkExpectation",
      (request, response) => this.#take(request, response),
    );
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket) => this.#fault(error, socket),
    );
    this.#server.on("connect", (_, socket: Duplex) => this.#tunnel(socket));
    this.#server.on("connection", (socket: Socket) => this.#connect(socket));
    // Node's own, which `close` calls, takes a connection for idle whose answer
    // has just been ended, though another request waits behind it.
    this.#server.closeIdleConnections = () => {};
  }

  /** A server that does not listen yet. */
  static create(
    codec: HeaderCodec,
    sink: OccurrenceSink,
    observer: AnswerObserver,
  ): CallerServer {
    return new CallerServer(codec, sink, observer);
  }

  /** Accepts callers. Rejects when the address cannot be had. */
  listen(address: string): Promise<void> {
    return listenAt(this.#server, address);
  }

  /** Holds callers to these limits. */
  apply(limits: CallerLimits): void {
    this.#limits = limits;
    this.#server.headersTimeout = limits.headerTimeout;
    this.#server.keepAliveTimeout = limits.idleTimeout;
  }

  /** Ends each connection with its next answer. */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Takes no new connections or requests: idle connections are closed, the
   * others end with the answers that are due. A caller that always sends the
   * next request before an answer would otherwise never be let go. When nothing
   * is due any more, the loop is told that callers are closed.
   */
  close(): void {
    this.#isDraining = true;
    this.#isClosed = true;
    for (const connection of this.#connections.values()) connection.end();
    this.#server.close();
    this.#tellClosed();
  }

  /** What is in hand now. */
  get counts(): CallerCounts {
    let due = 0;
    for (const connection of this.#connections.values()) due += connection.due;
    const unanswered = this.#exchanges.size;
    return {
      connections: this.#connections.size,
      unanswered,
      unsent: due - unanswered,
      notTaken: this.#notTaken,
    };
  }

  /** Closes everything. */
  destroy(): void {
    this.#lag.stop();
    this.#server.close();
    for (const { socket } of this.#connections.values()) socket.destroy();
  }

  #connect(socket: Socket): void {
    const connection = CallerConnection.create(socket, () => {
      this.#connections.delete(socket);
      this.#tellClosed();
    });
    this.#connections.set(socket, connection);
    if (this.#isClosed) connection.end();
  }

  /** The process may stop once nothing that was taken or given would be cut. */
  #tellClosed(): void {
    if (!this.#isClosed || this.#isToldClosed) return;
    for (const { isBusy } of this.#connections.values()) if (isBusy) return;
    this.#isToldClosed = true;
    this.sink.push({ kind: "callers.closed" });
  }

  /** What is to be sent on for an exchange, or undefined when it has ended. */
  outgoing(exchange: number): OutgoingRequest | undefined {
    return this.#exchanges.get(exchange)?.outgoing;
  }

  /** Passes a server's answer on. */
  deliver(exchange: number, answer: TakenAnswer): void {
    const { status, statusText, headers, body } = answer;
    this.#answer(exchange, status, statusText, headers, body, false);
  }

  /** Answers in the name of plumloft. */
  refuse({ exchange, status, retryAfter, reason }: Refusal): void {
    const headers = ["Content-Type", "text/plain"];
    if (retryAfter !== null) {
      headers.push("Retry-After", (retryAfter / SECOND).toFixed(3));
    }
    const body = Buffer.from(`plumloft: ${reason}\n`);
    this.#answer(exchange, status, "", headers, body, true);
  }

  #answer(
    number: number,
    status: number,
    statusText: string,
    headers: readonly string[],
    body: Buffer,
    isOwn: boolean,
  ): void {
    const exchange = this.#exchanges.get(number);
    if (exchange === undefined) return;
    this.#exchanges.delete(number);
    const { response, connection, arrivedAt } = exchange;
    const isLast = connection.isLast(number);
    if (this.#isDraining && isLast) connection.end();
    const head = [...headers, "Content-Length", String(body.length)];
    if (isLast && !connection.takesRequests) head.push("Connection", "close");
    if (statusText === "") response.writeHead(status, head);
    else response.writeHead(status, statusText, head);
    response.end(body);
    this.observer.answered(status, isOwn, performance.now() - arrivedAt);
  }

  #take(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined || !connection.takesRequests) {
      this.#notTaken += 1;
      request.resume();
      return;
    }
    this.#count += 1;
    const number = this.#count;
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
      arrivedAt: performance.now(),
    };
    this.#exchanges.set(number, exchange);
    connection.add(number, response, () => this.#left(number));
    const fault = this.#headerFault(request);
    if (fault !== null) return this.#reject(number, fault);
    if (!isMetExpectation(request)) this.#say(number, EXPECTATION_FAILED);
    this.#readBody(number, exchange, request);
  }

  #readBody(
    number: number,
    exchange: Exchange,
    request: IncomingMessage,
  ): void {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > (this.#limits?.maximumBodyBytes ?? Infinity)) {
        return this.#reject(number, BODY_TOO_LARGE);
      }
      chunks.push(chunk);
    });
    request.once("end", () => {
      if (!this.#exchanges.has(number)) return;
      exchange.outgoing.body = Buffer.concat(chunks);
      this.#arrived(number, exchange, request);
    });
    // A body that breaks off ends the response, which reports the caller gone.
    request.on("error", () => {});
  }

  /**
   * While the process is behind, the end of a caller's connection may lie unread
   * behind its request: another turn of the loop reads it before the request is
   * passed on to a server that nobody waits for any more.
   */
  #arrived(number: number, exchange: Exchange, request: IncomingMessage): void {
    if (!this.#lag.isBehind) return this.#pass(number, exchange, request);
    afterNextRead(() => {
      if (this.#exchanges.has(number)) this.#pass(number, exchange, request);
    });
  }

  #pass(number: number, exchange: Exchange, request: IncomingMessage): void {
    const facts = this.codec.readCaller(request.headers);
    exchange.outgoing.id = facts.id;
    this.sink.push({
      kind: "request.arrived",
      arrival: {
        exchange: number,
        host: request.headers.host ?? "",
        target: exchange.outgoing.target,
        ...facts,
      },
    });
  }

  /** What is wrong with the headers, or null. */
  #headerFault(request: IncomingMessage): RequestFault | null {
    const { rawHeaders, url, headers, httpVersion } = request;
    if (httpVersion === "1.1" && headers.host === undefined) return NO_HOST;
    if (this.#limits === null) return null;
    let size = (url ?? "").length;
    for (const text of rawHeaders) size += text.length;
    return size > this.#limits.maximumHeaderBytes ? HEADERS_TOO_LARGE : null;
  }

  /** Answers a request that is not taken in and ends its connection. */
  #reject(number: number, fault: RequestFault): void {
    this.#exchanges.get(number)?.connection.end();
    this.#say(number, fault);
  }

  #say(exchange: number, { status, reason }: RequestFault): void {
    this.refuse({
      kind: "request.refuse",
      exchange,
      status,
      retryAfter: null,
      reason,
    });
  }

  /** Bytes came that are no request, or the rest of one did not come in time.
   * Answers that are due go first: what is sent in between would be taken for
   * one of them. */
  #fault(error: NodeJS.ErrnoException, socket: Duplex): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const fault = PARSER_FAULTS[error.code ?? ""] ?? BAD_REQUEST;
    this.#rejectUnread(connection, fault);
    connection.end(rawAnswer(fault));
  }

  /** Rejects the request of which only a part was read, if there is one. */
  #rejectUnread({ last }: CallerConnection, fault: RequestFault): void {
    if (last === null) return;
    const isRead = this.#exchanges.get(last)?.request.complete ?? true;
    if (!isRead) this.#reject(last, fault);
  }

  /** A tunnel is asked for; Node has let go of the connection's reading side. */
  #tunnel(socket: Duplex): void {
    socket.on("error", () => socket.destroy());
    socket.resume();
    this.#connections.get(socket)?.end(rawAnswer(NO_TUNNEL));
  }

  #left(number: number): void {
    if (!this.#exchanges.delete(number)) return;
    this.sink.push({ kind: "request.left", exchange: number });
  }
}

/** Whether what a request expects of us is what we do. */
function isMetExpectation({ headers }: IncomingMessage): boolean {
  const { expect } = headers;
  return expect === undefined || /(?:^|\W)100-continue(?:$|\W)/i.test(expect);
}

/** Calls back once everything that lies unread on connections was read. */
function afterNextRead(callback: () => void): void {
  // The loop reads between two rounds of these; an end that comes with bytes is
  // read one round after them.
  setImmediate(() => setImmediate(() => setImmediate(callback)));
}
