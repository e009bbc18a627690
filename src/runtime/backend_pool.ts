/**
 * Sends requests to backend servers over kept connections and takes their
 * answers whole, so that one that is cut short or spoilt can be tried elsewhere
 * and is never passed on.
 *
 * Uses Node's client, since `undici` takes an answer without a length as whole
 * when its connection is reset.
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
import type { ServerCheck } from "../core/quarantine/index.ts";
import { errorText } from "../errors/index.ts";
import { parseAddress } from "../settings/address.ts";
import type { AnswerFacts, HeaderCodec } from "./header_codec.ts";
import type { OccurrenceSink } from "./entry_loop.ts";
import { limitConnecting } from "./http_client.ts";

/** Time for a connection to be made, in milliseconds; hosts that are down do
 * not answer at all. */
const CONNECT_TIMEOUT = 300;
/** Longest time for which an idle connection is kept, in milliseconds; less
 * where the server names a shorter one. */
const IDLE_TIMEOUT = 8_000;
/** Statuses below this are none (RFC 9110, 15). */
const LOWEST_STATUS = 100;
/** Headers that concern one connection only (RFC 9110, 7.6.1). */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Error of a connection to an address at which nothing listens. */
const REFUSED = "ECONNREFUSED";

/** A caller's request as it is sent on. */
export interface OutgoingRequest {
  id: string;
  method: string;
  target: string;
  /** Names and values in turn, as the caller sent them. */
  headers: readonly string[];
  body: Buffer;
}

/** An answer of a server, whole. */
export interface TakenAnswer {
  status: number;
  statusText: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer;
}

/**
 * Keeps connections, and drops one on which bytes arrive while no answer is
 * due: they belong to no request.
 */
class WatchfulAgent extends Agent {
  #isRetired = false;

  /** Drops idle connections, and those in use once their answer is whole. */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.#isRetired) return false;
    // Node's types leave out that it says whether the socket is kept.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on("data", dropSocket);
    return isKept;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", dropSocket);
    super.reuseSocket(socket, request);
  }
}

function dropSocket(this: Socket): void {
  this.destroy();
}

interface RunningAttempt {
  request: ClientRequest;
  /** Set once the answer is whole. */
  answer: TakenAnswer | null;
  /** Whether the answer has ended and the end is being checked. */
  isChecked: boolean;
}

/** See the module's comment. */
export class BackendPool {
  readonly #agents = new Map<string, WatchfulAgent>();
  readonly #attempts = new Map<number, RunningAttempt>();

  private constructor(
    private readonly codec: HeaderCodec,
    private readonly sink: OccurrenceSink,
  ) {}

  /** A pool without connections. */
  static create(codec: HeaderCodec, sink: OccurrenceSink): BackendPool {
    return new BackendPool(codec, sink);
  }

  /** Sends a request; ends with one `attempt.ended`, unless it is cancelled. */
  send(start: AttemptStart, outgoing: OutgoingRequest): void {
    try {
      this.#open(start, outgoing);
    } catch (error) {
      // Node throws for what it cannot send, as an entry of the registry may say
      // anything; a throw from here would end the process.
      this.sink.push({
        kind: "attempt.ended",
        attempt: start.attempt,
        outcome: { kind: "failed", wasSent: false, cause: errorText(error) },
      });
    }
  }

