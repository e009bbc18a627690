/**
 * HTTP client for backend servers. Sends requests over persistent connections
 * and receives complete responses, so that a truncated or invalid response is
 * never forwarded and the request can be retried on another server.
 *
 * Uses Node's HTTP client, since `undici` accepts a response without a length
 * as complete when its connection is reset.
 *
 * @module
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { connect, type Socket } from "node:net";
import type { AttemptStart } from "../core/dispatch/index.ts";
import type { ProbeResult, ServerProbe } from "../core/quarantine/index.ts";
import { errorText } from "../errors/index.ts";
import { parseAddress } from "../settings/address.ts";
import type { HeaderCodec, ResponseMetadata } from "./header_codec.ts";
import type { EventSink } from "./entry_loop.ts";
import { limitConnectTime } from "./http_client.ts";
import { afterPendingReads } from "./loop_lag.ts";

/**
 * Connect timeout, in milliseconds. A host that is down sends nothing, not even
 * a refusal.
 */
const CONNECT_TIMEOUT = 300;
/** Timeout of a probe of a server's address, in milliseconds. */
const PROBE_TIMEOUT = 200;
/**
 * Maximum time for which an idle connection is kept, in milliseconds. A shorter
 * timeout that the server sends takes precedence.
 */
const IDLE_TIMEOUT = 8_000;
/** Lower values are not valid status codes (RFC 9110, 15). */
const MINIMUM_STATUS = 100;
/** Headers that apply to a single connection only (RFC 9110, 7.6.1). */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Error code of a connection to an address at which no process listens. */
const CONNECTION_REFUSED = "ECONNREFUSED";

/** A caller's request as it is forwarded. */
export interface OutgoingRequest {
  id: string;
  method: string;
  target: string;
  /** Alternating names and values, as the caller sent them. */
  headers: readonly string[];
  body: Buffer;
}

/** A complete response of a backend server. */
export interface BackendResponse {
  status: number;
  statusText: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer;
}

/**
 * Keeps connections alive, and destroys an idle connection on which bytes
 * arrive, since they belong to no request.
 */
class BackendAgent extends Agent {
  #isRetired = false;

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

interface RunningAttempt {
  request: ClientRequest;
  /** Set once the response is complete. */
  response: BackendResponse | null;
  /** Whether the response has ended and the check for a reset is pending. */
  isVerifying: boolean;
}

/** See the module's comment. */
export class BackendPool {
  readonly #agents = new Map<string, BackendAgent>();
  readonly #attempts = new Map<number, RunningAttempt>();

  private constructor(
    private readonly codec: HeaderCodec,
    private readonly sink: EventSink,
  ) {}

  /** Creates a pool without connections. */
  static create(codec: HeaderCodec, sink: EventSink): BackendPool {
    return new BackendPool(codec, sink);
  }

  /**
   * Sends a request. Pushes exactly one `attempt.ended`, unless the attempt is
   * cancelled.
   */
  send(start: AttemptStart, outgoing: OutgoingRequest): void {
    try {
      this.#startRequest(start, outgoing);
    } catch (error) {
      // Node throws on what it cannot send, and entries of the registry may
      // contain any text. An exception from here would end the process.
      this.sink.push({
        kind: "attempt.ended",
        attempt: start.attempt,
        outcome: {
          kind: "failed",
          mayHaveBeenSent: false,
          cause: errorText(error),
        },
      });
    }
  }

  #startRequest(start: AttemptStart, outgoing: OutgoingRequest): void {
    const separator = start.address.lastIndexOf(":");
    const request = httpRequest({
      host: start.address.slice(0, separator),
      port: Number(start.address.slice(separator + 1)),
      method: outgoing.method,
      path: outgoing.target,
      headers: this.#serverHeaders(start, outgoing) as unknown as Record<
        string,
        string
      >,
      agent: this.#agentOf(start.server),
      setHost: false,
    });
    const running: RunningAttempt = {
      request,
      response: null,
      isVerifying: false,
    };
    this.#attempts.set(start.attempt, running);
    this.#addListeners(start.attempt, running, outgoing);
    request.end(outgoing.body.length > 0 ? outgoing.body : undefined);
  }

