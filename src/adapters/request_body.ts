/**
 * Bodies of callers' requests. A small one is taken in before a server is
 * chosen, so that a slow caller holds no server's slot and the body can be sent
 * again; a large one is passed on as it comes.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";

/** Largest body that is taken in whole, in bytes. */
const WHOLE_BODY = 64 * 1024;

/** What was found where a body should be. */
export type Body =
  | { kind: "none" }
  | { kind: "whole"; bytes: Buffer }
  | { kind: "streamed"; stream: Readable }
  | { kind: "too-large" };

/** Calls back once with the body, or never when the caller leaves before. */
export function readBody(
  request: IncomingMessage,
  maximum: number,
  done: (body: Body) => void,
): void {
  const length = request.headers["content-length"];
  const isChunked = request.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (length === undefined || length === "0")) {
    request.resume();
    done({ kind: "none" });
    return;
  }
  const declared = length === undefined ? 0 : Number(length);
  if (declared > maximum) {
    done({ kind: "too-large" });
    return;
  }
  if (declared > WHOLE_BODY) {
    done({ kind: "streamed", stream: request.pipe(new PassThrough()) });
    return;
  }
  collect(request, maximum, done);
}

function collect(
  request: IncomingMessage,
  maximum: number,
  done: (body: Body) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let isDone = false;
  const finish = (body: Body) => {
    if (isDone) return;
    isDone = true;
    request.off("data", take);
    done(body);
  };
  const take = (chunk: Buffer) => {
    chunks.push(chunk);
    size += chunk.length;
    if (size > maximum) {
      finish({ kind: "too-large" });
      return;
    }
    if (size <= WHOLE_BODY) return;
    request.pause();
    const stream = new PassThrough();
    for (const each of chunks) stream.write(each);
    finish({ kind: "streamed", stream });
    limit(request, stream, maximum - size);
  };
  request.on("data", take);
  request.on("end", () => {
    const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
    finish({ kind: "whole", bytes });
  });
}

/** Passes the rest of a body on; one that is too large breaks it off. */
function limit(
  request: IncomingMessage,
  stream: PassThrough,
  remaining: number,
): void {
  let left = remaining;
  request.on("data", (chunk: Buffer) => {
    left -= chunk.length;
    if (left < 0) stream.destroy(new Error("body is too large"));
  });
  request.pipe(stream);
}
