/**
 * Callers' side: takes requests over HTTP, checks them, and gives each exactly
 * one final answer.
 *
 * @module
 */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type {
  RequestOutcome,
  SiteConfiguration,
  SiteService,
} from "../core/index.ts";
import { parseAddress } from "../settings/index.ts";
import type { AnswerReceiver, OutgoingRequest } from "./backend_client.ts";
import type { EventSink } from "./event_loop.ts";
import { OUTCOME, passedOn, REQUEST_ID, REQUEST_TIMEOUT } from "./headers.ts";
import type { KeyHash } from "./key_hash.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { type Body, readBody } from "./request_body.ts";

/** Methods that do no harm when run twice (RFC 9110, 9.2.2). */
const IDEMPOTENT = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
  "TRACE",
]);
/** Headers of callers that are for plumloft. */
const OWN_HEADERS: ReadonlySet<string> = new Set([REQUEST_ID, REQUEST_TIMEOUT]);
/** What a caller's request id must look like. */
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;
/** Longest key, in characters. */
const MAXIMUM_KEY = 1_024;
/** Time for which the rest of an unwanted body is read, in milliseconds. */
const LINGER = 1_000;
/** How often callers' timeouts are looked at, in milliseconds. */
const CHECK_INTERVAL = 1_000;

/** Times in which callers must send, in milliseconds. */
export interface CallerTimeouts {
  headersTimeout: number;
  requestTimeout: number;
}

/** An answer that plumloft itself gives. */
export interface FinalAnswer {
  status: number;
  outcome: RequestOutcome;
  /** Milliseconds after which to come back. */
  retryAfter: number | null;
  reason: string;
}

/** One exchange with a caller. */
interface CallerExchange {
  request: IncomingMessage;
  response: ServerResponse;
  outgoing: OutgoingRequest;
}

/** A request that cannot be taken in. */
interface Rejection {
  status: number;
  reason: string;
}

/** How requests are counted, for metrics. */
export interface AnswerObserver {
  /** An exchange ended after `milliseconds` with that status. */
  answered(service: string, status: number, milliseconds: number): void;
}

/** See the module's comment. */
export class CallerServer {
  readonly #server: Server;
  readonly #exchanges = new Map<number, CallerExchange>();
  #configuration: SiteConfiguration | null = null;
  #next = 0;
  #isDraining = false;