  /**
   * Checks whether a process listens at a server's address. Pushes exactly one
   * `server.checked`.
   */
  probe({ server, address, purpose }: ServerProbe): void {
    const { host, port } = parseAddress(address);
    const socket = connect({ host, port });
    socket.setTimeout(PROBE_TIMEOUT);
    const end = (result: ProbeResult) => {
      socket.removeAllListeners();
      // Ignores errors after the result is known.
      socket.on("error", () => {});
      socket.destroy();
      this.sink.push({ kind: "server.checked", server, purpose, result });
    };
    socket.once("connect", () => end("connected"));
    // A busy process may not have read yet that the connection is established.
    socket.once("timeout", () =>
      afterPendingReads(() => {
        if (socket.listenerCount("connect") > 0) end("silent");
      }));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        end(code === CONNECTION_REFUSED ? "refused" : "silent"),
    );
  }

  /** Cancels an attempt and closes its connection. */
  cancel(attempt: number): void {
    const running = this.#attempts.get(attempt);
    if (running === undefined) return;
    this.#attempts.delete(attempt);
    running.request.destroy();
  }

  /** Returns and removes the response of an attempt; null if there is none. */
  takeResponse(attempt: number): BackendResponse | null {
    const response = this.#attempts.get(attempt)?.response ?? null;
    this.#attempts.delete(attempt);
    return response;
  }

  /**
   * Closes the connections of a server that was removed or restarted. Requests
   * in flight continue: the registry update arrives a heartbeat late, so they
   * may already run in the new process, and a draining server completes its
   * work after its entry is removed.
   */
  closeConnections(server: string): void {
    this.#agents.get(server)?.retire();
    this.#agents.delete(server);
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    for (const { request } of this.#attempts.values()) request.destroy();
  }

  #agentOf(server: string): BackendAgent {
    let agent = this.#agents.get(server);
    if (agent === undefined) {
      agent = new BackendAgent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: IDLE_TIMEOUT,
      });
      this.#agents.set(server, agent);
    }
    return agent;
  }

  #serverHeaders(start: AttemptStart, outgoing: OutgoingRequest): string[] {
    const headers: string[] = [];
    for (let i = 0; i < outgoing.headers.length; i += 2) {
      const name = outgoing.headers[i].toLowerCase();
      if (HOP_BY_HOP.has(name) || name === "content-length") continue;
      if (this.codec.isInternal(name)) continue;
      headers.push(outgoing.headers[i], outgoing.headers[i + 1]);
    }
    headers.push(...this.codec.serverHeaders(start.server, start.remaining));
    const isBodyExpected = outgoing.method !== "GET" &&
      outgoing.method !== "HEAD";
    if (outgoing.body.length > 0 || isBodyExpected) {
      headers.push("Content-Length", String(outgoing.body.length));
    }
    return headers;
  }

  #addListeners(
    attempt: number,
    running: RunningAttempt,
    outgoing: OutgoingRequest,
  ): void {
    const { request } = running;
    let isConnected = false;
    limitConnectTime(request, CONNECT_TIMEOUT);
    request.once("socket", (socket) => {
      if (socket.connecting) socket.once("connect", () => isConnected = true);
      else isConnected = true;
    });
    request.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        this.#failAttempt(
          attempt,
          running,
          isConnected,
          errorText(error),
          error.code === CONNECTION_REFUSED,
        ),
    );
    request.once(
      "response",
      (response) => this.#receiveResponse(attempt, running, response, outgoing),
    );
    request.once(
      "close",
      () =>
        this.#failAttempt(attempt, running, isConnected, "connection closed"),
    );
  }

  #receiveResponse(
    attempt: number,
    running: RunningAttempt,
    response: IncomingMessage,
    outgoing: OutgoingRequest,
  ): void {
    const status = response.statusCode ?? 0;
    if (status < MINIMUM_STATUS) {
      return this.#failAttempt(attempt, running, true, `status ${status}`);
    }
    const metadata = this.codec.readResponse(
      status,
      response.headers,
      outgoing.id,
    );
    const chunks: Buffer[] = [];
    response.on("data", (chunk: Buffer) => chunks.push(chunk));
    response.on(
      "error",
      (error) => this.#failAttempt(attempt, running, true, errorText(error)),
    );
    const succeed = () => {
      if (!metadata.isOwnExchange) running.request.destroy();
      this.#completeAttempt(
        attempt,
        running,
        response,
        metadata,
        Buffer.concat(chunks),
      );
    };
    const reset = isDelimitedByClose(response)
      ? detectReset(response.socket)
      : null;
    response.once("end", () => {
      if (!response.complete) return;
      if (reset === null) return succeed();
      running.isVerifying = true;
      void reset.then((error) => {
        if (error === null) return succeed();
        running.isVerifying = false;
        this.#failAttempt(attempt, running, true, errorText(error));
      });
    });
  }

  #completeAttempt(
    attempt: number,
    running: RunningAttempt,
    response: IncomingMessage,
    metadata: ResponseMetadata,
    body: Buffer,
  ): void {
    if (this.#attempts.get(attempt) !== running) return;
    running.response = {
      status: response.statusCode ?? 0,
      statusText: validStatusText(response.statusMessage),
      headers: withoutHopByHop(response.rawHeaders),
      body,
    };
    this.sink.push({
      kind: "attempt.ended",
      attempt,
      outcome: {
        kind: "answered",
        status: running.response.status,
        isGenuine: metadata.isGenuine,
        isNotRun: metadata.isNotRun && metadata.isOwnExchange,
        server: metadata.server,
        statement: metadata.statement,
      },
    });
    // The core has processed the event by then. A response that it has not
    // taken is not needed.
    setImmediate(() => this.#attempts.delete(attempt));
  }

  #failAttempt(
    attempt: number,
    running: RunningAttempt,
    mayHaveBeenSent: boolean,
    cause: string,
    isRefused = false,
  ): void {
    const isCurrent = this.#attempts.get(attempt) === running;
    if (!isCurrent || running.response !== null || running.isVerifying) return;
    this.#attempts.delete(attempt);
    running.request.destroy();
    this.sink.push({
      kind: "attempt.ended",
      attempt,
      outcome: {
        kind: "failed",
        mayHaveBeenSent,
        isConnectionRefused: isRefused,
        cause,
      },
    });
  }
}

/** Whether only the close of the connection marks the end of a response. */
function isDelimitedByClose({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

/**
 * Resolves at the end of the connection: to null if the server closed it in
 * order, or to the error if it reset it. A reset that arrives together with the
 * last bytes is read as an orderly end, but writing zero bytes then fails.
 */
function detectReset(socket: Socket): Promise<Error | null> {
  return new Promise((resolve) => {
    socket.prependOnceListener("end", () => {
      socket.write("", (error) => resolve(error ?? null));
    });
  });
}

/** The status text if Node accepts it in a response, else an empty string. */
function validStatusText(text = ""): string {
  return /^[\t\x20-\x7e\x80-\xff]*$/.test(text) ? text : "";
}

function withoutHopByHop(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    const name = headers[i].toLowerCase();
    if (HOP_BY_HOP.has(name) || name === "content-length") continue;
    kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}
