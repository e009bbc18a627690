/**
 * Reads the body of a caller's request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** What becomes of a body; none of these when it breaks off. */
export interface BodyHandler {
  /** It is larger than allowed; may be called more than once. */
  onTooLarge(): void;
  /** Its end was read. */
  onComplete(body: Buffer): void;
}

/** Reads a body of at most `maximumBytes`, which may change meanwhile. */
export function readBody(
  request: IncomingMessage,
  maximumBytes: () => number,
  outcome: BodyHandler,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  request.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > maximumBytes()) return outcome.onTooLarge();
    chunks.push(chunk);
  });
  request.once("end", () => outcome.onComplete(Buffer.concat(chunks)));
  // A body that breaks off ends the response, which reports the caller gone.
  request.on("error", () => {});
}