  private constructor(
    private readonly address: string,
    timeouts: CallerTimeouts,
    private readonly idPrefix: string,
    private readonly sink: EventSink,
    private readonly keyHash: KeyHash,
    private readonly observer: AnswerObserver,
  ) {
    this.#server = createServer({
      headersTimeout: timeouts.headersTimeout,
      requestTimeout: timeouts.requestTimeout,
      connectionsCheckingInterval: CHECK_INTERVAL,
      keepAliveTimeout: 60_000,
    }, (request, response) => this.#take(request, response));
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      const status = error.code === "ERR_HTTP_REQUEST_TIMEOUT"
        ? "408 Request Timeout"
        : "400 Bad Request";
      if (!socket.writable) {
        socket.destroy();
        return;
      }
      socket.end(
        `HTTP/1.1 ${status}\r\nconnection: close\r\n${OUTCOME}: not-run\r\ncontent-length: 0\r\n\r\n`,
      );
    });
  }

  /** A server at `address`; ids that it makes begin with `idPrefix`. */
  static create(
    address: string,
    timeouts: CallerTimeouts,
    idPrefix: string,
    sink: EventSink,
    keyHash: KeyHash,
    observer: AnswerObserver,
  ): CallerServer {
    return new CallerServer(
      address,
      timeouts,
      idPrefix,
      sink,
      keyHash,
      observer,
    );
  }

  /** Accepts callers. Rejects when the address is in use. */
  listen(): Promise<void> {
    const { host, port } = parseAddress(this.address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Follows a configuration. */
  configure(configuration: SiteConfiguration): void {
    this.#configuration = configuration;
  }

  /** Ends each connection with its next answer. */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Takes no new connections and ends those that are idle. Resolves when the
   * last answer has gone out.
   */
  end(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Closes every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What is to be sent for an exchange, unless its caller has left. */
  outgoing(exchange: number): OutgoingRequest | undefined {
    return this.#exchanges.get(exchange)?.outgoing;
  }

  /** Passes a backend server's answer to the caller of an exchange. */
  receiver(exchange: number): AnswerReceiver {
    return {
      begin: (status, headers) => this.#begin(exchange, status, headers),
      data: (chunk, resume) => this.#data(exchange, chunk, resume),
      end: () => this.#end(exchange),
      cut: () => this.#exchanges.get(exchange)?.response.destroy(),
    };
  }

  /** Gives the caller of an exchange an answer of plumloft's own. */
  refuse(exchange: number, answer: FinalAnswer): void {
    const found = this.#exchanges.get(exchange);
    if (found === undefined) return;
    this.#answer(found.request, found.response, answer);
  }

  #take(request: IncomingMessage, response: ServerResponse): void {
    const name = serviceName(request.url ?? "/");
    const service = this.#configuration?.services.get(name);
    const rejection = this.#configuration === null
      ? { status: 503, reason: "no configuration is in force yet" }
      : service === undefined
      ? { status: 404, reason: `unknown service '${name}'` }
      : checkHeaders(request.headers);
    if (rejection !== null || service === undefined) {
      this.#reject(request, response, rejection!);
      return;
    }
    const key = service.key === undefined ? null : findKey(service, request);
    if (key === undefined) {
      this.#reject(request, response, missingKey(service));
      return;
    }
    readBody(request, service.maximumBody, (body) => {
      if (body.kind === "too-large") {
        const reason = `expected at most ${service.maximumBody} bytes of body`;
        this.#reject(request, response, { status: 413, reason });
        return;
      }
      this.#arrive(request, response, service, key, body);
    });
  }

  #arrive(
    request: IncomingMessage,
    response: ServerResponse,
    service: SiteService,
    key: string | null,
    body: Body,
  ): void {
    this.#next += 1;
    const exchange = this.#next;
    const { headers } = request;
    const chosen = headers[REQUEST_ID] as string | undefined;
    const timeout = headers[REQUEST_TIMEOUT] as string | undefined;
    const method = request.method ?? "GET";
    const now = monotonicNow();
    this.#exchanges.set(exchange, {
      request,
      response,
      outgoing: {
        method,
        path: request.url ?? "/",
        headers: passedOn(headers, OWN_HEADERS),
        body: body.kind === "whole"
          ? body.bytes
          : body.kind === "streamed"
          ? body.stream
          : null,
      },
    });
    response.on("close", () => {
      this.#exchanges.delete(exchange);
      this.observer.answered(
        service.name,
        response.statusCode,
        monotonicNow() - now,
      );
      if (response.writableFinished) return;
      this.sink.push({
        kind: "request.cancelled",
        now: monotonicNow(),
        exchange,
      });
    });
    this.sink.push({
      kind: "request.arrived",
      now,
      exchange,
      requestId: chosen ?? `${this.idPrefix}-${exchange}`,
      callerChoseId: chosen !== undefined,
      service: service.name,
      keyHash: key === null ? null : this.keyHash(key),
      idempotent: IDEMPOTENT.has(method),
      replayable: body.kind !== "streamed",
      timeout: timeout === undefined ? null : Number(timeout),
    });
  }

  #begin(
    exchange: number,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    const found = this.#exchanges.get(exchange);
    if (found === undefined) return;
    const kept = passedOn(headers);
    if (this.#isDraining) kept.push("connection", "close");
    found.response.writeHead(status, kept);
  }

  #data(exchange: number, chunk: Buffer, resume: () => void): boolean {
    const found = this.#exchanges.get(exchange);
    if (found === undefined) return true;
    const goOn = found.response.write(chunk);
    if (!goOn) found.response.once("drain", resume);
    return goOn;
  }

  #end(exchange: number): void {
    this.#exchanges.get(exchange)?.response.end();
  }

  #reject(
    request: IncomingMessage,
    response: ServerResponse,
    { status, reason }: Rejection,
  ): void {
    const retryAfter = status === 503 ? 1_000 : null;
    this.observer.answered("", status, 0);
    this.#answer(request, response, {
      status,
      outcome: mayHaveRunElsewhere(request, status) ? "unknown" : "not-run",
      retryAfter,
      reason,
    });
  }

  #answer(
    request: IncomingMessage,
    response: ServerResponse,
    { status, outcome, retryAfter, reason }: FinalAnswer,
  ): void {
    if (response.headersSent || response.destroyed) return;
    const body = JSON.stringify({ outcome, reason });
    response.statusCode = status;
    response.setHeader("content-type", "application/json");
    response.setHeader("content-length", Buffer.byteLength(body));
    response.setHeader(OUTCOME, outcome);
    if (retryAfter !== null) {
      response.setHeader("retry-after", Math.ceil(retryAfter / 1_000));
    }
    // A body that was not read to its end would be taken for the next request.
    const isUnread = !request.complete;
    if (isUnread || this.#isDraining) response.setHeader("connection", "close");
    if (isUnread) endAfterBody(request, response, body);
    else response.end(body);
  }
}

