/**
 * HTTP client for calls to the store and orders to backend servers. It keeps
 * connections alive, returns only complete responses, and limits every wait by
 * a timeout.
 *
 * Uses Node's HTTP client, since loading and using `undici` would add 13 MB of
 * memory and 0.12 s of processor time to each process start.
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
import { BackendAgent } from "./backend_agent.ts";
import { BodyBuffer } from "./body_buffer.ts";
import { ResponseEnd } from "./orderly_end.ts";
import { RelayAgent, type RelayedRequestOptions } from "./relay_agent.ts";
import type { RelayConnector, RelayTarget } from "./relay_connector.ts";
import {
  describeCut,
  type ResponseCut,
  ResponseGuard,
  type ResponseLimits,
} from "./response_limits.ts";
import { resetSocket } from "./socket_reset.ts";

/** Options of the connections of a client. */
export interface HttpClientOptions {
  /** Connect timeout, in milliseconds. */
  connectTimeout: number;
  /** Maximum number of connections to one address. */
  maximumConnections: number;
  /** Maximum time for which an idle connection is kept, in milliseconds. */
  idleTimeout: number;
  /** Opens connections through other VMs; needed for calls with `relay`. */
  connector?: RelayConnector;
  /**
   * Longest responses; a longer one resets its connection and its call rejects.
   * Unlimited if omitted.
   */
  responseLimits?: ResponseLimits;
}

/**
 * Timeouts for a response that has begun, in milliseconds. A large response
 * over a slow link is not restarted while its bytes keep arriving: restarts
 * would saturate the link and never complete.
 */
export interface TransferTimeouts {
  /** Maximum time without a byte. */
  stallTimeout: number;
  /** Maximum time for the whole response. */
  totalTimeout: number;
}

/** A request to send, with its timeouts. */
export interface HttpCall {
  method: "GET" | "POST";
  /** Path and query. */
  path: string;
  /** Headers other than those of the body. */
  headers?: Readonly<Record<string, string>>;
  body?: Buffer | string;
  /**
   * Time within which the whole response must arrive, in milliseconds; with
   * `transfer`, only its headers.
   */
  timeout: number;
  /** Timeouts for the rest of the response once it has begun. */
  transfer?: TransferTimeouts;
  /** Called when the headers of the response have arrived. */
  onResponse?: () => void;
  /**
   * Whether a response with these headers may belong to this call; any may if
   * omitted. Otherwise the call rejects with an {@linkcode OtherResponseError},
   * and its connection is closed.
   */
  isOwnResponse?: (headers: IncomingHttpHeaders) => boolean;
  /**
   * Called if the response is cut off because it exceeds a limit or is not
   * complete in time; needs `responseLimits`.
   */
  onCut?: (cut: ResponseCut) => void;
  /** Aborts the call and closes its connection. */
  signal?: AbortSignal;
  /**
   * Time from now within which the call may open a connection, in milliseconds;
   * unlimited if omitted. Afterwards only an open connection is used; if there
   * is none, the call is not sent and rejects with a
   * {@linkcode NoConnectionError}.
   */
  connectWithin?: number;
  /**
   * The VM through which it is sent, and the server; sent directly if omitted.
   */
  relay?: Omit<RelayTarget, "address" | "responseTimeout">;
}

/**
 * Thrown when no connection is open and the call may no longer open one.
 */
export class NoConnectionError extends Error {
  private constructor() {
    super("no connection available");
  }

  /** Creates an error for one call. */
  static create(): NoConnectionError {
    return new NoConnectionError();
  }
}

/** Thrown when the response to another call arrives on the connection. */
export class OtherResponseError extends Error {
  private constructor() {
    super("response to another call");
  }

  /** Creates an error for one call. */
  static create(): OtherResponseError {
    return new OtherResponseError();
  }
}

/** A complete response. */
export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/**
 * See the module's comment.
 *
 * ```ts
 * const response = await client.send("127.0.0.1:80", {
 *   method: "GET",
 *   path: "/status",
 *   timeout: 500,
 * });
 * ```
 */
export class HttpClient {
  readonly #agent: Agent;
  /** Calls in flight that were not sent through another VM. */
  readonly #directRequests = new Set<ClientRequest>();
  /**
   * Agents of connections through other VMs, by the VM and the timeout of the
   * calls, after which the VM resets a connection without a response.
   */
  readonly #relayAgents = new Map<string, RelayAgent>();

