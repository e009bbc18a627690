/**
 * Checks a recorded history for breaches of the system's invariants.
 *
 * @module
 */
import {
  findOwnershipBreaches,
  findRefusalsDespiteExecution,
  findRepeatedExecutions,
  findRepeatedResponses,
  findResponsesWithoutExecution,
} from "./execution_trace.ts";
import { findMismatches, type History, toExecutionTrace } from "./history.ts";

/** Result of the check of one invariant. */
export interface CheckResult {
  /** Name of the invariant. */
  name: string;
  /** A description of each breach. */
  breaches: string[];
}

/**
 * Runs all checks. Those that need executions are left out if the history has
 * none, since it may contain only the records of callers. Requests of
 * idempotent methods may run again, so only `POST` counts for "at most once".
 */
export function checkHistory(history: History): CheckResult[] {
  const trace = toExecutionTrace(history);
  const nonIdempotent = toExecutionTrace({
    ...history,
    runs: history.runs.filter((run) => run.method === "POST"),
  });
  const results = [
    { name: "answers match", breaches: findMismatches(history) },
    { name: "one answer each", breaches: findRepeatedResponses(trace) },
  ];
  if (history.runs.length === 0) return results;
  return [
    ...results,
    { name: "one owner", breaches: findOwnershipBreaches(trace) },
    { name: "at most once", breaches: findRepeatedExecutions(nonIdempotent) },
    { name: "not-run is true", breaches: findRefusalsDespiteExecution(trace) },
    { name: "served work ran", breaches: findResponsesWithoutExecution(trace) },
  ];
}
