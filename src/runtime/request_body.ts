/**
 * Reads the body of a caller's request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/**
 * Receives the result of reading a body. None of these is called if the body is
 * truncated.
 */
export interface BodyHandler {
  /** The body is larger than allowed; may be called more than once. */
  onTooLarge(): void;
  /** The body was read completely. */
  onComplete(body: Buffer): void;
}

/**
 * Reads a body of at most `maximumBytes`, a limit that may change meanwhile.
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
