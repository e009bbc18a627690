/**
 * What a backend server states of itself in the headers of a response.
 *
 * @module
 */
import * as z from "zod";

const count = z.number().nonnegative();

/** Schema of {@linkcode ReportedLoad}. */
const reportedLoadSchema = z.object({
  /** Number of requests that it runs. */
  running: count,
  /** Number of requests in its queue. */
  waiting: count,
  /** Maximum number of requests that it runs concurrently. */
  slots: count,
});

/** Load that a server reports with a response. */
export type ReportedLoad = z.infer<typeof reportedLoadSchema>;

/** Schema of {@linkcode IgnoredHeader}. */
const ignoredHeaderSchema = z.object({
  name: z.string(),
  /** Value, truncated. */
  value: z.string(),
});

/** A header whose value is invalid or has no meaning in its response. */
export type IgnoredHeader = z.infer<typeof ignoredHeaderSchema>;

/** Schema of {@linkcode ServerStatement}. */
export const serverStatementSchema = z.object({
  /** Load of the server; null if missing or invalid. */
  load: reportedLoadSchema.nullable(),
  /**
   * Maximum requests per second that the server accepts from all VMs combined;
   * null if it reports no limit, undefined if the value is invalid.
   */
  rateLimit: z.number().positive().nullable().optional(),
  /**
   * Whether the server is leaving: it exits soon, and accepts no requests that
   * are sent later than the drain time from now.
   */
  isLeaving: z.boolean(),
  /**
   * Time for which the server, which has refused the request, accepts no
   * requests from this VM, in milliseconds; null if it requests no backoff.
   */
  backoff: z.number().nonnegative().nullable(),
  /** Headers that were ignored, for the log. */
  ignored: z.array(ignoredHeaderSchema).readonly(),
});

/** See the module's comment. */
export type ServerStatement = z.infer<typeof serverStatementSchema>;
