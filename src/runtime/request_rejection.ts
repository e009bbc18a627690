/**
 * What can be wrong with what a caller sends, and how it is told.
 *
 * @module
 */
import { type IncomingMessage, STATUS_CODES } from "node:http";
import type { CallerLimits } from "../core/catalog/index.ts";

/** A fault of a request that is not taken in. */
export interface RequestRejection {
  status: number;
  reason: string;
}

export const BAD_REQUEST = { status: 400, reason: "no request" };
export const MISSING_HOST = { status: 400, reason: "no host" };
export const BODY_TOO_LARGE = { status: 413, reason: "body too large" };
export const EXPECTATION_FAILED = { status: 417, reason: "expectation failed" };
export const HEADERS_TOO_LARGE = { status: 431, reason: "headers too large" };
/** The status promises that the request has not run. */
export const READ_TOO_LATE = { status: 503, reason: "its time was over" };
export const TUNNEL_UNSUPPORTED = { status: 501, reason: "no tunnels" };

/** Faults that Node's parser names; all others are {@linkcode BAD_REQUEST}. */
export const PARSER_REJECTIONS: Record<string, RequestRejection> = {
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, reason: "not sent in time" },
  HPE_HEADER_OVERFLOW: HEADERS_TOO_LARGE,
};

/** The answer to what did not become a request, with the end of its connection. */
export function rawResponse({ status }: RequestRejection): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "Connection: close\r\nContent-Length: 0\r\n\r\n";
}

/** What is wrong with the headers of a request, or null; limits are null while
 * there is no configuration. */
export function checkHeaders(
  { rawHeaders, url, headers, httpVersion }: IncomingMessage,
  limits: CallerLimits | null,
): RequestRejection | null {
  if (httpVersion === "1.1" && headers.host === undefined) return MISSING_HOST;
  if (limits === null) return null;
  let size = (url ?? "").length;
  for (const text of rawHeaders) size += text.length;
  return size > limits.maximumHeaderBytes ? HEADERS_TOO_LARGE : null;
}

/** Whether what a request expects of us is what we do. */
export function isMetExpectation({ headers }: IncomingMessage): boolean {
  const { expect } = headers;
  return expect === undefined || /(?:^|\W)100-continue(?:$|\W)/i.test(expect);
}
