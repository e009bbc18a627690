/**
 * Requests that are not sent completely when their response is. A server may
 * respond before it has read a long body, keep the connection, and read on
 * later or not at all.
 *
 * @module
 */
import type { ClientRequest } from "node:http";
import type { HeldBytes } from "./held_bytes.ts";
import { abortRequest } from "./http_client.ts";
import { monotonicNow } from "./monotonic_clock.ts";

/** A response that was complete before its request had been sent. */
export interface EarlyResponse {
  /** Id of the request. */
  request: string;
  /** Id of the server. */
  server: string;
  status: number;
  /** Bytes of the request that were not sent; see {@linkcode RequestRest}. */
  unsent: number;
  /**
   * Whether the connection was reset, since the server has not accepted the
   * request and needs no more of it.
   */
  isReset: boolean;
}

/** The part of a request that the operating system has not accepted. */
export class RequestRest {
  private constructor(private readonly request: ClientRequest) {}

  /** Returns the rest of a request, or null if there is none to be sent. */
  static of(request: ClientRequest): RequestRest | null {
    const isOver = request.writableFinished || request.destroyed ||
      (request.socket?.destroyed ?? true);
    return isOver ? null : new RequestRest(request);
  }

  /** Its length in bytes; a write that is accepted in part counts whole. */
  get bytes(): number {
    return this.request.writableLength;
  }

  /**
   * Goes on sending until `deadline`, on the monotonic clock in milliseconds;
   * then resets the connection. Until it is sent, the memory of the body counts
   * as held.
   */
  sendUntil(deadline: number, held: HeldBytes): void {
    const { request } = this;
    if (RequestRest.of(request) === null) return;
    const release = held.hold(this.bytes);
    const timer = setTimeout(
      () => abortRequest(request),
      Math.max(deadline - monotonicNow(), 0),
    );
    const end = () => {
      clearTimeout(timer);
      release();
    };
    request.once("finish", end);
    request.once("close", end);
  }
}
