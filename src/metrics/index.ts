export * from "./latencies.ts";
