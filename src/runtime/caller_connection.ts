/**
 * One caller's connection: keeps the pending responses in the order of their
 * requests, and closes the connection gracefully after the last of them.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type ConnectionBytes, HeldBytes } from "./held_bytes.ts";
import { monotonicNow } from "./monotonic_clock.ts";

/**
 * Maximum time for which a connection is still read after its writable side has
 * ended, in milliseconds. If it were closed at once, bytes that arrive later
 * would make the operating system discard the data that it has not sent yet: a
 * caller that keeps sending would lose its last response.
 */
const LINGER_TIMEOUT = 2_000;

/** A response that the operating system has not accepted completely. */
interface PendingResponse {
  /** Id of the request and its response. */
  exchange: number;
  response: ServerResponse;
  /** Called when the response can no longer be sent. */
  onLost(): void;
}

/** See the module's comment. */
export class CallerConnection {
  /** Bytes that are held for it. */
  readonly bytes: ConnectionBytes;
  /** Whether it is not read from until it has drained. */
  #isPaused = false;
  readonly #pending: PendingResponse[] = [];
  /** Whether no further requests are accepted. */
  #isEnding = false;
  /** Whether the graceful close has started. */
  #isClosing = false;
  /** Bytes to send after the last response; empty if none. */
  #finalBytes = "";
  /** When the operating system last accepted a complete response. */
  #lastSentAt = -Infinity;

  private constructor(
    readonly socket: Socket,
    private readonly onClosed: () => void,
    held: HeldBytes,
  ) {
    this.bytes = held.openConnection((isPaused) => this.#setPaused(isPaused));
    // Node resumes a connection when a part of a request has been processed.
    socket.on("resume", () => {
      if (this.#isPaused) socket.pause();
    });
    // Node also ends the writable side, after the data written so far. No later
    // response can be sent.
    socket.once("end", () => this.#callerEnded());
    socket.once("close", () => this.#socketClosed());
    // Node calls this after a response that closes its connection.
    socket.destroySoon = () => this.#closeGracefully("");
  }

  /**
   * Wraps `socket`; calls `onClosed` when it has closed. Its bytes are counted
   * in `held`.
   */
  static create(
    socket: Socket,
    onClosed: () => void,
    held = HeldBytes.create(null),
  ): CallerConnection {
    return new CallerConnection(socket, onClosed, held);
  }

  /**
   * Whether a response to a further request could be sent. A request that is
   * not accepted must not be forwarded, since its caller retries it elsewhere.
   */
  get isAccepting(): boolean {
    return !this.#isEnding;
  }

  /** Number of pending responses. */
  get pendingCount(): number {
    return this.#pending.length;
  }

  /**
   * Id of the exchange whose response is sent last; null if none is pending.
   */
  get lastExchange(): number | null {
    return this.#pending.at(-1)?.exchange ?? null;
  }

  /** Whether destroying the socket now could cut off a response. */
  get isBusy(): boolean {
    return this.#pending.length > 0 || this.#isClosing;
  }

  /**
   * Adds a request. Its response is sent after those of earlier requests;
   * `onLost` is called if the connection closes first.
   */
  addRequest(
    exchange: number,
    response: ServerResponse,
    onLost: () => void,
  ): void {
    this.#pending.push({ exchange, response, onLost });
    response.once("close", () => this.#responseClosed(response));
  }

  /**
   * Whether nothing is sent after the response of `exchange`, so that it may
   * close the connection. Responses are sent in the order of their requests,
   * which may differ from the order in which they become available.
   */
  isLast(exchange: number): boolean {
    return this.lastExchange === exchange && this.#finalBytes === "";
  }

  /**
   * Accepts no further requests, and closes after all pending responses and
   * `finalBytes` have been sent.
   */
  end(finalBytes = ""): void {
    if (this.#isEnding) return;
    this.#isEnding = true;
    this.#finalBytes = finalBytes;
    if (this.#pending.length > 0) return;
    // After this time the last response no longer counts as in transit.
    const isPastLinger = monotonicNow() - this.#lastSentAt > LINGER_TIMEOUT;
    if (finalBytes === "" && isPastLinger) this.socket.end();
    else this.#closeGracefully(finalBytes);
  }

  #setPaused(isPaused: boolean): void {
    this.#isPaused = isPaused;
    if (isPaused) this.socket.pause();
    else if (!this.socket.destroyed) this.socket.resume();
  }

  /** A response was sent completely, or its connection has closed. */
  #responseClosed(response: ServerResponse): void {
    const index = this.#pending.findIndex((each) => each.response === response);
    if (index < 0) return;
    const [{ onLost }] = this.#pending.splice(index, 1);
    this.#lastSentAt = monotonicNow();
    if (!response.writableFinished) onLost();
    if (this.#pending.length > 0 || !this.#isEnding) return;
    this.#closeGracefully(this.#finalBytes);
  }

  /**
   * Ends the writable side after `finalBytes` and waits for the caller to end
   * its side.
   */
  #closeGracefully(finalBytes: string): void {
    if (this.#isClosing || this.socket.destroyed) return;
    this.#isClosing = true;
    if (!this.socket.writableEnded) this.socket.end(finalBytes);
    const timer = setTimeout(() => this.socket.destroy(), LINGER_TIMEOUT);
    this.socket.once("close", () => clearTimeout(timer));
  }

  #callerEnded(): void {
    this.#isEnding = true;
    // Node does this as well, unless it has detached the connection for a
    // tunnel.
    this.socket.end();
    for (const { onLost } of this.#pending) onLost();
  }

  /**
   * Reports all pending responses as lost: Node emits no event for a response
   * that is queued behind one that was cut off.
   */
  #socketClosed(): void {
    this.#isEnding = true;
    this.#isClosing = false;
    this.bytes.close();
    for (const { onLost } of this.#pending.splice(0)) onLost();
    this.onClosed();
  }
}
