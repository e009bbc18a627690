/**
 * Reads the body of a caller's request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/**
 * Receives the result of reading a body. `onComplete` is not called if the body
 * is truncated.
 */
export interface BodyHandler {
  /** Called, possibly more than once, if the body exceeds the limit. */
  onTooLarge(): void;
  /**
   * Called when the body was read to its end. After `onTooLarge`, `body` is
   * incomplete.
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
  const chunks: Buffer[] = [];
  let size = 0;
  request.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > maximumBytes()) return handler.onTooLarge();
    chunks.push(chunk);
  });
  request.once("end", () => handler.onComplete(Buffer.concat(chunks)));
  // A truncated body closes the response, which reports that the caller has
  // disconnected.
  request.on("error", () => {});
}