/**
 * Gives the answer at once, but closes the connection only when the caller has
 * sent the rest of its body, or after a while: a caller whose writes fail may
 * never read the answer.
 */
function endAfterBody(
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): void {
  const timer = setTimeout(() => response.end(), LINGER);
  response.write(body);
  request.on("data", () => {});
  request.once("close", () => {
    clearTimeout(timer);
    response.end();
  });
  request.resume();
}

function serviceName(url: string): string {
  const end = url.slice(1).search(/[/?]/);
  return end < 0 ? url.slice(1) : url.slice(1, end + 1);
}

function checkHeaders(headers: IncomingHttpHeaders): Rejection | null {
  const id = headers[REQUEST_ID];
  if (id !== undefined && !REQUEST_ID_PATTERN.test(String(id))) {
    const reason =
      `expected ${REQUEST_ID} to match ${REQUEST_ID_PATTERN.source}`;
    return { status: 400, reason };
  }
  const timeout = headers[REQUEST_TIMEOUT];
  if (timeout !== undefined && !/^[1-9]\d{0,8}$/.test(String(timeout))) {
    const reason = `expected ${REQUEST_TIMEOUT} to be a whole number of ms`;
    return { status: 400, reason };
  }
  return null;
}

/** The key of a request to a keyed service, or undefined without one. */
function findKey(
  { key }: SiteService,
  request: IncomingMessage,
): string | undefined {
  if (key === undefined) return undefined;
  const found = "header" in key
    ? request.headers[key.header]
    : pathPart(request.url ?? "/", key.pathPart);
  const text = Array.isArray(found) ? found[0] : found;
  const isUsable = text !== undefined && text !== "" &&
    text.length <= MAXIMUM_KEY;
  return isUsable ? text : undefined;
}

/** Part `index` of the path behind the service's name. */
function pathPart(url: string, index: number): string | undefined {
  const [path] = url.split("?", 1);
  return path.split("/")[index + 2];
}

/**
 * Whether another VM, which may know a newer configuration, may have run a
 * request with the same id.
 */
function mayHaveRunElsewhere(
  { method, headers }: IncomingMessage,
  status: number,
): boolean {
  const isRepeatable = headers[REQUEST_ID] !== undefined &&
    !IDEMPOTENT.has(method ?? "GET");
  return isRepeatable && (status === 404 || status === 503);
}

function missingKey({ name, key }: SiteService): Rejection {
  const place = key !== undefined && "header" in key
    ? `header '${key.header}'`
    : `part ${key?.pathPart ?? 0} of the path behind /${name}/`;
  const reason = `expected a key of 1 to ${MAXIMUM_KEY} characters in ${place}`;
  return { status: 400, reason };
}
