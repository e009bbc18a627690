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
import type { OutgoingRequest, TakenAnswer } from "./backend_pool.ts";
import type { OccurrenceSink } from "./entry_loop.ts";
import type { HeaderCodec } from "./header_codec.ts";
import { listenAt } from "./listen.ts";
import { LoopLag } from "./loop_lag.ts";

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
  response: ServerResponse;
  socket: Duplex;
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
  readonly #sockets = new Set<Socket>();
  /** Exchanges on each connection that have no answer yet. */
  readonly #open = new WeakMap<Duplex, number>();
  /** Connections on which no further answer can be sent. A request that crosses
   * the end of its connection must not be passed on: its caller sends it again
   * elsewhere. */
  readonly #ended = new WeakSet<Duplex>();
  #limits: CallerLimits | null = null;
  readonly #unsent = new Set<ServerResponse>();
  #count = 0;
  #notTaken = 0;
  #isDraining = false;

  private constructor(
    private readonly codec: HeaderCodec,
    private readonly sink: OccurrenceSink,
    private readonly observer: AnswerObserver,
  ) {
    this.#server = createServer({
      maxHeaderSize: HEADER_CEILING,
      requestTimeout: REQUEST_TIMEOUT,
      connectionsCheckingInterval: CHECK_INTERVAL,
    }, (request, response) => this.#take(request, response));
    this.#server.on("clientError", answerBadRequest);
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    // Node's own takes a connection for idle whose answer has just been ended,
    // though another request waits behind it; `close` calls it as well.
    this.#server.closeIdleConnections = () => this.#closeIdleConnections();
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
   * next request before an answer would otherwise never be let go.
   */
  close(): void {
    this.#isDraining = true;
    for (const socket of this.#sockets) this.#ended.add(socket);
    this.#server.close();
  }

  #closeIdleConnections(): void {
    for (const socket of this.#sockets) {
      if ((this.#open.get(socket) ?? 0) > 0) continue;
      socket.end();
    }
  }

  /** What is in hand now. */
  get counts(): CallerCounts {
    return {
      connections: this.#sockets.size,
      unanswered: this.#exchanges.size,
      unsent: this.#unsent.size,
      notTaken: this.#notTaken,
    };
  }

  /** Closes everything. */
  destroy(): void {
    this.#lag.stop();
    this.#server.close();
    this.#server.closeAllConnections();
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
    const { response, socket, arrivedAt } = exchange;
    const open = (this.#open.get(socket) ?? 1) - 1;
    this.#open.set(socket, open);
    // A later request on the connection must still get its answer.
    const isLast = this.#isDraining && open === 0;
    const head = [...headers, "Content-Length", String(body.length)];
    if (isLast) {
      head.push("Connection", "close");
      this.#ended.add(socket);
    }
    if (statusText === "") response.writeHead(status, head);
    else response.writeHead(status, statusText, head);
    this.#unsent.add(response);
    response.end(body);
    this.observer.answered(status, isOwn, performance.now() - arrivedAt);
  }

  #take(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (this.#ended.has(socket)) {
      this.#notTaken += 1;
      return;
    }
    this.#count += 1;
    const number = this.#count;
    this.#open.set(socket, (this.#open.get(socket) ?? 0) + 1);
    const exchange: Exchange = {
      response,
      socket,
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
    response.once("close", () => this.#left(number, response));
    const fault = this.#headerFault(request);
    if (fault !== null) return this.#reject(number, fault, "headers too large");
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
        return this.#reject(number, 413, "body too large");
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

  /** Status for headers over the limit, or null. */
  #headerFault({ rawHeaders, url }: IncomingMessage): number | null {
    if (this.#limits === null) return null;
    let size = (url ?? "").length;
    for (const text of rawHeaders) size += text.length;
    return size > this.#limits.maximumHeaderBytes ? 431 : null;
  }

  /** Answers a request that is not taken in and ends its connection. */
  #reject(number: number, status: number, reason: string): void {
    const exchange = this.#exchanges.get(number);
    if (exchange === undefined) return;
    this.#ended.add(exchange.socket);
    exchange.response.setHeader("Connection", "close");
    this.refuse({
      kind: "request.refuse",
      exchange: number,
      status,
      retryAfter: null,
      reason,
    });
  }

  #left(number: number, response: ServerResponse): void {
    this.#unsent.delete(response);
    if (response.writableFinished) return;
    if (!this.#exchanges.delete(number)) return;
    this.sink.push({ kind: "request.left", exchange: number });
  }
}

/** Calls back once everything that lies unread on connections was read. */
function afterNextRead(callback: () => void): void {
  // The loop reads between two rounds of these; an end that comes with bytes is
  // read one round after them.
  setImmediate(() => setImmediate(() => setImmediate(callback)));
}

/** Answers bytes that are no request. */
function answerBadRequest(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = BAD_REQUEST_STATUS[error.code ?? ""] ?? "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

/** Statuses of faults that Node's parser names. */
const BAD_REQUEST_STATUS: Record<string, string> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};
