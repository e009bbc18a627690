/**
 * Short HTTP calls to parts of the system: kept connections, answers taken
 * whole, and a bound on every wait.
 *
 * Node's own client is used in an entry process: `undici` would add 13 MB of
 * memory and 0.12 s of processor time to each start (measured as whole
 * processes that load and use either).
 *
 * @module
 */
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { parseAddress } from "../settings/address.ts";
import { monotonicNow } from "./monotonic_clock.ts";

/** How a client keeps its connections. */
export interface HttpClientOptions {
  /** Time for a connection to be made, in milliseconds. */
  connectTimeout: number;
  /** Connections to one address. */
  connections: number;
  /** Longest time for which an idle connection is kept, in milliseconds. */
  idleTimeout: number;
}

/**
 * Bounds on an answer that has begun, in milliseconds. A large one over a small
 * link is not begun anew while its bytes keep coming: that would fill the link and
 * never end.
 */
export interface Transfer {
  /** Longest time without a byte. */
  stall: number;
  /** Longest time for the whole answer. */
  longest: number;
}

/** One call. */
export interface HttpCall {
  method: "GET" | "POST";
  /** Path and query. */
  path: string;
  /** Headers besides those of the body. */
  headers?: Readonly<Record<string, string>>;
  body?: Buffer | string;
  /** Time for the whole answer, in milliseconds; with `transfer`, for its
   * beginning. */
  timeout: number;
  /** How long an answer may take that has begun. */
  transfer?: Transfer;
  /** Told when the answer begins to come. */
  began?: () => void;
  /** Gives the call up; its connection is reset. */
  signal?: AbortSignal;
  /** Time from now up to which a connection may be opened for it, in
   * milliseconds; unbounded if left out. One that gets none is not sent and
   * rejects with a {@linkcode ConnectionLackError}. */
  connectWithin?: number;
}

/** Raised when a call that may open no connection any more finds none. */
export class ConnectionLackError extends Error {
  private constructor() {
    super("no connection");
  }

  /** An error of one call. */
  static create(): ConnectionLackError {
    return new ConnectionLackError();
  }
}

/** An answer, whole. */
export interface HttpAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/**
 * See the module's comment.
 *
 * ```ts
 * const answer = await client.send("127.0.0.1:80", {
 *   method: "GET",
 *   path: "/status",
 *   timeout: 500,
 * });
 * ```
 */
export class HttpClient {
  readonly #agent: Agent;

  private constructor(private readonly options: HttpClientOptions) {
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.connections,
      scheduling: "lifo",
      timeout: options.idleTimeout,
    });
  }

  /** A client without connections. */
  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /**
   * Sends a call and takes its answer. Rejects when it is not answered in time,
   * its answer stops coming, or its connection ends; a call that is given up
   * resets its connection, so that bytes still on their way are not delivered
   * later.
   */
  send(address: string, call: HttpCall): Promise<HttpAnswer> {
    const { method, path, headers, body, timeout, transfer, signal } = call;
    const type = body === undefined
      ? {}
      : { "content-type": contentType(body) };
    const { host, port } = parseAddress(address);
    const request = httpRequest({
      host,
      port,
      method,
      path,
      agent: this.#agent,
      headers: { ...headers, ...type },
      signal,
    });
    limitConnecting(request, this.options.connectTimeout);
    refuseConnecting(request, call.connectWithin ?? Infinity);
    let isTimedOut = false;
    const timedOut = () => {
      isTimedOut = true;
      giveUp(request);
      this.#dropIdle(host, port);
    };
    let timer = setTimeout(timedOut, timeout);
    request.once("response", (response: IncomingMessage) => {
      call.began?.();
      if (transfer === undefined) return;
      clearTimeout(timer);
      timer = setTimeout(timedOut, transfer.stall);
      const latest = monotonicNow() + transfer.longest - transfer.stall;
      response.on("data", () => {
        if (monotonicNow() <= latest) timer.refresh();
      });
    });
    request.end(body);
    return takeAnswer(request)
      .catch((error: Error) => {
        throw isTimedOut ? new Error("no answer") : error;
      })
      .finally(() => clearTimeout(timer));
  }

  /** Ends all connections. */
  close(): void {
    this.#agent.destroy();
  }

  /**
   * Ends connections to an address that no call uses: where one has gone silent
   * the others may have too, and each would cost a timeout. Those to other
   * addresses stay: a busy server makes a new connection wait, so that one
   * server's silence would let calls to all others time out as well.
   */
  #dropIdle(host: string, port: number): void {
    const name = this.#agent.getName({ host, port });
    for (const socket of this.#agent.freeSockets[name] ?? []) socket.destroy();
  }
}

/**
 * Ends a request and resets its connection: an orderly end would let the kernel
 * deliver bytes that still wait behind a full link, long after this call failed.
 */
function giveUp(request: ClientRequest): void {
  const { socket } = request;
  if (socket !== null && !socket.connecting) socket.resetAndDestroy();
  request.destroy();
}

/** Ends a request that would open a connection once `time` milliseconds have
 * passed, before anything is sent. */
function refuseConnecting(request: ClientRequest, time: number): void {
  const startedAt = monotonicNow();
  request.once("socket", (socket) => {
    if (!socket.connecting || monotonicNow() - startedAt < time) return;
    request.destroy(ConnectionLackError.create());
  });
}

/** Ends a request whose connection is not made within `timeout` milliseconds. */
export function limitConnecting(request: ClientRequest, timeout: number): void {
  request.once("socket", (socket) => {
    if (!socket.connecting) return;
    const timer = setTimeout(
      () => request.destroy(new Error("connection timed out")),
      timeout,
    );
    socket.once("connect", () => clearTimeout(timer));
    socket.once("close", () => clearTimeout(timer));
  });
}

function takeAnswer(request: ClientRequest): Promise<HttpAnswer> {
  return new Promise((resolve, reject) => {
    request.on("error", reject);
    request.once("response", (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.once("error", reject);
      response.once("end", () => {
        if (!response.complete) return;
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    request.once("close", () => reject(new Error("connection closed")));
  });
}

function contentType(body: Buffer | string): string {
  return typeof body === "string"
    ? "application/json"
    : "application/octet-stream";
}
