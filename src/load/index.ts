export * from "./caller_load.ts";
export * from "./evidence.ts";
export * from "./history.ts";
export * from "./history_check.ts";
