/**
 * Tells the orderly end of a connection from a reset, and a response that ends
 * with its connection from a truncated one.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { RelayedSocket } from "./relayed_socket.ts";

/**
 * Resolves at the end of the connection: to null if the other side closed it in
 * order, or to the error if it reset it. On a connection through another VM,
 * the other side is the server: that VM has to state its end.
 */
export function detectReset(socket: Socket): Promise<Error | null> {
  return new Promise((resolve) => {
    socket.prependOnceListener("end", () => resolve(resetBeforeEnd(socket)));
  });
}

/**
 * Resolves to the error of a connection that has just ended, or to null. A
 * reset that arrives together with the last bytes is read as an orderly end,
 * but writing zero bytes then fails.
 */
function resetBeforeEnd(socket: Socket): Promise<Error | null> {
  if (socket instanceof RelayedSocket && !socket.isServerEnded) {
    return Promise.resolve(new Error("connection ended by the VM between"));
  }
  return new Promise((resolve) => {
    socket.write("", (error) => resolve(error ?? null));
  });
}

/** Verifies that a response is complete once it has ended. */
export class ResponseEnd {
  readonly #onEnd = () => this.#reset = resetBeforeEnd(this.socket);
  /** Set when the connection ends before the response does. */
  #reset: Promise<Error | null> | null = null;

  private constructor(private readonly socket: Socket) {}

  /** Watches a response whose headers have arrived. */
  static watch({ headers, socket }: IncomingMessage): ResponseEnd {
    const end = new ResponseEnd(socket);
    const isFramed = headers["content-length"] !== undefined ||
      isChunked(headers["transfer-encoding"]);
    if (!isFramed) socket.prependOnceListener("end", end.#onEnd);
    return end;
  }

  /**
   * Must be called when the response has ended. Returns null if its framing
   * proves that it is complete: it has a length, or cannot have a body. If only
   * the end of its connection delimits it, resolves to null if the server has
   * closed that in order, or to the error.
   */
  verify(): Promise<Error | null> | null {
    this.socket.off("end", this.#onEnd);
    return this.#reset;
  }
}

/**
 * Whether a body in these transfer codings states its end; in others it ends
 * with its connection (RFC 9112, 6.3).
 */
function isChunked(transferEncoding = ""): boolean {
  return /(^|,)[ \t]*chunked[ \t]*$/i.test(transferEncoding);
}
