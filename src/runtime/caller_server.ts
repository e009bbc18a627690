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
import { Fingerprint } from "../core/quarantine/index.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { OutgoingRequest, TakenAnswer } from "./backend_pool.ts";
import type { OccurrenceSink } from "./entry_loop.ts";
import type { HeaderCodec } from "./header_codec.ts";
import { listenAt } from "./listen.ts";
import { afterNextRead, type LoopLag } from "./loop_lag.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { readBody } from "./request_body.ts";
import {
  BAD_REQUEST,
  BODY_TOO_LARGE,
  EXPECTATION_FAILED,
  headerFault,
  isMetExpectation,
  NO_TUNNEL,
  PARSER_FAULTS,
  rawAnswer,
  READ_TOO_LATE,
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
/** Age up to which a request counts as just read, in milliseconds: the lateness
 * of the loop is known no better, and servers may work half a second for callers
 * that have left. */
const SHORT_AGE = 150;
/** Milliseconds in a second, the unit of `Retry-After`. */
const SECOND = 1_000;

/** Errors of a connection whose caller has ended it, in the middle of a request
 * or not. */
const HAS_LEFT = new Set(["ECONNRESET", "HPE_INVALID_EOF_STATE"]);

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
  /** Requests that were refused since their time was over when they were read. */
  late: number;
}

/** See the module's comment. */
export class CallerServer {
  readonly #server: Server;
  readonly #exchanges = new Map<number, Exchange>();
  readonly #connections = new Map<Duplex, CallerConnection>();
  #limits: CallerLimits | null = null;
  #count = 0;
  #notTaken = 0;
  #late = 0;
  #isDraining = false;
  #isClosed = false;
  #isToldClosed = false;

  private constructor(
    private readonly codec: HeaderCodec,
    private readonly sink: OccurrenceSink,
    private readonly observer: AnswerObserver,
    private readonly lag: LoopLag,
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
    lag: LoopLag,
  ): CallerServer {
    return new CallerServer(codec, sink, observer, lag);
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
      late: this.#late,
    };
  }

  /** Closes everything. */
  destroy(): void {
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
    this.observer.answered(status, isOwn, monotonicNow() - arrivedAt);
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
      arrivedAt: monotonicNow(),
    };
    this.#exchanges.set(number, exchange);
    connection.add(number, response, () => this.#left(number));
    const fault = headerFault(request, this.#limits);
    if (fault !== null) return this.#reject(number, fault);
    if (!isMetExpectation(request)) this.#say(number, EXPECTATION_FAILED);
    readBody(request, () => this.#limits?.maximumBodyBytes ?? Infinity, {
      tooLarge: () => this.#reject(number, BODY_TOO_LARGE),
      whole: (body) => {
        if (!this.#exchanges.has(number)) return;
        exchange.outgoing.body = body;
        this.#arrived(number, exchange);
      },
    });
  }

  /**
   * The end of a caller's connection may lie unread behind its request: Node
   * takes one new connection a turn of its loop, so on a busy VM they wait with
   * all that was sent on them, and an end is read a turn after what is before
   * it. It is looked for before the request is passed on to a server that
   * nobody waits for any more. Three turns of an idle loop take 0.01 ms; on a
   * busy VM they also take connections that wait, ahead of work on requests.
   */
  #arrived(number: number, exchange: Exchange): void {
    const cameAt = monotonicNow() - this.lag.lateness;
    afterNextRead(() => {
      if (!this.#exchanges.has(number)) return;
      this.#pass(number, exchange, cameAt);
    });
  }

  /** Passes a request on with the time that its caller still waits, which counts
   * from when its bytes came: servers would work for callers that have left. */
  #pass(number: number, exchange: Exchange, cameAt: number): void {
    const { headers } = exchange.request;
    const { timeout, ...facts } = this.codec.readCaller(headers);
    const age = Math.round(monotonicNow() - cameAt);
    const isOld = timeout !== null && age > SHORT_AGE;
    const remaining = isOld ? timeout - age : timeout;
    if (isOld && timeout <= age) {
      this.#late += 1;
      this.sink.push({ kind: "request.late", id: facts.id, timeout, age });
      return this.#say(number, READ_TOO_LATE);
    }
    exchange.outgoing.id = facts.id;
    this.sink.push({
      kind: "request.arrived",
      arrival: {
        exchange: number,
        host: headers.host ?? "",
        target: exchange.outgoing.target,
        timeout: remaining,
        fingerprint: fingerprintOf(exchange),
        ...facts,
      },
    });
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
    if (connection === undefined || HAS_LEFT.has(error.code ?? "")) {
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

function fingerprintOf({ request, outgoing }: Exchange): Fingerprint {
  return Fingerprint.create({
    method: outgoing.method,
    host: request.headers.host ?? "",
    target: outgoing.target,
    body: outgoing.body,
  });
}
