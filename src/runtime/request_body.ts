/**
 * Reads the body of a caller's request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** What becomes of a body; none of these when it breaks off. */
export interface BodyOutcome {
  /** It is larger than allowed; may be called more than once. */
  tooLarge(): void;
  /** Its end was read. */
  whole(body: Buffer): void;
}

/** Reads a body of at most `maximumBytes`, which may change meanwhile. */
export function readBody(
  request: IncomingMessage,
  maximumBytes: () => number,
  outcome: BodyOutcome,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  request.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > maximumBytes()) return outcome.tooLarge();
    chunks.push(chunk);
  });
  request.once("end", () => outcome.whole(Buffer.concat(chunks)));
  // A body that breaks off ends the response, which reports the caller gone.
  request.on("error", () => {});
}
