/**
 * Recorded histories of concurrent requests: one line of JSON for each request
 * that a caller sent (`call`) and each execution at a backend server (`run`).
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as z from "zod";
import type {
  ExecutionStart,
  ExecutionTrace,
  FinalResponse,
} from "./execution_trace.ts";

/** Schema of {@linkcode Call}. */
export const callSchema = z.object({
  kind: z.literal("call"),
  requestId: z.string(),
  service: z.string(),
  key: z.string().nullable(),
  method: z.string(),
  /** Address of the entry process that it was sent to. */
  target: z.string(),
  /** Milliseconds since the epoch. */
  startedAt: z.number(),
  endedAt: z.number(),
  /** HTTP status of the response; 0 when the connection failed. */
  status: z.number(),
  /**
   * `not-run` if the request certainly has not run, `unknown` if it may have;
   * null for status 200.
   */
  outcome: z.enum(["not-run", "unknown"]).nullable(),
  /**
   * Whether the response was complete and for this request; null if not
   * checked.
   */
  matched: z.boolean().nullable(),
});

/** One request, as recorded by its caller. */
export type Call = z.infer<typeof callSchema>;

/** Schema of {@linkcode Run}. */
export const runSchema = z.object({
  kind: z.literal("run"),
  server: z.string(),
  requestId: z.string(),
  method: z.string(),
  service: z.string(),
  key: z.number().nullable(),
  token: z.number().nullable(),
  /** Milliseconds since the epoch. */
  startedAt: z.number(),
  /** Milliseconds since the epoch; 0 while it has not ended. */
  endedAt: z.number(),
});

/** One execution of a request, as recorded by its backend server. */
export type Run = z.infer<typeof runSchema>;

/** Schema of {@linkcode Arrival}. */
export const arrivalSchema = z.object({
  kind: z.literal("arrival"),
  server: z.string(),
  /** When the server's process started, in milliseconds since the epoch. */
  incarnation: z.number(),
  requestId: z.string(),
  /** Milliseconds since the epoch. */
  at: z.number(),
  /** Whether the response states that the server is leaving. */
  isLeaving: z.boolean(),
  /**
   * Backoff that the response requests, in milliseconds; null if it requests
   * none.
   */
  backoff: z.number().nullable(),
});

/** One request that reached a backend server, as recorded by the server. */
export type Arrival = z.infer<typeof arrivalSchema>;

/** Schema of a line of a history. */
export const historyLineSchema = z.discriminatedUnion("kind", [
  callSchema,
  runSchema,
]);

/** See {@linkcode historyLineSchema}. */
export type HistoryLine = z.infer<typeof historyLineSchema>;

/** All lines of a history, by kind. */
export interface History {
  calls: Call[];
  runs: Run[];
}

/**
 * Whether the request was served: the caller received a response of status 2xx.
 */
export function isServed({ status }: Call): boolean {
  return status >= 200 && status < 300;
}

/** Reads a history from a file of JSON lines; throws on an invalid line. */
export function readHistory(file: string): History {
  const lines = readFileSync(file, "utf8").split("\n")
    .filter((line) => line !== "")
    .map((line) => historyLineSchema.parse(JSON.parse(line)));
  return {
    calls: lines.filter((line) => line.kind === "call"),
    runs: lines.filter((line) => line.kind === "run"),
  };
}

/** Converts a history to a trace, which the checks use. */
export function toExecutionTrace({ calls, runs }: History): ExecutionTrace {
  const starts = runs.map((run): ExecutionStart => ({
    at: run.startedAt,
    server: run.server,
    service: run.service,
    key: run.key,
    token: run.token,
    requestId: run.requestId,
  }));
  const responses = calls.map((call): FinalResponse => ({
    call: call.requestId,
    at: call.endedAt,
    startedAt: call.startedAt,
    requestId: call.requestId,
    kind: isServed(call) ? "served" : call.outcome ?? "unknown",
    reason: `status ${call.status}`,
  }));
  return { starts, responses };
}

/**
 * Returns the calls whose response was incomplete or belonged to another
 * request.
 */
export function findMismatches({ calls }: History): string[] {
  return calls.filter((call) => call.matched === false)
    .map(({ requestId, target }) => `${requestId} at ${target}`);
}

/**
 * Returns the longest time between two consecutive served requests for the same
 * key, in milliseconds, and that key. No key was unavailable for longer between
 * its first and its last served request, provided that callers request every
 * key continuously.
 */
export function longestGap({ calls }: History): { key: string; gap: number } {
  const last = new Map<string, number>();
  let longest = { key: "", gap: 0 };
  const served = calls.filter(isServed).sort((a, b) => a.endedAt - b.endedAt);
  for (const call of served) {
    const key = `${call.service}/${call.key ?? ""}`;
    const gap = call.endedAt - (last.get(key) ?? call.endedAt);
    if (gap > longest.gap) longest = { key, gap };
    last.set(key, call.endedAt);
  }
  return longest;
}
