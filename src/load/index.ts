export * from "./caller_load.ts";
export * from "./history.ts";
