/**
 * Gauges of admission by priority, for operators.
 *
 * @module
 */
import type { AdmissionPolicy } from "./admission_policy.ts";

/**
 * Returns the thresholds in force at `now` and the requests that were not
 * admitted since the start of this process, by the name of the metric with its
 * labels. Services without a threshold are left out.
 */
export function admissionGauges(
  policy: AdmissionPolicy,
  now: number,
): Record<string, number> {
  const gauges: Record<string, number> = {};
  for (const { service, threshold } of policy.current(now)) {
    if (threshold === undefined) continue;
    gauges[`admission_threshold{service="${service}"}`] = threshold;
  }
  for (const { service, priority, count } of policy.denials) {
    const labels = `service="${service}",priority="${priority}"`;
    gauges[`requests_not_admitted_total{${labels}}`] = count;
  }
  return gauges;
}
