export * from "./admission_controller.ts";
export * from "./admission_gauges.ts";
export * from "./admission_policy.ts";
export * from "./demand_ledger.ts";
export * from "./demand_meter.ts";
export * from "./request_rank.ts";