  #open(start: AttemptStart, outgoing: OutgoingRequest): void {
    const separator = start.address.lastIndexOf(":");
    const request = httpRequest({
      host: start.address.slice(0, separator),
      port: Number(start.address.slice(separator + 1)),
      method: outgoing.method,
      path: outgoing.target,
      headers: this.#headers(start, outgoing) as unknown as Record<
        string,
        string
      >,
      agent: this.#agent(start.server),
      setHost: false,
    });
    const running: RunningAttempt = { request, answer: null, isChecked: false };
    this.#attempts.set(start.attempt, running);
    this.#watch(start.attempt, running, outgoing);
    request.end(outgoing.body.length > 0 ? outgoing.body : undefined);
  }

  /** Looks whether anything listens at a server's address. */
  check({ server, address }: ServerCheck): void {
    const { host, port } = parseAddress(address);
    const socket = connect({ host, port });
    socket.setTimeout(CONNECT_TIMEOUT);
    const end = (isRefused: boolean) => {
      socket.removeAllListeners();
      // What it still has to say no longer matters.
      socket.on("error", () => {});
      socket.destroy();
      this.sink.push({ kind: "server.checked", server, isRefused });
    };
    socket.once("connect", () => end(false));
    socket.once("timeout", () => end(false));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => end(error.code === REFUSED),
    );
  }

  /** Gives an attempt up and resets its connection. */
  cancel(attempt: number): void {
    const running = this.#attempts.get(attempt);
    if (running === undefined) return;
    this.#attempts.delete(attempt);
    running.request.destroy();
  }

  /** Takes the answer of an attempt that has ended. */
  take(attempt: number): TakenAnswer | null {
    const answer = this.#attempts.get(attempt)?.answer ?? null;
    this.#attempts.delete(attempt);
    return answer;
  }

  /**
   * Forgets the connections of a server that is gone, or whose run is another
   * now. Requests that it has are left there: the word of it comes a heartbeat
   * late, so the new run may have them already, and a server that leaves ends
   * its work after its entry is removed.
   */
  forget(server: string): void {
    this.#agents.get(server)?.retire();
    this.#agents.delete(server);
  }

  /** Ends all connections. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    for (const { request } of this.#attempts.values()) request.destroy();
  }

  #agent(server: string): WatchfulAgent {
    let agent = this.#agents.get(server);
    if (agent === undefined) {
      agent = new WatchfulAgent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: IDLE_TIMEOUT,
      });
      this.#agents.set(server, agent);
    }
    return agent;
  }

  #headers(start: AttemptStart, outgoing: OutgoingRequest): string[] {
    const headers: string[] = [];
    for (let i = 0; i < outgoing.headers.length; i += 2) {
      const name = outgoing.headers[i].toLowerCase();
      if (HOP_BY_HOP.has(name) || name === "content-length") continue;
      if (this.codec.isOwn(name)) continue;
      headers.push(outgoing.headers[i], outgoing.headers[i + 1]);
    }
    headers.push(...this.codec.forServer(start.server, start.remaining));
    const isBodyExpected = outgoing.method !== "GET" &&
      outgoing.method !== "HEAD";
    if (outgoing.body.length > 0 || isBodyExpected) {
      headers.push("Content-Length", String(outgoing.body.length));
    }
    return headers;
  }

  #watch(
    attempt: number,
    running: RunningAttempt,
    outgoing: OutgoingRequest,
  ): void {
    const { request } = running;
    let isConnected = false;
    limitConnecting(request, CONNECT_TIMEOUT);
    request.once("socket", (socket) => {
      if (socket.connecting) socket.once("connect", () => isConnected = true);
      else isConnected = true;
    });
    request.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        this.#fail(
          attempt,
          running,
          isConnected,
          errorText(error),
          error.code === REFUSED,
        ),
    );
    request.once(
      "response",
      (response) => this.#receive(attempt, running, response, outgoing),
    );
    request.once(
      "close",
      () => this.#fail(attempt, running, isConnected, "connection closed"),
    );
  }

  #receive(
    attempt: number,
    running: RunningAttempt,
    response: IncomingMessage,
    outgoing: OutgoingRequest,
  ): void {
    const status = response.statusCode ?? 0;
    if (status < LOWEST_STATUS) {
      return this.#fail(attempt, running, true, `status ${status}`);
    }
    const facts = this.codec.readAnswer(status, response.headers, outgoing.id);
    const chunks: Buffer[] = [];
    response.on("data", (chunk: Buffer) => chunks.push(chunk));
    response.on(
      "error",
      (error) => this.#fail(attempt, running, true, errorText(error)),
    );
    const succeed = () => {
      if (!facts.isOwnExchange) running.request.destroy();
      this.#succeed(attempt, running, response, facts, Buffer.concat(chunks));
    };
    const reset = endsWithConnection(response)
      ? findReset(response.socket)
      : null;
    response.once("end", () => {
      if (!response.complete) return;
      if (reset === null) return succeed();
      running.isChecked = true;
      void reset.then((error) => {
        if (error === null) return succeed();
        running.isChecked = false;
        this.#fail(attempt, running, true, errorText(error));
      });
    });
  }

  #succeed(
    attempt: number,
    running: RunningAttempt,
    response: IncomingMessage,
    facts: AnswerFacts,
    body: Buffer,
  ): void {
    if (this.#attempts.get(attempt) !== running) return;
    running.answer = {
      status: response.statusCode ?? 0,
      statusText: printable(response.statusMessage),
      headers: withoutHopByHop(response.rawHeaders),
      body,
    };
    this.sink.push({
      kind: "attempt.ended",
      attempt,
      outcome: {
        kind: "answered",
        status: running.answer.status,
        isGenuine: facts.isGenuine,
        isNotRun: facts.isNotRun && facts.isOwnExchange,
        server: facts.server,
        load: facts.load,
        rateLimit: facts.rateLimit,
      },
    });
    // By then the core has had its say; an answer that it did not take is of
    // no use to anybody.
    setImmediate(() => this.#attempts.delete(attempt));
  }

  #fail(
    attempt: number,
    running: RunningAttempt,
    wasSent: boolean,
    cause: string,
    isRefused = false,
  ): void {
    const isCurrent = this.#attempts.get(attempt) === running;
    if (!isCurrent || running.answer !== null || running.isChecked) return;
    this.#attempts.delete(attempt);
    running.request.destroy();
    this.sink.push({
      kind: "attempt.ended",
      attempt,
      outcome: { kind: "failed", wasSent, isRefused, cause },
    });
  }
}

/** Whether nothing but the end of its connection ends an answer. */
function endsWithConnection({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

/**
 * The error of a connection whose end is about to be read, or null when its
 * other side closed it in order. A reset that arrives together with the last
 * bytes is read as an orderly end; a write of no bytes then still fails.
 */
function findReset(socket: Socket): Promise<Error | null> {
  return new Promise((resolve) => {
    socket.prependOnceListener("end", () => {
      socket.write("", (error) => resolve(error ?? null));
    });
  });
}

/** A status text as Node sends it on, or none. */
function printable(text = ""): string {
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
