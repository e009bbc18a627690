/**
 * What the headers of requests and answers say, whatever they are called on the
 * wire.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { ReportedLoad } from "../core/fleet/index.ts";

/** What a caller says of its request besides method, path and body. */
export interface CallerFacts {
  /** Id of the request; empty when the caller names none. */
  id: string;
  /** Milliseconds for which it waits, or null. */
  timeout: number | null;
  key: number | null;
}

/** What a server's answer says of itself. */
export interface AnswerFacts {
  /** The server states that it did not run the request. */
  isNotRun: boolean;
  /** The answer is the server's own and for this request. */
  isGenuine: boolean;
  /** The answer does not name another request. */
  isOwnExchange: boolean;
  /** Id of the server, if it is given. */
  server: string | null;
  load: ReportedLoad | null;
  /** Maximum requests per second that the server accepts from all VMs combined; null if
   * it states no limit, undefined if the value is invalid. */
  rateLimit: number | null | undefined;
}

/** Translates between headers and what they mean. */
export abstract class HeaderCodec {
  /** Headers of a caller, for callers of our own. */
  abstract forCaller(facts: CallerFacts): Record<string, string>;
  /** Reads a caller's headers. */
  abstract readCaller(headers: IncomingHttpHeaders): CallerFacts;
  /** Whether a caller's header of this lower-case name is not passed on. */
  abstract isOwn(name: string): boolean;
  /**
   * Headers, as names and values in turn, for a request that only `server` may
   * run and whose answer is awaited for `remaining` milliseconds.
   */
  abstract forServer(server: string, remaining: number): string[];
  /** Reads the head of a server's answer to the request `requestId`. */
  abstract readAnswer(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): AnswerFacts;
}
