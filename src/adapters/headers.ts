/**
 * Headers by which plumloft talks with callers and backend servers.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

/** Caller's and server's: the caller's id of the request. */
export const REQUEST_ID = "x-request-id";
/** Caller's: milliseconds that the caller allows. */
export const REQUEST_TIMEOUT = "x-request-timeout-ms";
/** Caller's answer and server's answer: `not-run`, `unknown` or `fenced`. */
export const OUTCOME = "plumloft-outcome";
/** Server's: id of this sending, to be repeated in the answer. */
export const EXCHANGE = "plumloft-exchange";
/** Server's: service of a keyed request. */
export const SERVICE = "plumloft-service";
/** Server's: slot of a keyed request. */
export const SLOT = "plumloft-slot";
/** Server's: fencing token of a keyed request. */
export const TOKEN = "plumloft-token";
/** Server's: work may not start after this, in ms since the epoch. */
export const NOT_AFTER = "plumloft-not-after";
/** Server's: the caller no longer waits after this, in ms since the epoch. */
export const DEADLINE = "plumloft-deadline";

/** Headers that concern one connection and are not passed on (RFC 9110, 7.6.1). */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Prefix of headers that only plumloft may set. */
const OWN_PREFIX = "plumloft-";

const NONE: ReadonlySet<string> = new Set();

/**
 * Headers that are passed on, but for those in `left`:
 * `[name, value, name, value, ...]`.
 */
export function passedOn(
  headers: IncomingHttpHeaders,
  left: ReadonlySet<string> = NONE,
): string[] {
  const named = headers.connection;
  const listed = named === undefined || named === "keep-alive" ||
      named === "close"
    ? null
    : new Set(named.toLowerCase().split(",").map((each) => each.trim()));
  const kept: string[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (left.has(name)) continue;
    if (name.startsWith(OWN_PREFIX) || listed?.has(name) === true) continue;
    if (typeof value === "string") {
      kept.push(name, value);
      continue;
    }
    for (const each of value) kept.push(name, each);
  }
  return kept;
}
