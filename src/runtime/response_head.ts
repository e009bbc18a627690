/**
 * The head of a response as it is passed on to a caller. A faulty server may
 * send anything, and what Node's parser lets through differs between processor
 * architectures, so the whole head is checked here before any of it is used.
 *
 * @module
 */
import {
  type IncomingMessage,
  validateHeaderName,
  validateHeaderValue,
} from "node:http";
import { errorText } from "../errors/index.ts";

/**
 * Bounds of the statuses of final responses (RFC 9110, 15). No request asks for
 * an upgrade, so 101 is not final either.
 */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
/** Maximum length of the reason why a head is invalid, in characters. */
const MAXIMUM_FAULT_LENGTH = 120;
/** Headers that apply to a single connection only (RFC 9110, 7.6.1). */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Head of a response that Node's parser has read. */
export type ReceivedHead = Pick<
  IncomingMessage,
  "statusCode" | "statusMessage" | "rawHeaders"
>;

/** Status and headers that are passed on. */
export interface ForwardedHead {
  status: number;
  /** Empty if the server's text is not valid. */
  statusText: string;
  /** Alternating names and values. */
  headers: string[];
}

/**
 * Returns why a head is not that of a final response that can be passed on, or
 * null if it is.
 */
export function findHeadFault(
  { statusCode = 0, rawHeaders }: ReceivedHead,
): string | null {
  if (statusCode < FIRST_FINAL_STATUS || statusCode > LAST_STATUS) {
    return `status ${statusCode}`;
  }
  try {
    for (let i = 0; i < rawHeaders.length; i += 2) {
      validateHeaderName(rawHeaders[i]);
      validateHeaderValue(rawHeaders[i], rawHeaders[i + 1]);
    }
    return null;
  } catch (error) {
    return errorText(error).slice(0, MAXIMUM_FAULT_LENGTH);
  }
}

/** Returns what is passed on of a head without fault. */
export function forwardedHead(
  { statusCode = 0, statusMessage, rawHeaders }: ReceivedHead,
): ForwardedHead {
  return {
    status: statusCode,
    statusText: validStatusText(statusMessage),
    headers: withoutHopByHop(rawHeaders),
  };
}

/**
 * Whether a header applies to a single connection only; `name` is in lower
 * case.
 */
export function isHopByHop(name: string): boolean {
  return HOP_BY_HOP.has(name);
}

/** The status text if Node accepts it in a response, else an empty string. */
function validStatusText(text = ""): string {
  return /^[\t\x20-\x7e\x80-\xff]*$/.test(text) ? text : "";
}

function withoutHopByHop(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    const name = headers[i].toLowerCase();
    if (isHopByHop(name) || name === "content-length") continue;
    kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}
