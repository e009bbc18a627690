/**
 * Histories of concurrent runs: one line of JSON for each request of a caller
 * (`call`) and for each piece of work that a backend server started (`run`).
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as z from "zod";
import type { Evidence, FinalAnswer, WorkStart } from "./evidence.ts";

/** Schema of {@linkcode Call}. */
export const callSchema = z.object({
  kind: z.literal("call"),
  requestId: z.string(),
  service: z.string(),
  key: z.string().nullable(),
  method: z.string(),
  /** Entry that it was sent to. */
  target: z.string(),
  /** Milliseconds since the epoch. */
  startedAt: z.number(),
  endedAt: z.number(),
  /** Status of the answer; 0 when the connection failed. */
  status: z.number(),
  /** What plumloft said of a request without an answer, or null. */
  outcome: z.enum(["not-run", "unknown"]).nullable(),
  /** Whether the answer was whole and the caller's own; null without one. */
  matched: z.boolean().nullable(),
});

/** One request as its caller saw it. */
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
  /** Milliseconds since the epoch; 0 for work that has not ended. */
  startedAt: z.number(),
  endedAt: z.number(),
});

/** One piece of work as its backend server saw it. */
export type Run = z.infer<typeof runSchema>;

/** Schema of a line of a history. */
export const historyLineSchema = z.discriminatedUnion("kind", [
  callSchema,
  runSchema,
]);

/** See {@linkcode historyLineSchema}. */
export type HistoryLine = z.infer<typeof historyLineSchema>;

/** A whole history. */
export interface History {
  calls: Call[];
  runs: Run[];
}

/** Whether the caller got the backend server's answer. */
export function isServed({ status }: Call): boolean {
  return status >= 200 && status < 300;
}

/** Reads a history from a file of JSON lines. */
export function readHistory(file: string): History {
  const lines = readFileSync(file, "utf8").split("\n")
    .filter((line) => line !== "")
    .map((line) => historyLineSchema.parse(JSON.parse(line)));
  return {
    calls: lines.filter((line) => line.kind === "call"),
    runs: lines.filter((line) => line.kind === "run"),
  };
}

/** A history as evidence for the checks. */
export function toEvidence({ calls, runs }: History): Evidence {
  const starts = runs.map((run): WorkStart => ({
    at: run.startedAt,
    server: run.server,
    service: run.service,
    key: run.key,
    token: run.token,
    requestId: run.requestId,
  }));
  const answers = calls.map((call): FinalAnswer => ({
    call: call.requestId,
    at: call.endedAt,
    arrivedAt: call.startedAt,
    requestId: call.requestId,
    kind: isServed(call) ? "served" : call.outcome ?? "unknown",
    reason: `status ${call.status}`,
  }));
  return { starts, answers };
}

/** Answers that were cut short or another caller's. */
export function findMismatches({ calls }: History): string[] {
  return calls.filter((call) => call.matched === false)
    .map(({ requestId, target }) => `${requestId} at ${target}`);
}

/**
 * The longest time, in milliseconds, between two served answers for the same
 * key, with the key. Keys are asked for all the time, so this bounds the time in
 * which one was unavailable.
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
