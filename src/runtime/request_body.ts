/**
 * Reads the body of a caller's request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { BodyBuffer } from "./body_buffer.ts";

/**
 * Receives the result of reading a body. `onComplete` is not called if the body
 * is truncated.
 */
export interface BodyHandler {
  /**
   * Called for each chunk within the limit, until it returns that the body is no
   * longer needed, with the bytes that were allocated for the chunk.
   */
  onChunk(bytes: number): boolean;
  /** Called, possibly more than once, if the body exceeds the limit. */
  onTooLarge(): void;
  /**
   * Called when the body was read to its end. If it was too large or no longer
   * needed, `body` is incomplete.
   */
  onComplete(body: Buffer): void;
}

/**
 * Reads the body of `request`. `maximumBytes` returns the maximum size, which
 * may change while the body is read.
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: () => number,
  handler: BodyHandler,
): void {
  const body = BodyBuffer.create();
  let size = 0;
  let isNeeded = true;
  request.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > maximumBytes()) {
      body.take();
      return handler.onTooLarge();
    }
    if (!isNeeded) return;
    isNeeded = handler.onChunk(body.add(chunk));
    if (!isNeeded) body.take();
  });
  request.once("end", () => handler.onComplete(body.take()));
  // A truncated body closes the response, which reports that the caller has
  // disconnected.
  request.on("error", () => {});
}
