/**
 * Histories of concurrent runs: one line of JSON for each request.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode HistoryEntry}. */
export const historyEntrySchema = z.object({
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
export type HistoryEntry = z.infer<typeof historyEntrySchema>;

/** Whether the caller got the backend server's answer. */
export function isServed({ status }: HistoryEntry): boolean {
  return status >= 200 && status < 300;
}
