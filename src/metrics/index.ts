export * from "./latencies.ts";
export * from "./vm_metrics.ts";