  private constructor(private readonly options: HttpClientOptions) {
    this.#agent = new BackendAgent({
      keepAlive: true,
      maxSockets: options.maximumConnections,
      scheduling: "lifo",
      timeout: options.idleTimeout,
    });
  }

  /** Creates a client without connections. */
  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /**
   * Sends a call and receives its response. Rejects when the response does not
   * arrive in time, stalls, or its connection closes. A call that times out
   * resets its connection, so that bytes still in transit are not delivered
   * later.
   */
  send(address: string, call: HttpCall): Promise<HttpResponse> {
    const { method, path, headers, body, timeout, transfer, signal } = call;
    const contentHeaders = body === undefined
      ? {}
      : { "content-type": contentType(body) };
    const { host, port } = parseAddress(address);
    const request = httpRequest({
      host,
      port,
      method,
      path,
      ...this.#connectionOptions(address, call),
      headers: { ...headers, ...contentHeaders },
      signal,
      maxHeaderSize: this.options.responseLimits?.headBytes,
    });
    let cause: string | null = null;
    const guard = this.#guard(request, (cut) => {
      cause = describeCut(cut);
      abortRequest(request);
      call.onCut?.(cut);
    });
    limitConnectTime(request, this.options.connectTimeout);
    limitConnectStart(request, call.connectWithin ?? Infinity);
    const onTimeout = () => {
      cause = "response timed out";
      const cut = guard?.progress ?? null;
      if (cut !== null) call.onCut?.(cut);
      abortRequest(request);
      this.#closeIdleConnections(host, port);
    };
    let timer = setTimeout(onTimeout, timeout);
    request.once("response", (response: IncomingMessage) => {
      call.onResponse?.();
      if (transfer === undefined) return;
      clearTimeout(timer);
      timer = setTimeout(onTimeout, transfer.stallTimeout);
      const latestRefreshAt = monotonicNow() + transfer.totalTimeout -
        transfer.stallTimeout;
      response.on("data", () => {
        if (monotonicNow() <= latestRefreshAt) timer.refresh();
      });
    });
    if (call.relay === undefined) this.#directRequests.add(request);
    request.end(body);
    return receiveResponse(request, call)
      .catch((error: Error) => {
        throw cause === null ? error : new Error(cause);
      })
      .finally(() => {
        clearTimeout(timer);
        this.#directRequests.delete(request);
      });
  }

  /**
   * Aborts all calls that were not sent through another VM, and resets their
   * connections.
   */
  abortDirect(): void {
    for (const request of this.#directRequests) abortRequest(request);
    for (const sockets of Object.values(this.#agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Watches the response to a call if its size is limited. */
  #guard(
    request: ClientRequest,
    onExceeded: (cut: ResponseCut) => void,
  ): ResponseGuard | null {
    const { responseLimits } = this.options;
    if (responseLimits === undefined) return null;
    return ResponseGuard.watch(request, responseLimits, onExceeded);
  }

  /** Options of a request that determine its connection. */
  #connectionOptions(
    address: string,
    { relay, timeout, connectWithin = Infinity }: HttpCall,
  ): Partial<RelayedRequestOptions> & { agent: Agent } {
    const { connector, idleTimeout, maximumConnections } = this.options;
    if (relay === undefined || connector === undefined) {
      return { agent: this.#agent };
    }
    const name = `${relay.relay} ${timeout}`;
    const agent = this.#relayAgents.get(name) ??
      RelayAgent.create(connector, idleTimeout, {
        maxSockets: maximumConnections,
      });
    this.#relayAgents.set(name, agent);
    return {
      agent,
      relayTarget: { ...relay, address, responseTimeout: timeout },
      connectUntil: {
        at: monotonicNow() + connectWithin,
        error: NoConnectionError.create(),
      },
    };
  }

  /**
   * Closes the connections through the VM at `relay`: idle ones now, those in
   * use after their response.
   */
  retireRelay(relay: string): void {
    for (const [name, agent] of this.#relayAgents) {
      if (!name.startsWith(`${relay} `)) continue;
      this.#relayAgents.delete(name);
      agent.retire();
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
    for (const agent of this.#relayAgents.values()) agent.destroy();
  }

  /**
   * Closes the idle connections to an address after a call to it has timed out:
   * they may be broken as well, and each would cost another timeout.
   * Connections to other addresses are kept: opening one to a busy server takes
   * time, so calls to all other servers would time out because of one
   * unresponsive server.
   */
  #closeIdleConnections(host: string, port: number): void {
    const name = this.#agent.getName({ host, port });
    for (const socket of this.#agent.freeSockets[name] ?? []) socket.destroy();
  }
}

/**
 * Aborts a request and resets its connection. After an orderly close the kernel
 * would still deliver bytes that are queued for a saturated link, long after
 * the call has failed.
 */
export function abortRequest(request: ClientRequest): void {
  const { socket } = request;
  if (socket !== null && !socket.connecting) resetSocket(socket);
  request.destroy();
}

/**
 * Aborts a request that would open a connection later than `time` milliseconds
 * from now, before anything is sent.
 */
function limitConnectStart(request: ClientRequest, time: number): void {
  const startedAt = monotonicNow();
  request.once("socket", (socket) => {
    if (!socket.connecting || monotonicNow() - startedAt < time) return;
    request.destroy(NoConnectionError.create());
  });
}

/**
 * Aborts a request whose connection is not established within `timeout`
 * milliseconds.
 */
export function limitConnectTime(
  request: ClientRequest,
  timeout: number,
): void {
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

function receiveResponse(
  request: ClientRequest,
  { isOwnResponse = () => true }: HttpCall,
): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    let isEnded = false;
    request.on("error", reject);
    request.once("response", (response) => {
      const { socket } = response;
      const body = BodyBuffer.create();
      const end = ResponseEnd.watch(response);
      response.on("data", (chunk: Buffer) => body.add(chunk));
      response.once("error", reject);
      response.once("end", async () => {
        const reset = end.verify();
        if (!response.complete) return;
        isEnded = true;
        const { headers, statusCode = 0 } = response;
        if (!isOwnResponse(headers)) {
          // The response to this call may still arrive on the connection.
          socket.destroy();
          return reject(OtherResponseError.create());
        }
        const error = await reset;
        // A body that is not read would keep its connection in use.
        if (!request.writableFinished) abortRequest(request);
        if (error !== null) return reject(error);
        resolve({ status: statusCode, headers, body: body.take() });
      });
    });
    request.once("close", () => {
      if (!isEnded) reject(new Error("connection closed"));
    });
  });
}

function contentType(body: Buffer | string): string {
  return typeof body === "string"
    ? "application/json"
    : "application/octet-stream";
}
