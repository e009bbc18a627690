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
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
  type RequestOptions,
} from "node:http";
import { connect, type Socket } from "node:net";
import type { AttemptStart, ConnectionState } from "../core/dispatch/index.ts";
import type { ProbeResult, ServerProbe } from "../core/quarantine/index.ts";
import { errorText } from "../errors/index.ts";
import { parseAddress } from "../settings/address.ts";
import type { HeaderCodec, ResponseMetadata } from "./header_codec.ts";
import type { EventSink } from "./entry_loop.ts";
import { BackendAgent, type OrdinalOptions } from "./backend_agent.ts";
import { BodyBuffer } from "./body_buffer.ts";
import { HeldBytes, type ResponseBytes } from "./held_bytes.ts";
import { abortRequest, limitConnectTime } from "./http_client.ts";
import { afterPendingReads } from "./loop_lag.ts";
import { monotonicNow } from "./monotonic_clock.ts";
import { ResponseEnd } from "./orderly_end.ts";
import { RelayAgent } from "./relay_agent.ts";
import { type RelayConnector, RelayError } from "./relay_connector.ts";
import { type EarlyResponse, RequestRest } from "./request_rest.ts";
import {
  findHeadFault,
  type ForwardedHead,
  forwardedHead,
  isHopByHop,
} from "./response_head.ts";
import {
  type CutListener,
  DEFAULT_RESPONSE_LIMITS,
  describeCut,
  type ResponseCut,
  ResponseGuard,
  type ResponseLimits,
} from "./response_limits.ts";

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
/**
 * Time after a request within which a server has to respond through another VM,
 * in milliseconds. It exceeds the timeouts of requests: that VM only discards
 * connections that the other VM has closed without its knowledge.
 */
const RELAYED_RESPONSE_TIMEOUT = 60_000;
/** Statuses of success (RFC 9110, 15.3). */
const FIRST_SUCCESS = 200;
const LAST_SUCCESS = 299;
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
export interface BackendResponse extends ForwardedHead {
  body: Buffer;
}

/**
 * A response without a length that came through another VM, after its
 * connection has ended.
 */
export interface RelayedEnd {
  /** Id of the request. */
  request: string;
  /** Id of the server. */
  server: string;
  /** Peer address of the VM between. */
  relay: string;
  /** Bytes of the body. */
  bytes: number;
  /** Why the response counts as incomplete; null if it is complete. */
  cause: string | null;
}

/** Limits of a pool, and the listeners for responses. */
export interface BackendPoolOptions {
  responseLimits: ResponseLimits;
  onResponseCut: CutListener;
  onRelayedEnd: (end: RelayedEnd) => void;
  onEarlyResponse: (response: EarlyResponse) => void;
  /**
   * Counts the responses that are being received, and the rest of requests that
   * are still being sent after their response.
   */
  held: HeldBytes;
}

/** Returns the options that apply unless others are given. */
function defaultOptions(): BackendPoolOptions {
  return {
    responseLimits: DEFAULT_RESPONSE_LIMITS,
    onResponseCut: () => {},
    onRelayedEnd: () => {},
    onEarlyResponse: () => {},
    held: HeldBytes.create(null),
  };
}

interface RunningAttempt {
  /** Id of the server. */
  server: string;
  /** Time by which its response must be complete. */
  deadline: number;
  request: ClientRequest;
  guard: ResponseGuard;
  /** Counts what is held of its response. */
  bytes: ResponseBytes;
  /** Peer address of the VM through which it is sent, or null. */
  relay: string | null;
  /** Whether its connection is established. */
  isConnected: boolean;
  /** Set once the response is complete. */
  response: BackendResponse | null;
  /** Whether the response has ended and the check for a reset is pending. */
  isVerifying: boolean;
}

