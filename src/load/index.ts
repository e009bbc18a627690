export * from "./load_generator.ts";
export * from "./execution_trace.ts";
export * from "./history.ts";
export * from "./history_check.ts";
