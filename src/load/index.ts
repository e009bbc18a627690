export * from "./execution_trace.ts";
export * from "./history.ts";
export * from "./history_check.ts";
export * from "./ignored_statements.ts";
export * from "./load_generator.ts";
