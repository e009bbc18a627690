/**
 * Checks a history for breaches of what must always hold.
 *
 * @module
 */
import {
  findFalseRefusals,
  findInventedAnswers,
  findRepeatedAnswers,
  findRepeatedRuns,
  findSecondOwners,
} from "./evidence.ts";
import { findMismatches, type History, toEvidence } from "./history.ts";

/** What a check found. */
export interface CheckResult {
  name: string;
  /** A line for each breach. */
  breaches: string[];
}

/**
 * Runs all checks, those on work only when the history holds any: what callers
 * alone have recorded says nothing of it. Work may repeat only when its method is idempotent, so only
 * `POST` counts for "at most once".
 */
export function checkHistory(history: History): CheckResult[] {
  const evidence = toEvidence(history);
  const once = toEvidence({
    ...history,
    runs: history.runs.filter((run) => run.method === "POST"),
  });
  const results = [
    { name: "answers match", breaches: findMismatches(history) },
    { name: "one answer each", breaches: findRepeatedAnswers(evidence) },
  ];
  if (history.runs.length === 0) return results;
  return [
    ...results,
    { name: "one owner", breaches: findSecondOwners(evidence) },
    { name: "at most once", breaches: findRepeatedRuns(once) },
    { name: "not-run is true", breaches: findFalseRefusals(evidence) },
    { name: "served work ran", breaches: findInventedAnswers(evidence) },
  ];
}
