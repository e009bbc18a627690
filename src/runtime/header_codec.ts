/**
 * Interface that maps between HTTP headers and the information they carry.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { ReportedLoad } from "../core/fleet/index.ts";

/** Information about a request besides method, path and body. */
export interface RequestMetadata {
  /** Id of the request; empty if the caller sends none. */
  id: string;
  /** Time for which the caller waits, in milliseconds, or null. */
  timeout: number | null;
  key: number | null;
}

/** Information that a server's response carries in its headers. */
export interface ResponseMetadata {
  /** The server states that it did not run the request. */
  isNotRun: boolean;
  /** The response comes from the server itself and belongs to this request. */
  isGenuine: boolean;
  /** The response does not name another request. */
  isOwnExchange: boolean;
  /** Id of the server, if present. */
  server: string | null;
  load: ReportedLoad | null;
  /**
   * Maximum requests per second that the server accepts from all VMs combined;
   * null if it states no limit, undefined if the value is invalid.
   */
  rateLimit: number | null | undefined;
}

/** See the module's comment. */
export abstract class HeaderCodec {
  /** Request headers for plumloft's own callers. */
  abstract callerHeaders(facts: RequestMetadata): Record<string, string>;
  /** Reads the headers of a caller's request. */
  abstract readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * Whether a request header with this lower-case name is internal and not
   * forwarded.
   */
  abstract isInternal(name: string): boolean;
  /**
   * Headers, as alternating names and values, for a request that only `server`
   * may run and whose response is awaited for `remaining` milliseconds.
   */
  abstract serverHeaders(server: string, remaining: number): string[];
  /**
   * Reads status and headers of a server's response to the request `requestId`.
   */
  abstract readResponse(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): ResponseMetadata;
}
