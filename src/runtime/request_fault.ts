/**
 * What can be wrong with what a caller sends, and how it is told.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";

/** A fault of a request that is not taken in. */
export interface RequestFault {
  status: number;
  reason: string;
}

export const BAD_REQUEST = { status: 400, reason: "no request" };
export const NO_HOST = { status: 400, reason: "no host" };
export const BODY_TOO_LARGE = { status: 413, reason: "body too large" };
export const EXPECTATION_FAILED = { status: 417, reason: "expectation failed" };
export const HEADERS_TOO_LARGE = { status: 431, reason: "headers too large" };
export const NO_TUNNEL = { status: 501, reason: "no tunnels" };

/** Faults that Node's parser names; all others are {@linkcode BAD_REQUEST}. */
export const PARSER_FAULTS: Record<string, RequestFault> = {
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, reason: "not sent in time" },
  HPE_HEADER_OVERFLOW: HEADERS_TOO_LARGE,
};

/** The answer to what did not become a request, with the end of its connection. */
export function rawAnswer({ status }: RequestFault): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "Connection: close\r\nContent-Length: 0\r\n\r\n";
}
