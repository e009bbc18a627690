/**
 * Limits on the responses of backend servers. A faulty server may send bytes
 * that are not a response without end.
 *
 * @module
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Longest parts of a response, in bytes. */
export interface ResponseLimits {
  headBytes: number;
  bodyBytes: number;
}

/** Where a response was cut off, and how many bytes of that part had arrived. */
export interface ResponseCut {
  part: "head" | "body";
  bytes: number;
}

/** Receives the responses that were cut off, with the id of their server. */
export type CutListener = (server: string, cut: ResponseCut) => void;

const BYTES_PER_KILOBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_024 * BYTES_PER_KILOBYTE;
/** Error code of Node's parser for a head, or trailers, of excessive size. */
const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";
/**
 * Bytes by which the framing of a body in chunks may exceed the body. Chunks of
 * one byte have five of framing, and each takes as long as a kilobyte of body.
 */
const FRAMING_EXCESS = 256 * BYTES_PER_KILOBYTE;
const NOT_MODIFIED = 304;

/** Limits that apply unless the settings contain others. */
export const DEFAULT_RESPONSE_LIMITS: ResponseLimits = {
  headBytes: 64 * BYTES_PER_KILOBYTE,
  bodyBytes: 64 * BYTES_PER_MEGABYTE,
};

/** Converts the section `responses` of the settings. */
export function responseLimitsOf(
  { maximumHeadKilobytes, maximumBodyMegabytes }: {
    maximumHeadKilobytes: number;
    maximumBodyMegabytes: number;
  },
): ResponseLimits {
  return {
    headBytes: Math.floor(maximumHeadKilobytes * BYTES_PER_KILOBYTE),
    bodyBytes: Math.floor(maximumBodyMegabytes * BYTES_PER_MEGABYTE),
  };
}

/** Text that names a cut as the cause of a failed attempt or order. */
export function describeCut({ part, bytes }: ResponseCut): string {
  return `response cut off in its ${part} after ${bytes} bytes`;
}

/**
 * Counts the bytes of one response and reports when a part exceeds its limit.
 *
 * Node's parser does not count empty lines before a head nor heads of interim
 * responses (1xx), so the bytes on the connection are counted as well.
 */
export class ResponseGuard {
  #part: ResponseCut["part"] = "head";
  /** Bytes of the part, with the framing of a body. */
  #received = 0;
  /** Bytes of the body without framing. */
  #bodyBytes = 0;
  #isCut = false;

  private constructor(
    private readonly request: ClientRequest,
    private readonly limits: ResponseLimits,
    private readonly onExceeded: (cut: ResponseCut) => void,
  ) {
    request.once("socket", (socket) => this.#watch(socket));
    request.once("response", (response) => this.#receive(response));
    request.on("error", ({ code }: NodeJS.ErrnoException) => {
      if (code === HEADER_OVERFLOW) this.#cut();
    });
  }

  /**
   * Watches the response to `request`, and calls `onExceeded` at most once.
   * Must be called before other listeners are added to `request`.
   */
  static watch(
    request: ClientRequest,
    limits: ResponseLimits,
    onExceeded: (cut: ResponseCut) => void,
  ): ResponseGuard {
    return new ResponseGuard(request, limits, onExceeded);
  }

  /** What has been received so far; null if nothing has. */
  get progress(): ResponseCut | null {
    const isStarted = this.#part === "body" || this.#received > 0;
    return isStarted ? this.#position() : null;
  }

  #watch(socket: Socket): void {
    const count = (bytes: Buffer) => {
      const { headBytes } = this.limits;
      const limit = this.#part === "head"
        ? headBytes
        : headBytes + 2 * this.#bodyBytes + FRAMING_EXCESS;
      this.#received += bytes.length;
      if (this.#received > limit) this.#cut();
    };
    socket.on("data", count);
    this.request.once("close", () => socket.off("data", count));
  }

  #receive(response: IncomingMessage): void {
    this.#part = "body";
    this.#received = 0;
    const { statusCode, headers } = response;
    const hasBody = this.request.method !== "HEAD" &&
      statusCode !== NOT_MODIFIED;
    const declared = Number(headers["content-length"] ?? 0);
    if (hasBody && declared > this.limits.bodyBytes) return this.#cut();
    response.on("data", (bytes: Buffer) => {
      this.#bodyBytes += bytes.length;
      if (this.#bodyBytes > this.limits.bodyBytes) this.#cut();
    });
  }

  #cut(): void {
    if (this.#isCut) return;
    this.#isCut = true;
    this.onExceeded(this.#position());
  }

  #position(): ResponseCut {
    const part = this.#part;
    return { part, bytes: part === "head" ? this.#received : this.#bodyBytes };
  }
}
