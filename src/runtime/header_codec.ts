/**
 * Interface that encodes and decodes the HTTP headers exchanged with callers
 * and backend servers.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { ServerStatement } from "../core/fleet/index.ts";

/** Information that a caller's request carries in its headers. */
export interface RequestMetadata {
  /** Id of the request; empty if the caller sends none. */
  id: string;
  /**
   * Time for which the caller waits for the response, in milliseconds; null if
   * the caller sets no limit.
   */
  timeout: number | null;
  /** Key that the request is about; null if it has none. */
  key: number | null;
}

/** Whose id a response carries. */
export type ResponseEcho = "own" | "other" | "none";

/** Information that a server's response carries in its headers. */
export interface ResponseMetadata {
  /** Whether the server reports that it did not run the request. */
  isNotRun: boolean;
  /**
   * Whether the server itself produced the response, and produced it for this
   * request.
   */
  isGenuine: boolean;
  /** Whose id the response carries: that of this request, another or none. */
  echo: ResponseEcho;
  /** Id of the server; null if missing. */
  server: string | null;
  /** What the server states of itself. */
  statement: ServerStatement;
}

/** See the module's comment. */
export abstract class HeaderCodec {
  /** Headers by which a caller passes `metadata` with its request. */
  abstract callerHeaders(metadata: RequestMetadata): Record<string, string>;
  /** Reads the headers of a caller's request. */
  abstract readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * Whether a request header with this lower-case name is internal and not
   * forwarded.
   */
  abstract isInternal(name: string): boolean;
  /**
   * Headers of a request that is forwarded to a server, as alternating names
   * and values: only `server` may run it, and the response is awaited for
   * `remaining` milliseconds.
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
