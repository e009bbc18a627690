export * from "./latency_histogram.ts";
