/**
 * Reasons for rejecting a caller's request before it reaches the core, and the
 * responses to such requests.
 *
 * @module
 */
import { type IncomingMessage, STATUS_CODES } from "node:http";
import type { CallerLimits } from "../core/catalog/index.ts";

/** Status and reason of a rejected request. */
export interface RequestRejection {
  status: number;
  reason: string;
}

export const BAD_REQUEST = { status: 400, reason: "no request" };
export const MISSING_HOST = { status: 400, reason: "no host" };
export const BODY_TOO_LARGE = { status: 413, reason: "body too large" };
export const EXPECTATION_FAILED = { status: 417, reason: "expectation failed" };
export const HEADERS_TOO_LARGE = { status: 431, reason: "headers too large" };
/** Status 503 assures the caller that the request was not run. */
export const READ_TOO_LATE = { status: 503, reason: "its time was over" };
export const TUNNEL_UNSUPPORTED = { status: 501, reason: "no tunnels" };

/**
 * Rejections by the error code of Node's parser. All other errors lead to
 * {@linkcode BAD_REQUEST}.
 */
export const PARSER_REJECTIONS: Record<string, RequestRejection> = {
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, reason: "not sent in time" },
  HPE_HEADER_OVERFLOW: HEADERS_TOO_LARGE,
};

/**
 * Raw response to bytes that are not a valid request; closes the connection.
 */
export function rawResponse({ status }: RequestRejection): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "Connection: close\r\nContent-Length: 0\r\n\r\n";
}

/**
 * Returns the rejection of a request whose headers are not acceptable, or null.
 * `limits` is null until a configuration is loaded.
 */
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

/**
 * Whether a request has no Expect header, or one that Node can meet:
 * 100-continue.
 */
export function canMeetExpectation({ headers }: IncomingMessage): boolean {
  const { expect } = headers;
  return expect === undefined || /(?:^|\W)100-continue(?:$|\W)/i.test(expect);
}