/** See the module's comment. */
export class BackendPool {
  /** Direct connections, by server. */
  readonly #agents = new Map<string, BackendAgent>();
  /** Connections through other VMs, by VM and server. */
  readonly #relayAgents = new Map<string, Map<string, RelayAgent>>();
  readonly #attempts = new Map<number, RunningAttempt>();
  /** Connections on which a response has arrived. */
  readonly #connections = new WeakMap<Socket, ConnectionState>();
  #connectionCount = 0;

  private constructor(
    private readonly codec: HeaderCodec,
    private readonly sink: EventSink,
    private readonly connector: RelayConnector,
    private readonly options: BackendPoolOptions,
  ) {}

  /**
   * Creates a pool without connections, which opens those through other VMs
   * with `connector`.
   */
  static create(
    codec: HeaderCodec,
    sink: EventSink,
    connector: RelayConnector,
    options: Partial<BackendPoolOptions> = {},
  ): BackendPool {
    const all = { ...defaultOptions(), ...options };
    return new BackendPool(codec, sink, connector, all);
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
          isRelayed: start.relay !== null,
          cause: errorText(error),
        },
      });
    }
  }

  #startRequest(start: AttemptStart, outgoing: OutgoingRequest): void {
    const separator = start.address.lastIndexOf(":");
    const relay = this.#relayOf(start);
    const { server, address, ordinal } = start;
    const responseTimeout = RELAYED_RESPONSE_TIMEOUT;
    const options: RequestOptions & OrdinalOptions = {
      ordinal,
      host: start.address.slice(0, separator),
      port: Number(start.address.slice(separator + 1)),
      method: outgoing.method,
      path: outgoing.target,
      headers: this.#serverHeaders(start, outgoing) as unknown as Record<
        string,
        string
      >,
      ...(relay === null ? { agent: this.#agentOf(server) } : {
        agent: this.#relayAgentOf(relay, server),
        relayTarget: { relay, server, address, responseTimeout },
      }),
      setHost: false,
      maxHeaderSize: this.options.responseLimits.headBytes,
    };
    const request = httpRequest(options);
    const running: RunningAttempt = {
      server,
      deadline: monotonicNow() + start.remaining,
      request,
      guard: ResponseGuard.watch(
        request,
        this.options.responseLimits,
        (cut) => this.#cutResponse(start.attempt, running, cut),
      ),
      bytes: this.options.held.openResponse(() => {
        const cut = running.guard.progress ?? { part: "head", bytes: 0 };
        this.#cutResponse(start.attempt, running, cut);
      }),
      relay,
      isConnected: false,
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
  probe(probe: ServerProbe): void {
    const { server, address, relay, purpose } = probe;
    if (relay !== null) return this.#probeThrough(relay, probe);
    const { host, port } = parseAddress(address);
    const socket = connect({ host, port });
    socket.setTimeout(PROBE_TIMEOUT);
    const end = (result: ProbeResult) => {
      socket.removeAllListeners();
      // Ignores errors after the result is known.
      socket.on("error", () => {});
      socket.destroy();
      const checked = { server, relay, purpose, result };
      this.sink.push({ kind: "server.checked", ...checked });
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

  /** Checks through another VM whether a process listens at an address. */
  #probeThrough(
    relay: string,
    { server, address, purpose }: ServerProbe,
  ): void {
    const responseTimeout = PROBE_TIMEOUT;
    const target = { relay, server, address, responseTimeout };
    this.connector.open(target, (error, socket) => {
      socket?.on("error", () => {});
      socket?.destroy();
      const result = error === null ? "connected" : probeResultOf(error);
      const checked = { server, relay, purpose, result };
      this.sink.push({ kind: "server.checked", ...checked });
    });
  }

  /**
   * Cancels an attempt and resets its connection, so that a request that is
   * still in transit does not arrive later.
   */
  cancel(attempt: number): void {
    const running = this.#attempts.get(attempt);
    if (running === undefined) return;
    this.#attempts.delete(attempt);
    running.bytes.end();
    abortRequest(running.request);
    const { server, deadline, guard, response } = running;
    const isOverdue = response === null && monotonicNow() >= deadline;
    const cut = isOverdue ? guard.progress : null;
    if (cut !== null) this.options.onResponseCut(server, cut);
  }

  /**
   * Fails the attempts whose direct connections are not established yet. Unless
   * `isEstablishedUsable`, also closes the idle direct connections, and those
   * in use after their response.
   */
  abandonDirect(isEstablishedUsable: boolean): void {
    for (const [attempt, running] of [...this.#attempts]) {
      if (running.relay !== null || running.isConnected) continue;
      this.#failAttempt(attempt, running, "connection abandoned");
    }
    if (isEstablishedUsable) return;
    for (const agent of this.#agents.values()) agent.retire();
    this.#agents.clear();
  }

  /**
   * Closes the connections through the VM at `relay`: idle ones now, those in
   * use after their response.
   */
  retireRelay(relay: string): void {
    const agents = this.#relayAgents.get(relay);
    this.#relayAgents.delete(relay);
    for (const agent of agents?.values() ?? []) agent.retire();
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
    for (const agents of this.#relayAgents.values()) {
      agents.get(server)?.retire();
      agents.delete(server);
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    for (const agents of this.#relayAgents.values()) {
      for (const agent of agents.values()) agent.destroy();
    }
    for (const { request } of this.#attempts.values()) request.destroy();
  }

  /** Returns the VM through which an attempt is sent, or null. */
  #relayOf(
    { server, relay, mayReuseDirect, ordinal }: AttemptStart,
  ): string | null {
    const isReused = mayReuseDirect &&
      this.#agents.get(server)?.hasIdle(ordinal);
    return isReused ? null : relay;
  }

  #relayAgentOf(relay: string, server: string): RelayAgent {
    const agents = this.#relayAgents.get(relay) ??
      new Map<string, RelayAgent>();
    this.#relayAgents.set(relay, agents);
    const agent = agents.get(server) ??
      RelayAgent.create(this.connector, IDLE_TIMEOUT);
    agents.set(server, agent);
    return agent;
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
      if (isHopByHop(name) || name === "content-length") continue;
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
    limitConnectTime(request, CONNECT_TIMEOUT);
    request.once("socket", (socket) => {
      const setConnected = () => running.isConnected = true;
      if (socket.connecting) socket.once("connect", setConnected);
      else setConnected();
    });
    request.on(
      "error",
      (error) => this.#failAttempt(attempt, running, errorText(error), error),
    );
    request.once(
      "response",
      (response) => this.#receiveResponse(attempt, running, response, outgoing),
    );
    request.once(
      "close",
      () => this.#failAttempt(attempt, running, "connection closed"),
    );
  }

  #receiveResponse(
    attempt: number,
    running: RunningAttempt,
    response: IncomingMessage,
    outgoing: OutgoingRequest,
  ): void {
    const fault = findHeadFault(response);
    if (fault !== null) return this.#failAttempt(attempt, running, fault);
    const status = response.statusCode ?? 0;
    const metadata = this.codec.readResponse(
      status,
      response.headers,
      outgoing.id,
    );
    const { socket } = response;
    const connection = this.#recordResponse(socket);
    const body = BodyBuffer.create();
    response.on("data", (chunk: Buffer) => {
      running.bytes.add(body.add(chunk));
    });
    response.on(
      "error",
      (error) => this.#failAttempt(attempt, running, errorText(error)),
    );
    const succeed = () => {
      // Destroying the request has no effect: Node has handed the connection
      // back to its agent by now. The response to this request, or another late
      // one, may still arrive on it.
      if (metadata.echo !== "own") socket.destroy();
      this.#endRequest(running, outgoing.id, status);
      this.#completeAttempt(
        attempt,
        running,
        response,
        metadata,
        connection,
        body.take(),
      );
    };
    const end = ResponseEnd.watch(response);
    response.once("end", () => {
      const reset = end.verify();
      if (!response.complete) return;
      // A complete response is not cut off.
      running.bytes.end();
      if (reset === null) return succeed();
      running.isVerifying = true;
      void reset.then((error) => {
        const cause = error === null ? null : errorText(error);
        if (running.relay !== null) {
          this.options.onRelayedEnd({
            request: outgoing.id,
            server: running.server,
            relay: running.relay,
            bytes: running.guard.progress?.bytes ?? 0,
            cause,
          });
        }
        if (cause === null) return succeed();
        running.isVerifying = false;
        this.#failAttempt(attempt, running, cause);
      });
    });
  }

  /** Drops or limits what is left to be sent of a request after its response. */
  #endRequest(
    { request, server, deadline }: RunningAttempt,
    id: string,
    status: number,
  ): void {
    const rest = RequestRest.of(request);
    if (rest === null) return;
    const { bytes: unsent } = rest;
    const isReset = status < FIRST_SUCCESS || status > LAST_SUCCESS;
    const early = { request: id, server, status, unsent, isReset };
    this.options.onEarlyResponse(early);
    if (isReset) return abortRequest(request);
    // The body of the caller's request counts until its response is delivered.
    setImmediate(() => rest.sendUntil(deadline, this.options.held));
  }

  #completeAttempt(
    attempt: number,
    running: RunningAttempt,
    response: IncomingMessage,
    metadata: ResponseMetadata,
    connection: ConnectionState,
    body: Buffer,
  ): void {
    if (this.#attempts.get(attempt) !== running) return;
    const { echo } = metadata;
    // The first response on a connection cannot belong to an earlier request.
    const isOwn = echo === "own" ||
      (echo === "none" && connection.responses === 0);
    running.response = { ...forwardedHead(response), body };
    this.sink.push({
      kind: "attempt.ended",
      attempt,
      outcome: {
        kind: "answered",
        status: running.response.status,
        isGenuine: metadata.isGenuine,
        isNotRun: metadata.isNotRun && isOwn,
        server: metadata.server,
        statement: metadata.statement,
        connection,
        isRelayed: running.relay !== null,
      },
    });
    // The core has processed the event by then. A response that it has not
    // taken is not needed.
    setImmediate(() => this.#attempts.delete(attempt));
  }

  /** Counts a response, and returns the state of its connection before it. */
  #recordResponse(socket: Socket): ConnectionState {
    const state = this.#connections.get(socket) ??
      { number: ++this.#connectionCount, responses: 0 };
    const { number, responses } = state;
    this.#connections.set(socket, { number, responses: responses + 1 });
    return state;
  }

  /**
   * Resets the connection of a response that exceeds a limit. Its attempt fails
   * as one that may have run.
   */
  #cutResponse(
    attempt: number,
    running: RunningAttempt,
    cut: ResponseCut,
  ): void {
    if (this.#attempts.get(attempt) !== running) return;
    abortRequest(running.request);
    this.options.onResponseCut(running.server, cut);
    this.#failAttempt(attempt, running, describeCut(cut));
  }

  #failAttempt(
    attempt: number,
    running: RunningAttempt,
    cause: string,
    error?: NodeJS.ErrnoException,
  ): void {
    const isCurrent = this.#attempts.get(attempt) === running;
    if (!isCurrent || running.response !== null || running.isVerifying) return;
    this.#attempts.delete(attempt);
    running.bytes.end();
    running.request.destroy();
    const relayError = error instanceof RelayError ? error : null;
    this.sink.push({
      kind: "attempt.ended",
      attempt,
      outcome: {
        kind: "failed",
        mayHaveBeenSent: running.isConnected,
        isConnectionRefused: relayError?.isServerRefused ??
          error?.code === CONNECTION_REFUSED,
        isRelayed: running.relay !== null,
        isRelayFault: relayError?.isRelayFault ?? false,
        cause,
      },
    });
  }
}

/** Result of a probe through another VM that did not reach the server. */
function probeResultOf(
  { isRelayFault, isServerRefused }: RelayError,
): ProbeResult {
  if (isRelayFault) return "unknown";
  return isServerRefused ? "refused" : "silent";
}
